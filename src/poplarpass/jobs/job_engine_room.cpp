#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <utility>

// Placement of long-running tasks, and the room that is reserved for those that found none. Answers the load of a pool
// that short tasks keep full: these fit into the first core that becomes free, a long-running task waits for several.
namespace poplarpass::jobs
{
// Reservations last from the stop of a run, or from the first search without a result, to the next start.
auto job_engine::updateRoomReservations(core::monotonic_time now) -> void
{
    m_roomReservations.update(m_workers, [&](const task_ref &task, const worker_slot &worker) {
        const auto [job, state] = locate(task);
        if (job == nullptr || job->phase != multistep_job_phase::active) {
            return false;
        }
        const bool needsRoom = (state->phase == task_phase::waiting || state->phase == task_phase::closing)
            && !internal::needsObservedStart(state->crashes);
        const bool mayStartThere = worker.acceptsStarts(now) && !worker.isReserved(now)
            && worker.entry.pool == job->queue.pool && !m_heldPools.contains(worker.entry.pool);
        return needsRoom && mayStartThere;
    });
}

auto job_engine::reserveRoom(const multistep_job_record &job, const task_ref &task, worker_slot &worker) -> void
{
    m_roomReservations.add(task, internal::requiredResources(job.spec.steps[task.step]), worker);
}

// Long-running tasks come before all others and whatever the share of their account, but within its cap.
auto job_engine::planLongRunning(const core::pool_id &pool, std::span<const active_job *const> active,
                                 core::monotonic_time now, core::wall_time wallTime) -> void
{
    std::vector<internal::ranked_job> order;
    for (const auto *entry : active) {
        if (entry->job->waiting > 0 || entry->job->queue.advice) {
            order.push_back({rankOf(entry->outlook, wallTime), entry->job, entry->accountNumber});
        }
    }
    if (order.empty()) {
        return;
    }
    internal::placement_candidates workers{eligibleWorkersOf(pool, now)};
    if (workers.workers().empty()) {
        return;
    }
    std::ranges::sort(order, [](const auto &entry, const auto &other) { return isPlannedLater(other, entry); });
    for (const auto &entry : order) {
        m_pass.account = entry.account;
        planLongRunningSteps(*entry.job, workers, now, wallTime);
    }
}

auto job_engine::planLongRunningSteps(multistep_job_record &job, internal::placement_candidates &workers,
                                      core::monotonic_time now, core::wall_time wallTime) -> void
{
    job.forEachStartableStep(wallTime, [&](std::uint32_t occurrence, std::uint32_t step) {
        if (!job.spec.steps[step].longRunning) {
            return true;
        }
        if (job.queue.advice) {
            internal::placement_candidates advised{advisedWorkers(job, occurrence, step, workers.workers(), now)};
            planLongRunningStep(job, occurrence, step, advised, workers.workers(), now);
            workers.updateAllUsage();
            requestAdvice(job, occurrence, step, job.waitingOf(occurrence, step), workers.workers(), now);
        } else if (job.waitingOf(occurrence, step) > 0) {
            planLongRunningStep(job, occurrence, step, workers, workers.workers(), now);
        }
        return true;
    });
}

auto job_engine::planLongRunningStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                     internal::placement_candidates &workers, std::span<worker_slot *const> ofPool,
                                     core::monotonic_time now) -> void
{
    const auto released = releaseRoom(job, occurrence, step, now);
    if (!released.empty()) {
        workers.updateAllUsage();
    }
    if (planStep(job, occurrence, step, workers, now)) {
        return;
    }
    recordMismatch(job, step, ofPool);
    noteUnplaced(job, occurrence, step, workers, now);
    for (const auto &task : reserveRoomForStep(job, occurrence, step, workers, now)) {
        if (!released.contains(task)) {
            logEvent("room_reserved", nameOf(task), *m_roomReservations.workerFor(task), 0, "no_room");
        }
    }
}

// The tasks of the step that may start now look for room again: a worker may have become free for them.
auto job_engine::releaseRoom(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                             core::monotonic_time now) -> std::set<task_ref>
{
    std::set<task_ref> released;
    const auto first = job.positionOf(occurrence, step, 0);
    for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
        const task_ref task{job.id, occurrence, step, index};
        if (job.tasks[first + index].isStartable(now) && m_roomReservations.remove(task, m_workers)) {
            released.insert(task);
        }
    }
    return released;
}

auto job_engine::reserveRoomForStep(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                    internal::placement_candidates &workers, core::monotonic_time now)
    -> std::vector<task_ref>
{
    const auto &spec = job.spec.steps[step];
    const auto first = job.positionOf(occurrence, step, 0);
    std::vector<task_ref> reserved;
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        const auto &state = job.tasks[first + index];
        if (!state.isStartable(now) || state.isBoundToWorker() || internal::needsObservedStart(state.crashes)) {
            continue;
        }
        auto *worker = capPermitsReservation(job, spec) ? workers.chooseToReserve(job, occurrence, step) : nullptr;
        if (worker == nullptr) {
            break;
        }
        reserved.push_back({job.id, occurrence, step, index});
        reserveRoom(job, reserved.back(), *worker);
        workers.updateUsage(*worker);
    }
    // Room for a part of a gang is of no use.
    if (spec.gang && reserved.size() < spec.taskCount) {
        for (const auto &task : std::exchange(reserved, {})) {
            m_roomReservations.remove(task, m_workers);
        }
        workers.updateAllUsage();
    }
    return reserved;
}

// Room that the cap of the account does not allow to be used is not kept.
auto job_engine::capPermitsReservation(const multistep_job_record &job, const step_spec &step) -> bool
{
    const auto *limits = limitsOf(job.account);
    if (limits == nullptr || !isLimited(limits->cap)) {
        return true;
    }
    auto used = m_accountUsage.usageOf(job.account);
    m_roomReservations.forEach([&](const task_ref &task) {
        const auto [other, state] = locate(task);
        if (other != nullptr && other->account == job.account && state->phase == task_phase::waiting) {
            used += other->spec.steps[task.step].perTask;
        }
    });
    return roomUnder(limits->cap, used).holds(step.perTask);
}
} // namespace poplarpass::jobs
