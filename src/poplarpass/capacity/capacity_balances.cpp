#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_load.h>

#include <algorithm>
#include <cmath>

// What each pool has and needs.
namespace poplarpass::capacity
{
namespace
{
/// \brief Returns the number of hosts of \p hostCpu thousandths of a core that serve \p load with headroom.
auto hostsFor(const pool_load &load, std::int64_t hostCpu) -> std::int64_t
{
    const auto demand = static_cast<double>(std::max(load.placed, load.offered) + load.waiting) * headroom;
    return static_cast<std::int64_t>(std::ceil(demand / static_cast<double>(hostCpu)));
}

auto longRunningHostsFor(const pool_load &load) -> std::int64_t
{
    return std::max<std::int64_t>(static_cast<std::int64_t>(std::ceil(load.longRunningHosts)), load.minWorkers);
}
} // namespace

auto capacity_planner::measure(jobs::job_engine &engine, std::span<const route::pool_config> pools,
                               core::monotonic_time now) -> void
{
    m_balances.clear();
    for (const auto &pool : pools) {
        m_balances[pool.name].standby = pool.standby;
    }
    countHosts(engine, now);
    const auto hostCpu = largestHostCpu();
    const auto poolsInMaintenance = poolsAwaitingMaintenance();
    for (const auto &[pool, load] : m_demand.measure(engine, largestHostCapacity(), now)) {
        auto &balance = m_balances[pool];
        balance.load = load;
        balance.requiredHosts = std::max<std::int64_t>({hostsFor(load, hostCpu), load.minWorkers, minPoolHosts});
        balance.targetHosts = balance.requiredHosts + (poolsInMaintenance.contains(pool) ? 1 : 0);
        balance.longRunningHosts = longRunningHostsFor(load);
        // Runs on workers that do not accept starts will have to move, or end with their worker.
        if (m_maintenanceBlocked.contains(pool)) {
            balance.reservedHosts = balance.longRunningHosts + 1;
        } else if (load.longRunningInService < load.longRunningTasks) {
            balance.reservedHosts = balance.longRunningHosts;
        }
        balance.targetHosts = std::max(balance.targetHosts, balance.reservedHosts);
    }
    addHostsForMismatches(engine, now);
    trackShortages(now);
    trackLongRunningShortages(now);
}

// A host whose move takes longer may never arrive, and counting it would hide the shortage.
auto capacity_planner::isArriving(const tracked_host &host, core::monotonic_time now) -> bool
{
    return host.step != host_step::none && host.order.pool && now - host.since <= moveDrainTimeout;
}

// A host that has just arrived counts as arriving until its worker accepts starts, so that no other host is moved in
// its place.
auto capacity_planner::countHost(const tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> void
{
    if (host.step != host_step::none) {
        if (isArriving(host, now)) {
            ++m_balances[*host.order.pool].arriving;
        }
        return;
    }
    if (host.entry.condition != host_condition::up) {
        return;
    }
    auto &balance = m_balances[host.entry.pool];
    if (internal::isInService(host, engine, now)) {
        ++balance.inService;
    } else if (now - host.since < workerStartTime) {
        ++balance.arriving;
    }
}

auto capacity_planner::countHosts(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    m_moving = 0;
    for (const auto &[id, host] : m_hosts.all()) {
        countHost(host, engine, now);
        const bool isOrdered = host.step != host_step::none;
        if (isOrdered && host.order.pool) {
            ++m_moving;
            ++m_balances[*host.order.pool].have;
        } else if (!isOrdered) {
            ++m_balances[host.entry.pool].have;
        }
    }
}

auto capacity_planner::usageByPool(jobs::job_engine &engine) const -> std::map<core::pool_id, host_usage>
{
    std::map<core::pool_id, host_usage> usages;
    for (const auto &[id, host] : m_hosts.all()) {
        auto &usage = usages[host.entry.pool];
        switch (host.step) {
        case host_step::none:
            usage.idle += host.entry.condition == host_condition::up && internal::isEmpty(host, engine) ? 1 : 0;
            break;
        case host_step::draining:
            ++usage.draining;
            break;
        case host_step::ordered:
        case host_step::awaiting_return:
            ++(host.order.pool ? usages[*host.order.pool].arriving : usage.inMaintenance);
            break;
        }
    }
    return usages;
}

auto capacity_planner::largestHostCpu() const -> std::int64_t
{
    std::int64_t largest = 1;
    for (const auto &[id, host] : m_hosts.all()) {
        largest = std::max(largest, host.entry.capacity.cpu);
    }
    return largest;
}

auto capacity_planner::largestHostCapacity() const -> jobs::resources
{
    jobs::resources largest;
    for (const auto &[id, host] : m_hosts.all()) {
        const auto &capacity = host.entry.capacity;
        largest.cpu = std::max(largest.cpu, capacity.cpu);
        largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
        largest.gpu = std::max(largest.gpu, capacity.gpu);
    }
    return largest;
}

// Adds one host at a time, as the advice service may reject the new host as well, which is known only after its
// arrival.
auto capacity_planner::addHostsForMismatches(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    const auto mismatchesByPool = engine.drainMismatches();
    std::erase_if(m_extraHosts, [&](const auto &entry) { return !mismatchesByPool.contains(entry.first); });
    for (const auto &[pool, mismatch] : mismatchesByPool) {
        auto &balance = m_balances[pool];
        balance.requirement = mismatch.requirement;
        // No move helps when no host has the label; the label is then an error of the caller.
        const bool hasCandidate = std::ranges::any_of(m_hosts.all(), [&, id = &pool](const auto &entry) {
            return entry.second.entry.pool != *id && hasRequiredLabel(entry.second, balance);
        });
        if (!hasCandidate) {
            continue;
        }
        const auto [existing, isNew] = m_extraHosts.try_emplace(pool, extra_hosts{0, now});
        auto &hosts = existing->second;
        const bool arrived = hosts.count == 0 || balance.have >= balance.targetHosts + hosts.count;
        if (!isNew && arrived && now - hosts.since >= extraHostDelay && hosts.count < maxExtraHosts) {
            hosts.count = std::max(hosts.count + 1, balance.have + 1 - balance.targetHosts);
            hosts.since = now;
        }
        balance.targetHosts += hosts.count;
    }
}

auto capacity_planner::hasRequiredLabel(const tracked_host &host, const pool_balance &balance) const -> bool
{
    return balance.requirement.empty()
        || std::ranges::find(host.entry.labels, balance.requirement) != host.entry.labels.end();
}

auto capacity_planner::trackShortages(core::monotonic_time now) -> void
{
    for (const auto &[pool, balance] : m_balances) {
        if (!balance.standby && balance.targetHosts > balance.have) {
            m_shortSince.try_emplace(pool, now);
        } else {
            m_shortSince.erase(pool);
        }
    }
}

auto capacity_planner::isShortForLongRunning(const pool_balance &balance) -> bool
{
    return !balance.standby && balance.inService + balance.arriving < balance.reservedHosts;
}

auto capacity_planner::isNeededForLongRunning(const tracked_host &host, core::monotonic_time now) const -> bool
{
    const auto found = m_balances.find(*host.order.pool);
    if (found == m_balances.end()) {
        return false;
    }
    auto without = found->second;
    without.arriving -= isArriving(host, now) ? 1 : 0;
    return isShortForLongRunning(without);
}

auto capacity_planner::trackLongRunningShortages(core::monotonic_time now) -> void
{
    for (const auto &[pool, balance] : m_balances) {
        if (isShortForLongRunning(balance)) {
            m_longRunningShortSince.try_emplace(pool, now);
        } else {
            m_longRunningShortSince.erase(pool);
        }
    }
}

auto capacity_planner::isAnyPoolShort() const -> bool
{
    return std::ranges::any_of(m_balances, [](const auto &entry) {
        return !entry.second.standby && entry.second.targetHosts > entry.second.have;
    });
}
} // namespace poplarpass::capacity
