#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/resume_room.h>

#include <algorithm>
#include <map>

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

// The room is looked up only when there is a task to stop, as most drained workers have none.
auto job_engine::suspendResumable(std::span<const worker_slot *const> workers, core::monotonic_time now) -> void
{
    std::map<core::pool_id, internal::resume_room> roomByPool;
    for (const auto *worker : workers) {
        for (const auto &task : worker->placed) {
            const auto [job, state] = locate(task);
            if (job == nullptr || !maySuspend(*job, task, *state, now)) {
                continue;
            }
            const auto &pool = job->queue.pool;
            auto room = roomByPool.find(pool);
            if (room == roomByPool.end()) {
                room = roomByPool.emplace(pool, roomToResume(pool, now)).first;
            }
            if (!room->second.take(*job, task)) {
                continue;
            }
            ++m_counters.tasksSuspended;
            logEvent("task_suspended", nameOf(task), worker->entry.id, state->run, "host_leaves");
            beginClosing(task, *job, *state, now);
        }
    }
}

// Tasks that are being stopped need room again as soon as their runs have ended.
auto job_engine::roomToResume(const core::pool_id &pool, core::monotonic_time now) -> internal::resume_room
{
    internal::resume_room room{eligibleWorkersOf(pool, now)};
    for (const auto &[id, task] : m_closing) {
        const auto [job, state] = locate(task);
        const bool needsRoom = job != nullptr && job->phase == multistep_job_phase::active && job->queue.pool == pool;
        if (needsRoom && m_roomReservations.workerFor(task) == nullptr) {
            room.take(*job, task);
        }
    }
    return room;
}

// Queues with advice are left alone: a ticket for the next worker would have to be asked for first.
auto job_engine::maySuspend(const multistep_job_record &job, const task_ref &task, const task_record &state,
                            core::monotonic_time now) const -> bool
{
    return job.spec.steps[task.step].isResumable() && !job.queue.advice && job.phase == multistep_job_phase::active
        && state.phase == task_phase::running && !state.isStartOpen(now) && mayRestart(job)
        && expectedRemaining(job, task, now) >= minSuspendedRunTime;
}
} // namespace poplarpass::jobs
