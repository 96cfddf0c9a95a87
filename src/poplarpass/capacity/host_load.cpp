#include <poplarpass/capacity/host_load.h>
#include <poplarpass/jobs/constants.h>

#include <algorithm>

namespace poplarpass::capacity::internal
{
namespace
{
/// \brief Returns the time until \p task has left its worker once that is drained.
auto drainTimeOf(const jobs::multistep_job_record &job, const jobs::task_ref &task, const jobs::job_engine &engine,
                 core::monotonic_time now) -> core::duration
{
    const auto remaining = engine.expectedRemaining(job, task, now);
    return job.spec.steps[task.step].isResumable() ? std::min(remaining, jobs::minSuspendedRunTime) : remaining;
}
} // namespace

auto workerSlotOf(const tracked_host &host, jobs::job_engine &engine) -> jobs::worker_slot *
{
    return host.entry.worker.empty() ? nullptr : engine.workers().find(host.entry.worker);
}

auto isEmpty(const tracked_host &host, jobs::job_engine &engine) -> bool
{
    const auto *worker = workerSlotOf(host, engine);
    return worker == nullptr || worker->placed.empty();
}

auto isInService(const tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> bool
{
    const auto *worker = workerSlotOf(host, engine);
    return worker != nullptr && worker->acceptsStarts(now);
}

// Estimates of callers are often off by a factor of two, so the progress that the worker reports counts for more.
auto remainingRunTimeOf(const jobs::worker_slot &worker, const jobs::job_engine &engine, core::monotonic_time now)
    -> core::duration
{
    core::duration longest{0};
    for (const auto &task : worker.placed) {
        const auto *job = engine.find(task.job);
        if (job != nullptr && job->has(task)) {
            longest = std::max(longest, drainTimeOf(*job, task, engine, now));
        }
    }
    return longest;
}

auto occupancyOf(const tracked_host &host, jobs::job_engine &engine) -> std::int64_t
{
    const auto *worker = workerSlotOf(host, engine);
    return worker == nullptr ? 0 : worker->used.cpu + static_cast<std::int64_t>(worker->placed.size());
}
} // namespace poplarpass::capacity::internal
