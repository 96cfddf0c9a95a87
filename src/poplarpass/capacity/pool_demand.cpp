#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/pool_demand.h>

#include <algorithm>

namespace poplarpass::capacity
{
namespace
{
constexpr std::int64_t millisecondsPerSecond = 1000;

/// \brief Work that arrived for a pool from accounts without a cap, thousandths of core-seconds.
struct arrived_work
{
    std::int64_t work = 0; ///< Within offeredWindow.
    std::int64_t recentWork = 0; ///< Within burstWindow.
    std::size_t recentJobs = 0; ///< Jobs within burstWindow, of all accounts.
};

auto workOf(const jobs::multistep_job_spec &spec) -> std::int64_t
{
    std::int64_t work = 0;
    for (const auto &step : spec.steps) {
        work += step.perTask.cpu * std::int64_t{step.taskCount} * step.estimate.count() / millisecondsPerSecond;
    }
    return work;
}

auto addWaitingDemand(const jobs::multistep_job_record &job, pool_load &load, capped_demand &capped) -> void
{
    const bool isCapped = capped.applies(job.account);
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const auto &spec = job.spec.steps[step];
        if (job.unfinishedOf(0, step) == 0 || !job.areDependenciesDone(0, step)) {
            continue;
        }
        const auto first = job.positionOf(0, step, 0);
        std::int64_t waiting = 0;
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            const bool isWaiting = job.tasks[first + index].phase == jobs::task_phase::waiting;
            waiting += isWaiting && !spec.bestEffort ? 1 : 0;
        }
        if (isCapped && waiting > 0) {
            capped.addWaiting(job, jobs::resourcesToStart(spec), spec.gang ? 1 : waiting);
        } else {
            load.waiting += waiting * spec.perTask.cpu;
        }
    }
}

/// \brief Returns the resources that a run of \p step reserves on a worker.
auto reservationOf(const jobs::step_spec &step) -> jobs::resources
{
    auto need = step.perTask;
    need.cpu = step.bestEffort ? 0 : need.cpu;
    return need;
}

/// \brief Adds the long-running tasks of \p job that run, or wait and may start under the cap of their account.
auto addLongRunningDemand(const jobs::multistep_job_record &job, const jobs::resources &hostCapacity, cap_rooms &rooms,
                          pool_load &load) -> void
{
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const auto &spec = job.spec.steps[step];
        if (!spec.longRunning || !job.areDependenciesDone(0, step)) {
            continue;
        }
        const auto perHost = startsIn(hostCapacity, reservationOf(spec));
        if (perHost > 0) {
            const auto waiting = rooms.take(job.account, spec.perTask, job.waitingOf(0, step));
            const auto tasks = job.unfinishedOf(0, step) - job.waitingOf(0, step) + waiting;
            load.longRunningTasks += tasks;
            load.longRunningWaiting += waiting;
            load.longRunningHosts += static_cast<double>(tasks) / static_cast<double>(perHost);
        }
    }
}

auto rateIn(const std::map<core::pool_id, std::int64_t> &rates, const core::pool_id &pool) -> std::int64_t
{
    const auto found = rates.find(pool);
    return found == rates.end() ? 0 : found->second;
}

/// \brief Returns the minimum number of workers that satisfies the anti-affinity of the long-running tasks of \p job.
auto antiAffinityWorkersOf(const jobs::multistep_job_record &job) -> std::uint32_t
{
    std::uint32_t workers = 0;
    for (const auto &step : job.spec.steps) {
        if (step.longRunning && step.antiAffinity > 0) {
            workers = std::max(workers, (step.taskCount + step.antiAffinity - 1) / step.antiAffinity);
        }
    }
    return workers;
}
} // namespace

auto demand_meter::onJob(const jobs::multistep_job_record &job, core::monotonic_time now) -> void
{
    if (!job.spec.isLongRunning() && job.spec.repeatCount == 0) {
        m_arrivals[job.queue.pool].push_back({now, workOf(job.spec), job.account});
    }
}

auto demand_meter::measure(jobs::job_engine &engine, const jobs::resources &hostCapacity, core::monotonic_time now)
    -> std::map<core::pool_id, pool_load>
{
    std::map<core::pool_id, pool_load> loads;
    for (const auto &[pool, workers] : engine.workers().byPool()) {
        for (const auto *worker : workers) {
            if (worker->listed && !worker->entry.draining && !worker->leaving) {
                loads[pool].capacity += worker->entry.capacity.cpu;
                loads[pool].placed += worker->used.cpu;
            }
            if (worker->acceptsStarts(now)) {
                loads[pool].longRunningInService += worker->longRunningRuns;
            }
        }
    }
    measureOffered(engine, now, loads);
    capped_demand capped{engine};
    cap_rooms rooms{engine};
    engine.forEachActive([&](const jobs::multistep_job_record &job) {
        auto &load = loads[job.queue.pool];
        addWaitingDemand(job, load, capped);
        addLongRunningDemand(job, hostCapacity, rooms, load);
        load.minWorkers = std::max(load.minWorkers, antiAffinityWorkersOf(job));
    });
    for (const auto &[pool, waiting] : capped.waitingByPool()) {
        loads[pool].waiting += waiting;
    }
    return loads;
}

auto demand_meter::measureOffered(const jobs::job_engine &engine, core::monotonic_time now,
                                  std::map<core::pool_id, pool_load> &loads) -> void
{
    std::map<core::pool_id, arrived_work> arrived;
    capped_demand capped{engine};
    capped_demand cappedRecent{engine};
    for (auto &[pool, arrivals] : m_arrivals) {
        while (!arrivals.empty() && now - arrivals.front().at > offeredWindow) {
            arrivals.pop_front();
        }
        auto &sum = arrived[pool];
        for (const auto &entry : arrivals) {
            const bool recent = now - entry.at <= burstWindow;
            sum.recentJobs += recent ? 1 : 0;
            if (capped.applies(entry.account)) {
                capped.addOffered(entry.account, pool, entry.work);
                cappedRecent.addOffered(entry.account, pool, recent ? entry.work : 0);
                continue;
            }
            sum.work += entry.work;
            sum.recentWork += recent ? entry.work : 0;
        }
    }
    const auto rates = capped.offeredByPool(offeredWindow);
    const auto recentRates = cappedRecent.offeredByPool(burstWindow);
    for (const auto &[pool, sum] : arrived) {
        auto &offered = loads[pool].offered;
        offered = ratePerSecond(sum.work, offeredWindow) + rateIn(rates, pool);
        if (sum.recentJobs >= minBurstJobs) {
            offered = std::max(offered, ratePerSecond(sum.recentWork, burstWindow) + rateIn(recentRates, pool));
        }
    }
}
} // namespace poplarpass::capacity
