#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>

#include <algorithm>
#include <array>

namespace poplarpass::jobs
{
auto nameOf(worker_loss loss) -> std::string_view
{
    static constexpr std::array<std::string_view, 5> names{"other_instance", "worker_restarted", "lease_lapsed",
                                                           "host_lost", "host_replaced"};
    return names.at(static_cast<std::size_t>(loss));
}

namespace internal
{
auto knownRunTime(const task_record &state, const worker_slot &worker) -> core::duration
{
    return state.acknowledged ? std::max(worker.lastHeardAt - state.acknowledgedAt, core::duration{0})
                              : core::duration{0};
}

auto silent_worker::incarnation() const -> std::int64_t
{
    return runs.empty() ? 0 : std::ranges::max(runs, {}, &lost_run::workerIncarnation).workerIncarnation;
}

// A task under which several workers crashed without enough evidence may crash them late.
auto observationTime(const crash_record &crashes) -> core::duration
{
    return crashes.total() >= lateCrashesBeforeObservation ? lateCrashWindow : startCrashWindow;
}

auto isCrashSuspect(const task_record &state, const worker_slot &worker) -> bool
{
    return knownRunTime(state, worker) < observationTime(state.crashes);
}

// A crash would have been noticed by then.
auto hasPassedObservation(const task_record &state, core::monotonic_time now) -> bool
{
    return state.acknowledged && now - state.acknowledgedAt >= observationTime(state.crashes) + crashNoticeDelay;
}

auto needsObservedStart(const crash_record &crashes) -> bool
{
    return crashes.atStart > 0 || crashes.later >= lateCrashesBeforeObservation;
}

// A start without an answer may have been sent to a worker that had ended, and the start of a former owner's run is not
// known. When the contact was lost long after the start, the run may have ended before the crash.
auto isCertainCrash(const task_record &state, const worker_slot &worker, core::monotonic_time now) -> bool
{
    const bool hasBegun =
        state.acknowledged && !state.placedByFormerOwner && worker.lastHeardAt >= state.acknowledgedAt;
    const auto contactLostAt = worker.responsive ? now : worker.contactLostAt;
    const bool mayCrashLate = state.crashes.total() >= lateCrashesBeforeObservation;
    const auto window = mayCrashLate ? lateCrashWindow : certainCrashWindow;
    return hasBegun && contactLostAt - state.acknowledgedAt < window;
}

// While its only start order is under way, a run may exist or not. Another instance at the worker's address refuses
// that order, and a worker that was lost before refuses it or never gets it. Before a lease has lapsed all orders were
// answered or timed out.
auto mayHaveBegun(const task_record &state, worker_loss loss) -> bool
{
    return state.acknowledged || state.unansweredStarts > 0 || loss == worker_loss::lease_lapsed;
}

auto lostRunOf(const task_ref &task, const task_record &state, const worker_slot &worker, worker_loss loss,
               core::monotonic_time now) -> lost_run
{
    lost_run run;
    run.task = task;
    run.workerIncarnation = state.workerIncarnation;
    run.isSuspect = isCrashSuspect(state, worker);
    run.mayHaveBegun = mayHaveBegun(state, loss);
    run.isStartKnown = !state.placedByFormerOwner;
    run.isCertain = isCertainCrash(state, worker, now);
    return run;
}

auto isEvidence(const lost_run &run) -> bool
{
    return run.isSuspect && run.mayHaveBegun;
}

// Also a run of which it is not known whether it has begun may be the cause.
auto areSuspectsOfOneJob(std::span<const lost_run> runs) -> bool
{
    const lost_run *first = nullptr;
    return std::ranges::all_of(runs, [&](const lost_run &run) {
        first = first == nullptr && run.isSuspect ? &run : first;
        return !run.isSuspect || run.task.job == first->task.job;
    });
}

// Earlier builds also counted workers that were only silent, except as certain.
auto withoutCountedSilence(crash_record stored) -> crash_record
{
    stored.alone = std::min(stored.alone, stored.certain + 1);
    return stored;
}

// Workers also crash for causes of their own. A long-running task is exposed to more such crashes, and its failed runs
// have no limit either, so for it only crashes count for which its job alone could be the cause.
auto isCrashingTask(const crash_record &crashes, bool longRunning) -> bool
{
    const auto further = longRunning ? furtherCrashesOfLongRunning : 0;
    // Crashes of which a task was cleared no longer count as crashes at its start.
    const auto certain = std::min(crashes.certain, longRunning ? crashes.alone : crashes.atStart);
    return certain >= certainCrashesBeforeGivingUp + further || crashes.alone >= likelyCrashesBeforeGivingUp + further;
}
} // namespace internal
} // namespace poplarpass::jobs
