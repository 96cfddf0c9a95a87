#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>

// Suspension of tasks that save their progress, so that drained workers become empty early. Answers the load of queues
// whose peaks follow each other: hosts have to change pools while the tasks of the peak before still run.
namespace poplarpass::jobs
{
auto job_engine::expectedRemaining(const multistep_job_record &job, const task_ref &task,
                                   core::monotonic_time now) const -> core::duration
{
    const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    if (const auto reported = remainingRunTime(state)) {
        return std::max<core::duration>(*reported - (now - state.reportedAt), core::duration{0});
    }
    const core::duration expected = expectedRunTime(job.queue.name, job.spec.steps[task.step]);
    return std::max<core::duration>(state.startedAt + expected - now, expected / overdueDivisor);
}

auto job_engine::suspendResumable(std::span<const worker_slot *const> workers, core::monotonic_time now) -> void
{
    if (workers.empty()) {
        return;
    }
    auto roomByPool = roomToResume(now);
    for (const auto *worker : workers) {
        for (const auto &task : worker->placed) {
            const auto [job, state] = locate(task);
            if (job == nullptr || !maySuspend(*job, task, *state, now)) {
                continue;
            }
            auto &room = roomByPool[job->queue.pool];
            const auto need = internal::requiredResources(job->spec.steps[task.step]);
            if (!room.holds(need)) {
                continue;
            }
            room -= need;
            ++m_counters.tasksSuspended;
            logEvent("task_suspended", nameOf(task), worker->entry.id, state->run, "host_leaves");
            beginClosing(task, *job, *state, now);
        }
    }
}

// Tasks that are being stopped need room again as soon as their runs have ended.
auto job_engine::roomToResume(core::monotonic_time now) -> std::map<core::pool_id, resources>
{
    std::map<core::pool_id, resources> roomByPool;
    for (const auto &[pool, workers] : m_workers.byPool()) {
        for (const auto *worker : eligibleWorkersOf(pool, now)) {
            roomByPool[pool] += worker->free();
        }
    }
    for (const auto &[id, task] : m_closing) {
        const auto [job, state] = locate(task);
        if (job != nullptr && job->phase == multistep_job_phase::active) {
            roomByPool[job->queue.pool] -= internal::requiredResources(job->spec.steps[task.step]);
        }
    }
    return roomByPool;
}

auto job_engine::maySuspend(const multistep_job_record &job, const task_ref &task, const task_record &state,
                            core::monotonic_time now) const -> bool
{
    return job.spec.steps[task.step].isResumable() && job.phase == multistep_job_phase::active
        && state.phase == task_phase::running && mayRestart(job)
        && expectedRemaining(job, task, now) >= minSuspendedRunTime;
}
} // namespace poplarpass::jobs
