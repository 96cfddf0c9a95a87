#include <poplarpass/capacity/host_load.h>

#include <algorithm>

namespace poplarpass::capacity::internal
{
auto workerSlotOf(const tracked_host &host, jobs::job_engine &engine) -> jobs::worker_slot *
{
    return host.entry.worker.empty() ? nullptr : engine.workers().find(host.entry.worker);
}

auto isEmpty(const tracked_host &host, jobs::job_engine &engine) -> bool
{
    const auto *worker = workerSlotOf(host, engine);
    return worker == nullptr || worker->placed.empty();
}

auto remainingRunTimeOf(const jobs::worker_slot &worker, const jobs::job_engine &engine, core::monotonic_time now)
    -> core::duration
{
    core::duration longest{0};
    for (const auto &task : worker.placed) {
        const auto *job = engine.find(task.job);
        if (job != nullptr && job->has(task)) {
            const auto &state = job->tasks[job->positionOf(task.occurrence, task.step, task.index)];
            longest = std::max<core::duration>(longest, state.startedAt + job->spec.steps[task.step].estimate - now);
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
