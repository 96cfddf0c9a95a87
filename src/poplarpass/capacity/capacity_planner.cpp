#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace poplarpass::capacity
{
namespace
{
auto slotOf(const host_slot &host, jobs::job_engine &engine) -> jobs::worker_slot *
{
    return host.entry.worker.empty() ? nullptr : engine.workers().find(host.entry.worker);
}

auto isEmpty(const host_slot &host, jobs::job_engine &engine) -> bool
{
    const auto *worker = slotOf(host, engine);
    return worker == nullptr || worker->placed.empty();
}

/// \brief Time until the last short task of a host should have ended.
auto drainTimeOf(const host_slot &host, jobs::job_engine &engine, core::monotonic_time now) -> core::duration
{
    const auto *worker = slotOf(host, engine);
    core::duration longest{0};
    if (worker == nullptr) {
        return longest;
    }
    for (const auto &task : worker->placed) {
        const auto *job = engine.find(task.job);
        if (job != nullptr && job->has(task)) {
            const auto &state = job->tasks[job->positionOf(task.occurrence, task.step, task.index)];
            longest = std::max<core::duration>(longest, state.startedAt + job->spec.steps[task.step].estimate - now);
        }
    }
    return longest;
}

/// \brief Share of a host that work takes, for choosing the host that is easiest to drain.
auto usedOf(const host_slot &host, jobs::job_engine &engine) -> std::int64_t
{
    const auto *worker = slotOf(host, engine);
    return worker == nullptr ? 0 : worker->used.cpu + static_cast<std::int64_t>(worker->placed.size());
}
} // namespace

auto capacity_planner::updateHosts(std::span<const host_entry> hosts, core::monotonic_time askedAt,
                                   core::monotonic_time now) -> void
{
    m_hosts.update(hosts, askedAt, now);
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
    for (const auto &record : m_restored) {
        if (record.wave == request.number) {
            wave.done.insert(record.host);
        }
    }
}

auto capacity_planner::restoreMaintained(const maintained_host &record) -> void
{
    m_restored.push_back(record);
}

auto capacity_planner::restoreOrder(const core::host_id &host, core::monotonic_time time) -> void
{
    m_notBefore[host] = time;
}

auto capacity_planner::awaitsMaintenance(const host_slot &host) const -> bool
{
    return std::ranges::any_of(m_waves, [&](const auto &entry) {
        const auto &wave = entry.second;
        const bool named = std::ranges::find(wave.request.hosts, host.entry.id) != wave.request.hosts.end();
        return !wave.completed && named && !wave.done.contains(host.entry.id);
    });
}

auto capacity_planner::onJob(const jobs::job_record &job, core::monotonic_time now) -> void
{
    m_demand.onJob(job, now);
}

auto capacity_planner::plan(jobs::job_engine &engine, std::span<const route::pool_config> pools,
                            core::monotonic_time now) -> std::vector<host_order>
{
    if (!m_hosts.listedAt()) {
        return {};
    }
    trackIdle(engine, now);
    measure(engine, pools, now);
    planMoves(engine, now);
    planWaves(engine, now);
    return advanceDrains(engine, now);
}

auto capacity_planner::trackIdle(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    for (auto &[id, host] : m_hosts.all()) {
        if (!isEmpty(host, engine)) {
            host.idleSince = now;
        }
    }
}

auto capacity_planner::planWaves(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    for (auto &[number, wave] : m_waves) {
        if (!wave.completed) {
            planWave(wave, engine, now);
        }
    }
}

// Hosts that are easy to drain and that no pool waits for are taken at once; the others follow in even steps, so that
// the wave ends in time.
auto capacity_planner::planWave(wave_state &wave, jobs::job_engine &engine, core::monotonic_time now) -> void
{
    std::vector<host_slot *> left;
    std::size_t out = 0;
    std::size_t unfinished = 0;
    for (const auto &id : wave.request.hosts) {
        auto *host = m_hosts.find(id);
        if (host == nullptr) {
            continue;
        }
        const bool ours = host->step != host_step::none && !host->order.pool && host->order.wave == wave.request.number;
        if (ours || host->entry.condition == host_condition::maintenance) {
            ++out;
        }
        if (wave.done.contains(id)) {
            continue;
        }
        ++unfinished;
        if (host->step == host_step::none && host->entry.condition == host_condition::up) {
            left.push_back(host);
        }
    }
    if (unfinished == 0) {
        wave.completed = true;
        wave.announced = false;
        return;
    }
    const auto slots = std::min<std::size_t>(wave.request.cap, waveSlots);
    const auto steps = std::max<std::int64_t>((wave.deadline - waveReserve - now) / waveStepTime, 1);
    const bool late = unfinished > slots * static_cast<std::size_t>(steps - 1);
    const auto limit = late ? std::size_t{wave.request.cap} : slots;
    std::ranges::sort(left, {}, [&](const host_slot *host) {
        return std::pair{usedOf(*host, engine), host->entry.id};
    });
    for (auto *host : left) {
        if (out >= limit) {
            return;
        }
        const auto &balance = m_balances[host->entry.pool];
        const bool wanted = balance.need >= balance.have || (balance.standby && isAnyPoolShort());
        if (!late && wanted) {
            continue;
        }
        beginDrain(*host, host_order{host->entry.id, std::nullopt, wave.request.number}, engine, now);
        --m_balances[host->entry.pool].have;
        ++out;
    }
}

auto capacity_planner::isAnyPoolShort() const -> bool
{
    return std::ranges::any_of(
        m_balances, [](const auto &entry) { return !entry.second.standby && entry.second.want > entry.second.have; });
}

auto capacity_planner::beginDrain(host_slot &host, host_order order, jobs::job_engine &engine, core::monotonic_time now)
    -> void
{
    host.step = host_step::draining;
    host.order = std::move(order);
    host.since = now;
    host.formerWorker = host.entry.worker;
    if (auto *worker = slotOf(host, engine)) {
        worker->leaving = true;
    }
}

auto capacity_planner::stopDrain(host_slot &host, jobs::job_engine &engine, core::monotonic_time now) -> void
{
    host.step = host_step::none;
    host.since = now;
    if (auto *worker = slotOf(host, engine)) {
        worker->leaving = false;
    }
}

auto capacity_planner::advanceDrains(jobs::job_engine &engine, core::monotonic_time now) -> std::vector<host_order>
{
    std::vector<host_order> orders;
    for (auto &[id, host] : m_hosts.all()) {
        if (host.step != host_step::draining) {
            continue;
        }
        if (host.entry.condition != host_condition::up || host.entry.worker != host.formerWorker) {
            stopDrain(host, engine, now);
            continue;
        }
        auto *worker = slotOf(host, engine);
        if (worker != nullptr) {
            worker->leaving = true;
            engine.evacuate(*worker, now);
        }
        const bool forMove = host.order.pool.has_value();
        const auto notBefore = m_notBefore.find(id);
        const bool mayOrder = notBefore == m_notBefore.end() || now >= notBefore->second;
        if (isEmpty(host, engine) && mayOrder) {
            host.step = host_step::ordered;
            host.since = now;
            orders.push_back(host.order);
        } else if (forMove && now - host.since > moveDrainLimit) {
            stopDrain(host, engine, now);
        }
    }
    return orders;
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
        host->step = host_step::away;
        if (!order.pool) {
            m_waves[order.wave].done.insert(order.host);
            m_newlyMaintained.push_back({order.wave, order.host});
        }
        return;
    case host_order_outcome::refused:
        if (order.pool) {
            host->unfitPools.insert(*order.pool);
        } else {
            m_waves[order.wave].done.insert(order.host);
        }
        host->step = host_step::draining;
        host->formerWorker = {};
        return;
    case host_order_outcome::busy:
    case host_order_outcome::fenced:
        // The list tells what the host is doing; the drain starts anew if it is still wanted.
        host->step = host_step::draining;
        host->formerWorker = {};
        return;
    case host_order_outcome::failed:
    case host_order_outcome::unknown:
        host->step = host_step::draining;
        return;
    }
}

