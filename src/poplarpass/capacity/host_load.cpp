#include <poplarpass/capacity/host_load.h>

#include <algorithm>

namespace poplarpass::capacity::internal
{
namespace
{
/// \brief A run without reported progress that exceeds its estimate is assumed to have this fraction of it left.
constexpr int overdueDivisor = 4;

auto remainingRunTimeOf(const jobs::step_spec &step, const jobs::task_record &state, core::monotonic_time now)
    -> core::duration
{
    if (const auto reported = jobs::remainingRunTime(state)) {
        return std::max<core::duration>(*reported - (now - state.reportedAt), core::duration{0});
    }
    return std::max<core::duration>(state.startedAt + step.estimate - now, step.estimate / overdueDivisor);
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

// Estimates of callers are often off by a factor of two, so the progress that the worker reports counts for more.
auto remainingRunTimeOf(const jobs::worker_slot &worker, const jobs::job_engine &engine, core::monotonic_time now)
    -> core::duration
{
    core::duration longest{0};
    for (const auto &task : worker.placed) {
        const auto *job = engine.find(task.job);
        if (job != nullptr && job->has(task)) {
            const auto &state = job->tasks[job->positionOf(task.occurrence, task.step, task.index)];
            longest = std::max(longest, remainingRunTimeOf(job->spec.steps[task.step], state, now));
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
