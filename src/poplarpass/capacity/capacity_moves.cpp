#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_load.h>

#include <algorithm>
#include <cmath>
#include <tuple>

// Moves of hosts between pools.
namespace poplarpass::capacity
{
using internal::isInService;
using internal::remainingRunTimeOf;
using internal::workerSlotOf;

auto capacity_planner::move(tracked_host &host, const core::pool_id &pool, jobs::job_engine &engine,
                            core::monotonic_time now) -> void
{
    auto &from = m_balances[host.entry.pool];
    auto &to = m_balances[pool];
    --from.have;
    from.inService -= isInService(host, engine, now) ? 1 : 0;
    ++to.have;
    ++to.arriving;
    ++m_moving;
    beginDrain(host, host_order{host.entry.id, pool, 0}, engine, now);
}

// Moves hosts from pools above their target to pools below it. Candidates without work come first, in active pools
// before standby, then those with the fewest long-running tasks and the shortest remaining run time. Surplus hosts that
// stay idle move to standby.
auto capacity_planner::planMoves(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    const auto shortPools = poolsByShortage();
    if (!shortPools.empty() || !m_longRunningShortSince.empty()) {
        const auto candidates = moveCandidates(engine, now);
        fillForLongRunning(candidates, engine, now);
        for (const auto &pool : shortPools) {
            fillPool(pool, candidates, engine, now);
        }
    }
    moveIdleToStandby(engine, now);
}

auto capacity_planner::poolsByShortage() -> std::vector<core::pool_id>
{
    std::vector<core::pool_id> shortPools;
    for (const auto &[pool, balance] : m_balances) {
        if (!balance.standby && balance.targetHosts > balance.have) {
            shortPools.push_back(pool);
        }
    }
    std::ranges::sort(shortPools, std::greater{},
                      [&](const core::pool_id &pool) { return m_balances[pool].targetHosts - m_balances[pool].have; });
    return shortPools;
}

// A host on standby may move at once: a demand that rises again soon after its fall must not wait for it.
auto capacity_planner::isMovable(const tracked_host &host, core::monotonic_time now) const -> bool
{
    const auto balance = m_balances.find(host.entry.pool);
    const bool isOnStandby = balance != m_balances.end() && balance->second.standby;
    return host.step == host_step::none && host.entry.condition == host_condition::up
        && (isOnStandby || now - host.since >= minPoolResidence);
}

auto capacity_planner::moveCandidates(jobs::job_engine &engine, core::monotonic_time now) -> std::vector<move_candidate>
{
    std::vector<move_candidate> candidates;
    for (auto &[id, host] : m_hosts.all()) {
        if (!isMovable(host, now)) {
            continue;
        }
        move_candidate candidate;
        candidate.host = &host;
        candidate.worker = workerSlotOf(host, engine);
        candidate.isOnStandby = m_balances[host.entry.pool].standby;
        if (candidate.worker != nullptr && !candidate.worker->placed.empty()) {
            candidate.hasWork = true;
            candidate.longRunningRuns = candidate.worker->longRunningRuns;
            candidate.remainingRunTime = remainingRunTimeOf(*candidate.worker, engine, now);
        }
        candidates.push_back(candidate);
    }
    std::ranges::stable_sort(candidates, {}, [](const move_candidate &candidate) {
        return std::tuple{candidate.hasWork, candidate.isOnStandby, candidate.longRunningRuns,
                          candidate.remainingRunTime};
    });
    return candidates;
}

auto capacity_planner::fillPool(const core::pool_id &pool, std::span<const move_candidate> candidates,
                                jobs::job_engine &engine, core::monotonic_time now) -> void
{
    for (const auto &candidate : candidates) {
        auto *host = candidate.host;
        const auto &balance = m_balances[pool];
        if (balance.targetHosts <= balance.have || m_moving >= maxMoving()) {
            return;
        }
        const auto &from = m_balances[host->entry.pool];
        const bool spare = from.standby || (from.have > from.targetHosts && from.inService > from.longRunningHosts);
        const bool idle = from.standby || now - host->idleSince >= idleBeforeMove;
        const bool drainable = idle || canDrainForMove(candidate, pool, now);
        if (host->step == host_step::none && spare && drainable && host->entry.pool != pool
            && !host->refusedPools.contains(pool) && hasRequiredLabel(*host, balance)) {
            move(*host, pool, engine, now);
        }
    }
}

// In a general shortage no pool is above its target. A pool that lacks hosts for its long-running tasks then gets hosts
// of any pool that has more than its own long-running tasks need.
auto capacity_planner::fillForLongRunning(std::span<const move_candidate> candidates, jobs::job_engine &engine,
                                          core::monotonic_time now) -> void
{
    for (const auto &[pool, since] : m_longRunningShortSince) {
        if (now - since < longRunningShortageDelay) {
            continue;
        }
        for (const auto &candidate : candidates) {
            if (!isShortForLongRunning(m_balances[pool]) || m_moving >= maxMoving()) {
                break;
            }
            if (mayMoveForLongRunning(candidate, pool, now)) {
                move(*candidate.host, pool, engine, now);
            }
        }
    }
}

auto capacity_planner::mayMoveForLongRunning(const move_candidate &candidate, const core::pool_id &pool,
                                             core::monotonic_time now) const -> bool
{
    const auto &host = *candidate.host;
    const auto &from = m_balances.at(host.entry.pool);
    const bool accepts = candidate.worker != nullptr && candidate.worker->acceptsStarts(now);
    const bool spare = from.standby || (accepts && from.inService > std::max(from.longRunningHosts, minPoolHosts));
    return host.step == host_step::none && spare && candidate.longRunningRuns == 0 && host.entry.pool != pool
        && !host.refusedPools.contains(pool) && hasRequiredLabel(host, m_balances.at(pool));
}

// Short tasks run to their end. Long-running tasks have to move to other hosts of their pool, within the limits of
// their steps, which costs more than a brief shortage.
auto capacity_planner::canDrainForMove(const move_candidate &candidate, const core::pool_id &pool,
                                       core::monotonic_time now) const -> bool
{
    const auto since = m_shortSince.find(pool);
    const bool isPersistent = since != m_shortSince.end() && now - since->second >= shortageBeforeEvacuation;
    return candidate.worker != nullptr && (isPersistent || candidate.longRunningRuns == 0);
}

auto capacity_planner::maxMoving() const -> std::size_t
{
    return static_cast<std::size_t>(std::ceil(static_cast<double>(m_hosts.all().size()) * maxMovingShare));
}

// After the start of an owner, no host moves to standby until the first load can be measured, or none has arrived for
// startupStandbyDelay.
auto capacity_planner::isDemandEstablished(const jobs::job_engine &engine, core::monotonic_time now) -> bool
{
    if (m_demandEstablishedAt && now >= *m_demandEstablishedAt) {
        return true;
    }
    m_demandEstablishedAt = m_demandEstablishedAt.value_or(now + startupStandbyDelay);
    const bool hasShortJob =
        std::ranges::any_of(engine.jobs(), [](const auto &entry) { return !entry.second.spec.isLongRunning(); });
    if (hasShortJob) {
        m_demandEstablishedAt = std::min(*m_demandEstablishedAt, now + firstJobStandbyDelay);
    }
    return false;
}

auto capacity_planner::moveIdleToStandby(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    const auto standby = std::ranges::find_if(m_balances, [](const auto &entry) { return entry.second.standby; });
    if (standby == m_balances.end() || !isDemandEstablished(engine, now)) {
        return;
    }
    for (auto &[id, host] : m_hosts.all()) {
        if (now - host.idleSince < idleBeforeStandby || !isMovable(host, now)) {
            continue;
        }
        const auto &from = m_balances[host.entry.pool];
        if (!from.standby && from.have > from.targetHosts && m_moving < maxMoving()
            && !host.refusedPools.contains(standby->first)) {
            move(host, standby->first, engine, now);
        }
    }
}
} // namespace poplarpass::capacity