auto capacity_planner::takeMaintained() -> std::vector<maintained_host>
{
    return std::exchange(m_newlyMaintained, {});
}

auto capacity_planner::takeAnnouncements() -> std::vector<wave_state>
{
    std::vector<wave_state> waves;
    for (auto &[number, wave] : m_waves) {
        if (!std::exchange(wave.announced, true)) {
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

auto capacity_planner::balances() const -> const std::map<core::pool_id, pool_balance> &
{
    return m_balances;
}

auto capacity_planner::isAwaitingHosts() const -> bool
{
    return std::ranges::any_of(m_hosts.all(), [](const auto &entry) { return entry.second.step != host_step::none; });
}

auto capacity_planner::measure(jobs::job_engine &engine, std::span<const route::pool_config> pools,
                               core::monotonic_time now) -> void
{
    m_balances.clear();
    std::set<core::pool_id> maintained;
    std::int64_t hostCpu = 1;
    for (const auto &[id, host] : m_hosts.all()) {
        hostCpu = std::max(hostCpu, host.entry.capacity.cpu);
        const bool moves = host.step != host_step::none && host.order.pool.has_value();
        const bool out = host.step != host_step::none && !host.order.pool;
        m_balances[moves ? *host.order.pool : host.entry.pool].have += out ? 0 : 1;
        if (awaitsMaintenance(host)) {
            maintained.insert(host.entry.pool);
        }
    }
    for (const auto &pool : pools) {
        m_balances[pool.name].standby = pool.standby;
    }
    for (const auto &[pool, load] : m_demand.measure(engine, now)) {
        const auto demand = static_cast<double>(std::max(load.placed, load.offered) + load.waiting) * headroom;
        const auto hosts = static_cast<std::int64_t>(std::ceil(demand / static_cast<double>(hostCpu)));
        m_balances[pool].load = load;
        auto &balance = m_balances[pool];
        balance.need = std::max<std::int64_t>(hosts, load.spread + 1);
        balance.want = balance.need + (maintained.contains(pool) ? 1 : 0);
    }
}

auto capacity_planner::move(host_slot &host, const core::pool_id &pool, jobs::job_engine &engine,
                            core::monotonic_time now) -> void
{
    --m_balances[host.entry.pool].have;
    ++m_balances[pool].have;
    beginDrain(host, host_order{host.entry.id, pool, 0}, engine, now);
}

auto capacity_planner::movesInProgress() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_hosts.all(), [](const auto &entry) {
        return entry.second.step != host_step::none && entry.second.order.pool.has_value();
    }));
}

