#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_load.h>

#include <algorithm>
#include <utility>

namespace poplarpass::capacity
{
using internal::workerSlotOf;

auto capacity_planner::updateHosts(std::span<const host_entry> hosts, core::monotonic_time requestedAt,
                                   core::monotonic_time now) -> void
{
    m_hosts.update(hosts, requestedAt, now);
}

auto capacity_planner::addWave(const wave_request &request, core::monotonic_time now) -> void
{
    const auto [entry, isNew] = m_waves.try_emplace(request.number);
    if (!isNew) {
        return;
    }
    auto &wave = entry->second;
    wave.request = request;
    wave.deadline = now + request.duration;
    for (const auto &record : m_restoredMaintained) {
        if (record.wave == request.number) {
            wave.done.insert(record.host);
        }
    }
}

auto capacity_planner::restoreMaintained(const maintained_host &record) -> void
{
    m_restoredMaintained.push_back(record);
}

auto capacity_planner::restoreOrderDelay(const core::host_id &host, core::monotonic_time time) -> void
{
    m_orderNotBefore[host] = time;
}

auto capacity_planner::onJob(const jobs::multistep_job_record &job, core::monotonic_time now) -> void
{
    m_demand.onJob(job, now);
}

auto capacity_planner::plan(jobs::job_engine &engine, std::span<const route::pool_config> pools,
                            core::monotonic_time now) -> std::vector<host_order>
{
    if (!m_hosts.listRequestedAt()) {
        return {};
    }
    updateFromWorkers(engine, now);
    excludeLeavingWorkers(engine);
    measure(engine, pools, now);
    planMoves(engine, now);
    stopBlockingDrains(engine, now);
    planWaves(engine, now);
    return advanceDrains(engine, now);
}

auto capacity_planner::excludeLeavingWorkers(jobs::job_engine &engine) -> void
{
    for (auto &[id, host] : m_hosts.all()) {
        if (host.step == host_step::none || host.entry.worker != host.previousWorker) {
            continue;
        }
        if (auto *worker = workerSlotOf(host, engine)) {
            worker->leaving = true;
        }
    }
}

// The worker of a host that is neither drained nor under an order becomes eligible for placement again.
auto capacity_planner::updateFromWorkers(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    for (auto &[id, host] : m_hosts.all()) {
        auto *worker = workerSlotOf(host, engine);
        if (worker == nullptr) {
            continue;
        }
        if (host.step == host_step::none && host.entry.condition == host_condition::up) {
            worker->leaving = false;
        }
        if (!worker->placed.empty()) {
            host.idleSince = now;
        }
    }
}

auto capacity_planner::onOrderAnswer(const host_order &order, host_order_outcome outcome, core::monotonic_time now)
    -> void
{
    auto *host = m_hosts.find(order.host);
    if (host == nullptr || host->step != host_step::ordered) {
        return;
    }
    host->since = now;
    switch (outcome) {
    case host_order_outcome::done:
        host->step = host_step::awaiting_return;
        if (!order.pool) {
            m_waves[order.wave].done.insert(order.host);
            m_newlyMaintained.push_back({order.wave, order.host});
        }
        return;
    case host_order_outcome::refused:
        if (order.pool) {
            host->refusedPools.insert(*order.pool);
        } else {
            m_waves[order.wave].done.insert(order.host);
        }
        host->step = host_step::draining;
        host->previousWorker = {};
        return;
    case host_order_outcome::busy:
    case host_order_outcome::fenced:
        // The next host list shows the state of the host. Clearing previousWorker stops this drain; a later plan starts
        // it again if it is still needed.
        host->step = host_step::draining;
        host->previousWorker = {};
        m_orderNotBefore[order.host] = now + busyHostRetryDelay;
        return;
    case host_order_outcome::failed:
    case host_order_outcome::unknown:
        host->step = host_step::draining;
        return;
    }
}

auto capacity_planner::consumeMaintained() -> std::vector<maintained_host>
{
    return std::exchange(m_newlyMaintained, {});
}

auto capacity_planner::consumeWaveUpdates() -> std::vector<wave_progress>
{
    std::vector<wave_progress> waves;
    for (auto &[number, wave] : m_waves) {
        if (!std::exchange(wave.reported, true)) {
            waves.push_back(wave);
        }
    }
    return waves;
}

auto capacity_planner::workerOf(const core::host_id &host) -> jobs::worker_id
{
    const auto *slot = m_hosts.find(host);
    return slot == nullptr ? jobs::worker_id{} : slot->entry.worker;
}

auto capacity_planner::isCurrent(const host_order &order) -> bool
{
    const auto *host = m_hosts.find(order.host);
    return host != nullptr && host->step == host_step::ordered && host->entry.worker == host->previousWorker;
}

auto capacity_planner::balances() const -> const std::map<core::pool_id, pool_balance> &
{
    return m_balances;
}

auto capacity_planner::isAwaitingHosts() const -> bool
{
    return std::ranges::any_of(m_hosts.all(), [](const auto &entry) { return entry.second.step != host_step::none; });
}
} // namespace poplarpass::capacity
