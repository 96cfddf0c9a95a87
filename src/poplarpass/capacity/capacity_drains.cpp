#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_load.h>

#include <utility>

// Drains of hosts, up to the order to move or to maintain them.
namespace poplarpass::capacity
{
using internal::isEmpty;
using internal::workerSlotOf;

auto capacity_planner::beginDrain(tracked_host &host, host_order order, jobs::job_engine &engine,
                                  core::monotonic_time now) -> void
{
    host.step = host_step::draining;
    host.order = std::move(order);
    host.since = now;
    host.emptyAt.reset();
    host.previousWorker = host.entry.worker;
    if (auto *worker = workerSlotOf(host, engine)) {
        worker->leaving = true;
    }
}

auto capacity_planner::stopDrain(tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> void
{
    host.step = host_step::none;
    host.since = now;
    if (auto *worker = workerSlotOf(host, engine)) {
        worker->leaving = false;
    }
}

// Hosts that were lost after a drain began may leave their pool too few for its long-running tasks. When no other pool
// gives one, hosts drained for maintenance return to service until the pool has enough.
auto capacity_planner::stopBlockingDrains(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    for (auto &[id, host] : m_hosts.all()) {
        const auto since = m_longRunningShortSince.find(host.entry.pool);
        const bool isPersistent =
            since != m_longRunningShortSince.end() && now - since->second >= longRunningShortageDelay;
        if (host.step != host_step::draining || host.order.pool || !isPersistent) {
            continue;
        }
        auto &balance = m_balances[host.entry.pool];
        const bool isBlocking =
            balance.load.longRunningWaiting > 0 && balance.inService + balance.arriving < balance.longRunningHosts;
        if (isBlocking) {
            stopDrain(host, engine, now);
            ++balance.have;
            ++balance.inService;
        }
    }
}

// A lost host may have returned with a new worker that is not listed yet and already has work. The drained worker must
// have answered recently, or appear in a list that was requested after the host was found empty.
auto capacity_planner::isWorkerConfirmed(const tracked_host &host, jobs::job_engine &engine,
                                         core::monotonic_time now) const -> bool
{
    const auto *worker = workerSlotOf(host, engine);
    const bool answeredRecently =
        worker != nullptr && worker->responsive && now - worker->lastResponseAt < workerAnswerValidity;
    return answeredRecently || host.entry.worker.empty() || *m_hosts.listRequestedAt() > *host.emptyAt;
}

auto capacity_planner::suspendOnDrained(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    std::vector<const jobs::worker_slot *> workers;
    for (const auto &[id, host] : m_hosts.all()) {
        const bool isDrained = host.step == host_step::draining && host.entry.condition == host_condition::up
            && host.entry.worker == host.previousWorker;
        if (!isDrained) {
            continue;
        }
        const auto *worker = workerSlotOf(host, engine);
        if (worker != nullptr && !worker->placed.empty()) {
            workers.push_back(worker);
        }
    }
    engine.suspendResumable(workers, now);
}

auto capacity_planner::advanceDrains(jobs::job_engine &engine, core::monotonic_time now) -> std::vector<host_order>
{
    suspendOnDrained(engine, now);
    std::vector<host_order> orders;
    for (auto &[id, host] : m_hosts.all()) {
        if (host.step != host_step::draining) {
            continue;
        }
        if (host.entry.condition != host_condition::up || host.entry.worker != host.previousWorker) {
            stopDrain(host, engine, now);
            continue;
        }
        if (const auto *worker = workerSlotOf(host, engine)) {
            engine.evacuate(*worker, now);
        }
        const bool forMove = host.order.pool.has_value();
        const auto notBefore = m_orderNotBefore.find(id);
        const bool isOrderPermitted = notBefore == m_orderNotBefore.end() || now >= notBefore->second;
        if (isOrderPermitted && notBefore != m_orderNotBefore.end()) {
            m_orderNotBefore.erase(notBefore);
        }
        if (!isEmpty(host, engine)) {
            host.emptyAt.reset();
        } else if (!host.emptyAt) {
            host.emptyAt = now;
        }
        if (host.emptyAt && isOrderPermitted && isWorkerConfirmed(host, engine, now)) {
            host.step = host_step::ordered;
            host.since = now;
            orders.push_back(host.order);
        } else if (forMove && now - host.since > moveDrainTimeout && !isNeededForLongRunning(host, now)) {
            stopDrain(host, engine, now);
        }
    }
    return orders;
}
} // namespace poplarpass::capacity