// Hosts go from pools that have more than they need to pools that have less: first those without work, then those on
// standby, then those that are emptied soonest. Hosts that no pool needs for a while go to standby.
auto capacity_planner::planMoves(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    std::vector<host_slot *> donors;
    for (auto &[id, host] : m_hosts.all()) {
        if (host.step == host_step::none && host.entry.condition == host_condition::up
            && now - host.since >= leastStay) {
            donors.push_back(&host);
        }
    }
    std::ranges::stable_sort(donors, {}, [&](const host_slot *host) {
        return std::tuple{usedOf(*host, engine) > 0, m_balances[host->entry.pool].standby,
                          drainTimeOf(*host, engine, now)};
    });
    std::vector<core::pool_id> needy;
    for (const auto &[pool, balance] : m_balances) {
        if (!balance.standby && balance.want > balance.have) {
            needy.push_back(pool);
        }
    }
    std::ranges::sort(needy, std::greater{},
                      [&](const core::pool_id &pool) { return m_balances[pool].want - m_balances[pool].have; });
    for (const auto &pool : needy) {
        fillPool(pool, donors, engine, now);
    }
    retireIdle(donors, engine, now);
}

auto capacity_planner::fillPool(const core::pool_id &pool, std::span<host_slot *const> donors, jobs::job_engine &engine,
                                core::monotonic_time now) -> void
{
    for (auto *host : donors) {
        const auto &balance = m_balances[pool];
        if (balance.want <= balance.have || movesInProgress() >= movesAtOnce) {
            return;
        }
        const auto &from = m_balances[host->entry.pool];
        const bool spare = from.standby || from.have > from.want;
        const bool idle = from.standby || now - host->idleSince >= idleBeforeMove;
        const bool drainable = idle || isDrainedSoon(*host, engine);
        if (host->step == host_step::none && spare && drainable && host->entry.pool != pool
            && !host->unfitPools.contains(pool)) {
            move(*host, pool, engine, now);
        }
    }
}

// Short tasks end by themselves; long-running ones would have to move first.
auto capacity_planner::isDrainedSoon(const host_slot &host, jobs::job_engine &engine) const -> bool
{
    const auto *worker = slotOf(host, engine);
    return worker != nullptr && std::ranges::none_of(worker->placed, [&](const jobs::task_ref &task) {
               const auto *job = engine.find(task.job);
               return job == nullptr || !job->has(task) || job->spec.steps[task.step].longRunning;
           });
}

auto capacity_planner::retireIdle(std::span<host_slot *const> donors, jobs::job_engine &engine,
                                  core::monotonic_time now) -> void
{
    const auto standby = std::ranges::find_if(m_balances, [](const auto &entry) { return entry.second.standby; });
    if (standby == m_balances.end()) {
        return;
    }
    for (auto *host : donors) {
        const auto &from = m_balances[host->entry.pool];
        const bool idle = now - host->idleSince >= idleBeforeStandby;
        if (host->step == host_step::none && !from.standby && from.have > from.want && idle
            && movesInProgress() < movesAtOnce && !host->unfitPools.contains(standby->first)) {
            move(*host, standby->first, engine, now);
        }
    }
}
} // namespace poplarpass::capacity
