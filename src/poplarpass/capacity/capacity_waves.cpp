#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_load.h>

#include <algorithm>
#include <utility>

// Scheduling of maintenance waves.
namespace poplarpass::capacity
{
using internal::isInService;
using internal::occupancyOf;

auto capacity_planner::planWaves(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    m_maintenanceBlocked.clear();
    for (auto &[number, wave] : m_waves) {
        if (!wave.completed) {
            planWave(wave, engine, now);
        }
    }
}

// While the wave is on schedule, it drains the least occupied hosts first and skips hosts that their pools need. When
// it is behind schedule, it drains needed hosts as well, up to the cap of the wave, so that it ends before its
// deadline. Hosts that the long-running tasks of their pool need are never drained, as the tasks could not leave them;
// when the wave is behind schedule, their pool gets another host first.
auto capacity_planner::planWave(wave_progress &wave, jobs::job_engine &engine, core::monotonic_time now) -> void
{
    std::vector<tracked_host *> candidates;
    std::size_t outCount = 0;
    std::size_t unfinished = 0;
    for (const auto &id : wave.request.hosts) {
        auto *host = m_hosts.find(id);
        if (host == nullptr) {
            continue;
        }
        const bool belongsToWave =
            host->step != host_step::none && !host->order.pool && host->order.wave == wave.request.number;
        if (belongsToWave || host->entry.condition == host_condition::maintenance) {
            ++outCount;
        }
        if (wave.done.contains(id)) {
            continue;
        }
        ++unfinished;
        if (host->step == host_step::none && host->entry.condition == host_condition::up) {
            candidates.push_back(host);
        }
    }
    if (unfinished == 0) {
        wave.completed = true;
        wave.reported = false;
        return;
    }
    const auto slots = std::min<std::size_t>(wave.request.cap, waveConcurrency);
    const auto steps = std::max<std::int64_t>((wave.deadline - waveDeadlineMargin - now) / hostMaintenanceTime, 1);
    const bool behindSchedule = unfinished > slots * static_cast<std::size_t>(steps - 1);
    const auto limit = behindSchedule ? std::size_t{wave.request.cap} : slots;
    std::ranges::sort(candidates, {}, [&](const tracked_host *host) {
        return std::pair{occupancyOf(*host, engine), host->entry.id};
    });
    for (auto *host : candidates) {
        if (outCount >= limit) {
            return;
        }
        auto &balance = m_balances[host->entry.pool];
        const bool needed = balance.requiredHosts >= balance.have || (balance.standby && isAnyPoolShort());
        if (!behindSchedule && needed) {
            continue;
        }
        if (takesNeededHost(*host, balance, engine, now)) {
            if (behindSchedule) {
                m_maintenanceBlocked.insert(host->entry.pool);
            }
            continue;
        }
        balance.inService -= isInService(*host, engine, now) ? 1 : 0;
        --balance.have;
        beginDrain(*host, host_order{host->entry.id, std::nullopt, wave.request.number}, engine, now);
        ++outCount;
    }
}

// The measured need is an estimate: hosts that run all long-running tasks of their pool are enough.
auto capacity_planner::takesNeededHost(const tracked_host &host, const pool_balance &balance, jobs::job_engine &engine,
                                       core::monotonic_time now) -> bool
{
    const auto *worker = internal::workerSlotOf(host, engine);
    const bool holdsLongRunning = worker != nullptr && worker->longRunningRuns > 0;
    const bool runElsewhere = !holdsLongRunning && balance.load.longRunningInService >= balance.load.longRunningTasks;
    const auto left = balance.inService - (isInService(host, engine, now) ? 1 : 0);
    return !balance.standby && !runElsewhere && left < balance.longRunningHosts;
}

auto capacity_planner::poolsAwaitingMaintenance() -> std::set<core::pool_id>
{
    std::set<core::pool_id> pools;
    for (const auto &[number, wave] : m_waves) {
        if (wave.completed) {
            continue;
        }
        for (const auto &id : wave.request.hosts) {
            const auto *host = wave.done.contains(id) ? nullptr : m_hosts.find(id);
            if (host != nullptr) {
                pools.insert(host->entry.pool);
            }
        }
    }
    return pools;
}
} // namespace poplarpass::capacity
