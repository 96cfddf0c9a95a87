#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/pool_demand.h>

#include <algorithm>

namespace poplarpass::capacity
{
namespace
{
constexpr std::int64_t millisecondsPerSecond = 1000;

auto workOf(const jobs::multistep_job_spec &spec) -> std::int64_t
{
    std::int64_t work = 0;
    for (const auto &step : spec.steps) {
        work += step.perTask.cpu * std::int64_t{step.taskCount} * step.estimate.count() / millisecondsPerSecond;
    }
    return work;
}

auto addWaitingDemand(const jobs::multistep_job_record &job, pool_load &load) -> void
{
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const auto &spec = job.spec.steps[step];
        if (job.unfinishedOf(0, step) == 0 || !job.areDependenciesDone(0, step)) {
            continue;
        }
        const auto first = job.positionOf(0, step, 0);
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            if (job.tasks[first + index].phase == jobs::task_phase::waiting && !spec.bestEffort) {
                load.waiting += spec.perTask.cpu;
            }
        }
    }
}

auto ratePerSecond(std::int64_t work, core::duration window) -> std::int64_t
{
    return work * millisecondsPerSecond / std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
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
        m_arrivals[job.queue.pool].push_back({now, workOf(job.spec)});
    }
}

auto demand_meter::measure(jobs::job_engine &engine, core::monotonic_time now) -> std::map<core::pool_id, pool_load>
{
    std::map<core::pool_id, pool_load> loads;
    for (const auto &[pool, workers] : engine.workers().byPool()) {
        for (const auto *worker : workers) {
            if (worker->listed && !worker->entry.draining && !worker->leaving) {
                loads[pool].capacity += worker->entry.capacity.cpu;
                loads[pool].placed += worker->used.cpu;
            }
        }
    }
    for (auto &[pool, arrivals] : m_arrivals) {
        while (!arrivals.empty() && now - arrivals.front().at > offeredWindow) {
            arrivals.pop_front();
        }
        std::int64_t work = 0;
        std::int64_t recentWork = 0;
        std::size_t recentJobs = 0;
        for (const auto &entry : arrivals) {
            work += entry.work;
            const bool recent = now - entry.at <= burstWindow;
            recentWork += recent ? entry.work : 0;
            recentJobs += recent ? 1 : 0;
        }
        loads[pool].offered = ratePerSecond(work, offeredWindow);
        if (recentJobs >= minBurstJobs) {
            loads[pool].offered = std::max(loads[pool].offered, ratePerSecond(recentWork, burstWindow));
        }
    }
    engine.forEachActive([&](const jobs::multistep_job_record &job) {
        auto &load = loads[job.queue.pool];
        addWaitingDemand(job, load);
        load.minWorkers = std::max(load.minWorkers, antiAffinityWorkersOf(job));
    });
    return loads;
}
} // namespace poplarpass::capacity
