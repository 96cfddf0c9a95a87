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

auto remainingRunTimeOf(const tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> core::duration
{
    const auto *worker = workerSlotOf(host, engine);
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

auto longRunningCountOf(const tracked_host &host, jobs::job_engine &engine) -> std::size_t
{
    const auto *worker = workerSlotOf(host, engine);
    if (worker == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(worker->placed, [&](const jobs::task_ref &task) {
        const auto *job = engine.find(task.job);
        return job != nullptr && job->has(task) && job->spec.steps[task.step].longRunning;
    }));
}

auto occupancyOf(const tracked_host &host, jobs::job_engine &engine) -> std::int64_t
{
    const auto *worker = workerSlotOf(host, engine);
    return worker == nullptr ? 0 : worker->used.cpu + static_cast<std::int64_t>(worker->placed.size());
}
} // namespace poplarpass::capacity::internal
