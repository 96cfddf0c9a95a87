#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>

#include <algorithm>
#include <array>

namespace poplarpass::jobs
{
auto nameOf(worker_loss loss) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names{"other_instance", "worker_restarted", "lease_lapsed",
                                                           "host_lost"};
    return names.at(static_cast<std::size_t>(loss));
}

namespace internal
{
auto knownRunTime(const task_record &state, const worker_slot &worker) -> core::duration
{
    return state.acknowledged ? std::max(worker.lastHeardAt - state.acknowledgedAt, core::duration{0})
                              : core::duration{0};
}

// A task that several workers were lost under, each time long after its start, may crash them late.
auto observationTime(const crash_record &crashes) -> core::duration
{
    return crashes.later >= lateCrashesBeforeObservation ? lateCrashWindow : startCrashWindow;
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

// A silent worker may only be cut off, and a start without an answer may have been sent to a worker that had ended.
// When the contact was lost long after the start, the run may have ended before the crash.
auto isCertainCrash(const task_record &state, const worker_slot &worker, worker_loss loss, core::monotonic_time now)
    -> bool
{
    const bool hasBegun = state.acknowledged && worker.lastHeardAt >= state.acknowledgedAt;
    const auto contactLostAt = worker.responsive ? now : worker.contactLostAt;
    const bool isSoon = contactLostAt - state.acknowledgedAt < certainCrashWindow;
    return hasBegun && isSoon && loss != worker_loss::lease_lapsed;
}

// Workers also crash for causes of their own. A long-running task is exposed to such crashes for longer, so for it only
// those crashes count for which its job alone could be the cause.
auto isCrashingTask(const crash_record &crashes, bool longRunning) -> bool
{
    const auto blamed = longRunning ? crashes.alone : crashes.atStart;
    const bool isCertain = std::min(blamed, crashes.certain) >= crashesBeforeGivingUp;
    const bool isFrequent = crashes.total() >= uncertainCrashesBeforeGivingUp;
    return isCertain || (isFrequent && (!longRunning || blamed >= crashesBeforeGivingUp));
}
} // namespace internal
} // namespace poplarpass::jobs
