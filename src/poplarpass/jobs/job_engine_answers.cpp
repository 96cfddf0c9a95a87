#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>

#include <algorithm>

// Processing of answers to start and stop orders.
namespace poplarpass::jobs
{
auto job_engine::onStartAnswer(const start_order &order, run_start_answer answer, core::monotonic_time now) -> void
{
    const auto [job, state] = locate(order.task);
    if (job == nullptr || state->run != order.run || state->worker != order.worker) {
        return;
    }
    const bool isPending = state->phase == task_phase::starting || state->phase == task_phase::closing;
    // A report that lists the run shows that one order was carried out, so the first one if there was no other.
    if (answer == run_start_answer::unknown && (isPending || order.attempt > 1)) {
        openStart(order.task, *job, *state, now);
    }
    if (!isPending) {
        return;
    }
    switch (answer) {
    case run_start_answer::started:
        onStartAccepted(order, *job, *state, now);
        return;
    case run_start_answer::unknown:
        onStartUnanswered(order, *job, *state, now);
        return;
    default:
        onStartRejected(order, answer, *job, *state, now);
        return;
    }
}

auto job_engine::onStartAccepted(const start_order &order, multistep_job_record &job, task_record &state,
                                 core::monotonic_time now) -> void
{
    if (auto *worker = m_workers.find(order.worker)) {
        worker->lastHeardAt = now;
        markStarted(job, *worker);
    }
    state.acknowledged = true;
    state.acknowledgedAt = now;
    state.hasOpenStart = state.isStartOpen(now);
    if (state.phase == task_phase::starting) {
        setPhase(order.task, job, state, task_phase::running);
        recordStart(job, order.task);
    }
    shortenObservation(order, state, now);
}

// Before the acknowledgement the worker is reserved for as long as the order may take.
auto job_engine::shortenObservation(const start_order &order, const task_record &state, core::monotonic_time now)
    -> void
{
    auto *worker = m_workers.find(order.worker);
    const bool isObserved = worker != nullptr && worker->observation && worker->observation->job == order.task.job;
    if (isObserved && internal::needsObservedStart(state.crashes)) {
        worker->observation->until = now + internal::observationTime(state.crashes) + crashNoticeDelay;
    }
}

// Retries the start of the same run, which a worker carries out at most once. Only when the retries fail is the run
// stopped, so that a run with a higher number can start. A long-running task may have started meanwhile and is not
// stopped: the next report decides.
auto job_engine::onStartUnanswered(const start_order &order, multistep_job_record &job, task_record &state,
                                   core::monotonic_time now) -> void
{
    ++state.unansweredStarts;
    if (state.phase != task_phase::starting) {
        logEvent("start_unanswered", nameOf(order.task), order.worker, order.run, "closing");
        return;
    }
    if (retryStart(job, order.task, state)) {
        return;
    }
    const bool waitsForReport = job.spec.steps[order.task.step].longRunning;
    logEvent("start_unanswered", nameOf(order.task), order.worker, order.run, waitsForReport ? "waiting" : "closing");
    if (waitsForReport) {
        state.unansweredAt = now;
    } else {
        beginClosing(order.task, job, state, now);
    }
}

// Starts are not retried on an unresponsive or restarted worker: an order carried out late would extend its lease.
auto job_engine::retryStart(const multistep_job_record &job, const task_ref &task, task_record &state) -> bool
{
    const auto *worker = m_workers.find(state.worker);
    const bool sameIncarnation =
        worker != nullptr && worker->responsive && worker->entry.incarnation == state.workerIncarnation;
    if (!sameIncarnation || state.startAttempts >= maxStartAttempts) {
        return false;
    }
    orderStart(job, task, state);
    logEvent("start_unanswered", nameOf(task), state.worker, state.run, "repeated");
    return true;
}

auto job_engine::onStartRejected(const start_order &order, run_start_answer answer, multistep_job_record &job,
                                 task_record &state, core::monotonic_time now) -> void
{
    ++m_counters.startsRejected;
    logEvent("start_rejected", nameOf(order.task), order.worker, order.run, nameOf(answer));
    if (order.attempt > 1 && answer != run_start_answer::other_instance) {
        // An earlier order for the run had no answer. If superseded, that order was carried out and the run has ended,
        // and the next report contains its end. Otherwise the order may still be carried out.
        if (answer == run_start_answer::superseded) {
            if (state.run == 1 && state.unansweredStarts == 1) {
                // No other order exists that could still be carried out.
                setStartOpenUntil(order.task, state, {});
            }
            onStartAccepted(order, job, state, now);
        } else if (state.phase == task_phase::starting) {
            beginClosing(order.task, job, state, now);
        }
        return;
    }
    if (answer == run_start_answer::no_ticket) {
        m_advice.discardTicket(stepNameOf(order.task), order.worker);
    }
    auto pause = core::duration{0};
    if (answer == run_start_answer::no_room) {
        pause = noRoomRetryDelay;
    } else if (answer != run_start_answer::superseded && answer != run_start_answer::too_late
               && answer != run_start_answer::no_ticket) {
        pause = unhealthyPause;
    }
    if (auto *worker = m_workers.find(order.worker)) {
        worker->pausedUntil = std::max(worker->pausedUntil, now + pause);
    }
    if (answer == run_start_answer::other_instance) {
        setStartOpenUntil(order.task, state, {});
    }
    resetToWaiting(order.task, job, state, now, nameOf(answer));
    if (answer == run_start_answer::other_instance) {
        onOtherInstance(order.worker, now);
    }
}

auto job_engine::onStopAnswer(const stop_order &order, stop_answer answer, core::monotonic_time now) -> void
{
    if (answer == stop_answer::other_instance) {
        onOtherInstance(order.worker, now);
        return;
    }
    if (answer == stop_answer::stopped) {
        onLingeringStopped(order, now);
    }
    const auto task = parseTaskName(order.task);
    const auto [job, state] = task ? locate(*task) : located_task{};
    const bool current = job != nullptr && state->run == order.run && state->worker == order.worker
        && state->phase == task_phase::closing;
    if (current && answer == stop_answer::stopped && !state->stopConfirmed) {
        state->stopConfirmed = true;
        state->stopConfirmedAt = now;
    }
}
} // namespace poplarpass::jobs
