#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>

#include <algorithm>
#include <cassert>
#include <unordered_set>
#include <utility>

// Processing of worker entries and of reports, the answers to lease renewals.
namespace poplarpass::jobs
{
namespace
{
auto runKey(std::string_view task, std::uint32_t run) -> std::string
{
    return std::string{task} + "/" + std::to_string(run);
}

// The earliest time at which the incarnation that reports may have started; its clock runs from its start.
auto startOf(const renewal_report &report, core::monotonic_time sentAt) -> core::monotonic_time
{
    const std::chrono::duration<double, std::milli> age{static_cast<double>(report.clockMs) / minWorkerClockRate};
    return sentAt - std::chrono::duration_cast<core::duration>(age);
}

auto listsTask(const renewal_report &report, const std::string &task) -> bool
{
    return std::ranges::find(report.running, task, &running_run::task) != report.running.end();
}

auto runsListedIn(const renewal_report &report) -> std::unordered_set<std::string>
{
    std::unordered_set<std::string> listed;
    for (const auto &running : report.running) {
        listed.insert(runKey(running.task, running.run));
    }
    return listed;
}
} // namespace

auto job_engine::updateWorkers(std::span<const worker_entry> entries, core::monotonic_time now) -> void
{
    m_workers.update(entries, now);
    m_workers.removeUnused(now);
}

auto job_engine::onReport(const worker_id &id, const renewal_report &report, core::monotonic_time sentAt,
                          core::monotonic_time now) -> std::uint64_t
{
    auto *worker = m_workers.find(id);
    if (worker == nullptr) {
        return 0;
    }
    const auto incarnation = std::max(report.incarnation, worker->entry.incarnation);
    if (report.incarnation != 0 && report.incarnation < incarnation) {
        return 0;
    }
    if (incarnation != worker->reportedIncarnation) {
        limitUnknownLeases(*worker, report, sentAt, now);
        worker_table::startIncarnation(*worker, incarnation);
        resolveEarlierIncarnation(*worker, report, sentAt, now);
        endPredecessors(*worker, now);
    }
    // An answer to a call from before the lapse may be older than the end of the worker.
    const auto silent = m_silentWorkers.find(id);
    if (report.incarnation != 0 && silent != m_silentWorkers.end() && sentAt >= silent->second.since) {
        resolveSilence(id, report.incarnation, now);
    }
    worker->clockMs = report.clockMs;
    worker->clockReadAt = now;
    worker_table::markResponsive(*worker, now);
    worker->listedEnds = report.ended.size();
    std::erase_if(worker->heldEnds, [sentAt](const auto &held) { return sentAt >= held.second; });
    for (const auto &end : report.ended) {
        if (end.number > worker->lastHandledEnd) {
            onEnd(*worker, end, now);
            worker->lastHandledEnd = end.number;
        }
    }
    for (const auto &running : report.running) {
        onRunning(*worker, running, now);
    }
    paceBestEffortRuns(*worker, now);
    if (report.ended.size() < maxEndsPerReport) {
        resolveUnlistedRuns(*worker, sentAt, now);
        resolveLingering(*worker, report, sentAt);
        worker->synced = true;
        worker->reportSentAt = sentAt;
    }
    return worker->acknowledgeableEnd();
}

// A worker that this owner has sent leases to has restarted since. One that it hears of for the first time may hold
// leases of former owners, unless it started too late for their calls.
auto job_engine::limitUnknownLeases(worker_slot &worker, const renewal_report &report, core::monotonic_time sentAt,
                                    core::monotonic_time now) -> void
{
    const auto startedAt = startOf(report, sentAt);
    if (worker.leaseSentAt) {
        worker_table::onRestartNoticed(worker, now);
    } else if (m_formerOrdersUntil && startedAt <= *m_formerOrdersUntil + maxCallDelay) {
        worker_table::limitFormerLease(worker, startedAt, now);
    }
}

// A run that the new incarnation lists was started by it, so that it did not crash the former one.
auto job_engine::adoptListedRuns(const worker_slot &worker, const renewal_report &report, core::monotonic_time now)
    -> void
{
    const auto listed = runsListedIn(report);
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        if (job != nullptr && listed.contains(runKey(nameOf(task), state->run))) {
            adoptRun(worker, task, *job, *state, now);
        }
    }
}

// Stops are ordered again: the new incarnation knows of none.
auto job_engine::adoptRun(const worker_slot &worker, const task_ref &task, multistep_job_record &job,
                          task_record &state, core::monotonic_time now) -> void
{
    if (state.workerIncarnation >= worker.entry.incarnation) {
        return;
    }
    state.workerIncarnation = worker.entry.incarnation;
    markChanged(job);
    if (state.phase == task_phase::closing) {
        logEvent("run_given_up", nameOf(task), worker.entry.id, state.run, "worker_restarted");
        beginClosing(task, job, state, now);
    }
}

// A run that the worker acknowledged before its current incarnation started has ended with the earlier one. A start
// that was in flight during the restart may have reached either incarnation; its answer and the next report decide. If
// an earlier copy of its start may still arrive, or another run of its task goes on there, the run is stopped: the new
// incarnation rejects that copy, and the task waits for the end of that run.
auto job_engine::resolveEarlierIncarnation(worker_slot &worker, const renewal_report &report,
                                           core::monotonic_time sentAt, core::monotonic_time now) -> void
{
    const auto startedAfter = startOf(report, sentAt);
    adoptListedRuns(worker, report, now);
    const auto crashing = recordCrash(worker, worker_loss::worker_restarted, now);
    const auto placed = worker.placed;
    for (const auto &task : placed) {
        const auto [job, state] = locate(task);
        if (job == nullptr || state->workerIncarnation >= worker.entry.incarnation) {
            continue;
        }
        const bool mayStillStart = state->hasOpenStart && state->isStartOpen(now);
        const bool hasEnded = state->acknowledged && state->acknowledgedAt < startedAfter;
        if (hasEnded && !mayStillStart && !listsTask(report, nameOf(task))) {
            ++m_counters.runsLost;
            logRunLost(task, worker, *state, "worker_restarted");
            resetToWaiting(task, *job, *state, now, "worker_restarted");
            continue;
        }
        adoptRun(worker, task, *job, *state, now);
        if (hasEnded && state->phase != task_phase::closing) {
            beginClosing(task, *job, *state, now);
        }
    }
    worker.isCrashRecorded = false;
    giveUpCrashingJob(crashing, now);
}

auto job_engine::onNoReport(const worker_id &id, core::monotonic_time now) -> void
{
    if (auto *worker = m_workers.find(id)) {
        m_workers.markUnresponsive(*worker, now);
        worker->openStartsEnd = hasOpenStarts(*worker) && worker->leaseSentAt
            ? worker_table::leaseEndAfterRestart(*worker->leaseSentAt)
            : core::monotonic_time{};
    }
}

// Copies of a start order that are carried out later than its acknowledgement reach the same incarnation as long as the
// worker is heard of.
auto job_engine::mayStartUnnoticed(const worker_slot &worker, const task_record &state) -> bool
{
    const bool isSettled = state.acknowledged && worker.lastHeardAt >= state.acknowledgedAt + maxCallDelay;
    return state.hasOpenStart && !isSettled;
}

auto job_engine::onClockRead(const worker_id &id, std::int64_t clockMs, std::int64_t clockAtSending,
                             core::monotonic_time now) -> bool
{
    auto *worker = m_workers.find(id);
    if (worker == nullptr || clockMs >= clockAtSending) {
        return false;
    }
    worker_table::onRestartNoticed(*worker, now);
    logEvent("worker_clock_reset", id.str(), id, 0, "start_answer");
    return true;
}

auto job_engine::onOtherInstance(const worker_id &id, core::monotonic_time now) -> void
{
    endWorker(id, worker_loss::other_instance, now);
}

auto job_engine::onHostReplaced(const worker_id &id, core::monotonic_time now) -> void
{
    endWorker(id, worker_loss::host_replaced, now);
}

auto job_engine::endWorker(const worker_id &id, worker_loss loss, core::monotonic_time now) -> void
{
    if (auto *worker = m_workers.find(id)) {
        m_workers.markUnresponsive(*worker, now);
        worker->listed = false;
        markAllLost(*worker, loss, now);
    }
    endOpenStartsAt(id, loss, now);
    onSilentWorkerEnded(id, now);
}

auto job_engine::onEnd(worker_slot &worker, const ended_run &end, core::monotonic_time now) -> void
{
    recordOutcome(worker, end.how, now);
    onLingeringEnd(worker.entry.id, end);
    const auto task = parseTaskName(end.task);
    const auto [job, state] = task ? locate(*task) : located_task{};
    if (job == nullptr) {
        return;
    }
    markStarted(*job, worker);
    noteStartCarriedOut(*state, worker, end.run);
    if (const auto until = startsOpenUntil(*job, *task); now < until) {
        worker.heldEnds.emplace(end.number, until);
        logEvent("end_held", end.task, worker.entry.id, end.run, "start_unanswered");
    }
    const bool current = state->run == end.run && state->worker == worker.entry.id;
    if (current && state->phase != task_phase::waiting && state->phase != task_phase::done) {
        onEndOfCurrentRun(*task, *job, *state, end, now);
    } else if (state->phase != task_phase::done) {
        onEndOfSupersededRun(worker, *task, *job, *state, end, now);
    }
}

auto job_engine::markStarted(multistep_job_record &job, const worker_slot &worker) -> void
{
    if (!job.started) {
        job.started = true;
        markChanged(job);
        logEvent("job_started", job.id.str(), worker.entry.id, 0, "begun");
    }
}

auto job_engine::onEndOfCurrentRun(const task_ref &task, multistep_job_record &job, task_record &state,
                                   const ended_run &end, core::monotonic_time now) -> void
{
    if (!end.checkpoint.empty()) {
        state.checkpoint = end.checkpoint;
    }
    const auto &step = job.spec.steps[task.step];
    if (end.how == end_kind::done && !step.longRunning) {
        ++m_counters.runsDone;
        if (step.gang) {
            finishGang(task, job, now);
        } else {
            finishTask(task, job, state, now);
        }
        return;
    }
    const std::string_view how = end.how == end_kind::failed ? "failed" : "not_done";
    logEvent("run_ended", nameOf(task), state.worker, state.run, how);
    resetToWaiting(task, job, state, step.longRunning ? now + restartDelay : now, how);
    if (end.how == end_kind::failed) {
        countFailure(task, job, state, end.run, now);
    }
}

// A superseded run may have completed after all; its newer run is not needed then.
auto job_engine::onEndOfSupersededRun(const worker_slot &worker, const task_ref &task, multistep_job_record &job,
                                      task_record &state, const ended_run &end, core::monotonic_time now) -> void
{
    const auto &step = job.spec.steps[task.step];
    if (end.how == end_kind::failed) {
        countFailure(task, job, state, end.run, now);
        return;
    }
    if (end.how != end_kind::done || step.longRunning) {
        return;
    }
    ++m_counters.runsDone;
    logEvent("superseded_run_done", nameOf(task), worker.entry.id, end.run, step.gang ? "gang" : "task");
    if (step.gang) {
        finishRestOfGang(job, task.occurrence, task.step, now);
    } else {
        finishByOtherRun(task, job, state, now);
    }
}

auto job_engine::recordOutcome(worker_slot &worker, end_kind how, core::monotonic_time now) -> void
{
    if (how == end_kind::done) {
        worker.consecutiveFailures = 0;
    } else if (how == end_kind::failed) {
        ++worker.consecutiveFailures;
        if (worker.consecutiveFailures >= failuresBeforePause) {
            const auto doublings = std::min<std::uint32_t>(worker.consecutiveFailures - failuresBeforePause, 4);
            const auto pause = std::min<core::duration>(initialFailurePause * (1U << doublings), maxFailurePause);
            worker.pausedUntil = std::max(worker.pausedUntil, now + pause);
            logEvent("worker_paused", worker.entry.id.str(), worker.entry.id, 0, "runs_fail");
        }
    }
}

auto job_engine::onRunning(worker_slot &worker, const running_run &running, core::monotonic_time now) -> void
{
    const auto task = parseTaskName(running.task);
    const auto [job, state] = task ? locate(*task) : located_task{};
    const bool current = job != nullptr && state->run == running.run && state->worker == worker.entry.id
        && state->phase != task_phase::waiting && state->phase != task_phase::done;
    if (!current) {
        orderStop(worker.entry.id, running.task, running.run);
        logEvent("stray_run", running.task, worker.entry.id, running.run, "not_current");
        onStrayRun(worker, running, now);
        if (job != nullptr) {
            onStrayRunOfTask(*task, *state, worker, now);
        }
        if (job != nullptr && worker.placed.contains(*task)) {
            // The task has to wait for the end of this run before its next one.
            state->reportedAt = now;
        }
        return;
    }
    markStarted(*job, worker);
    if (!running.checkpoint.empty()) {
        state->checkpoint = running.checkpoint;
    }
    state->percent = running.percent;
    state->reportedAt = now;
    state->load = running.load;
    if (job->spec.steps[task->step].longRunning && running.percent >= 100 && now >= state->readyNotBefore) {
        state->ready = true;
    }
    // The worker rejects stops of the former owner from now on; this owner decides itself whether to stop the run.
    const bool keepsRunning =
        std::exchange(state->closedByFormerOwner, false) && job->phase == multistep_job_phase::active;
    noteStartCarriedOut(*state, worker, running.run);
    if (state->phase == task_phase::starting || keepsRunning) {
        setPhase(*task, *job, *state, task_phase::running);
        state->acknowledged = true;
        state->acknowledgedAt = now;
        state->hasOpenStart = state->isStartOpen(now) || state->startAttempts > 1;
        recordStart(*job, *task);
    }
    clearIfLasting(*task, *job, *state, now);
    if (state->phase == task_phase::closing && state->stopConfirmed && now - state->stopConfirmedAt >= maxStopTime) {
        state->stopConfirmed = false;
        logEvent("stop_repeated", running.task, worker.entry.id, running.run, "still_listed");
    }
    if (job->phase != multistep_job_phase::active && state->phase == task_phase::running) {
        beginClosing(*task, *job, *state, now);
    }
}

// A run has ended when a report does not list it and was requested after the worker acknowledged the run or confirmed
// its stop. In the first report to this owner this holds for all runs of the former one, because from then on the
// worker rejects orders of the former owner.
auto job_engine::resolveUnlistedRuns(worker_slot &worker, core::monotonic_time sentAt, core::monotonic_time now) -> void
{
    // onRunning() has set reportedAt of the listed runs.
    std::vector<task_ref> unlisted;
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        if (job != nullptr && state->reportedAt != now) {
            unlisted.push_back(task);
        }
    }
    for (const auto &task : unlisted) {
        const auto [job, state] = locate(task);
        const bool neverStarted = state->phase == task_phase::starting && !state->acknowledged && state->unansweredAt
            && *state->unansweredAt < sentAt;
        if (neverStarted) {
            if (!retryStart(*job, task, *state)) {
                logEvent("run_given_up", nameOf(task), worker.entry.id, state->run, "not_listed");
                beginClosing(task, *job, *state, now);
            }
            continue;
        }
        const bool wasRunning =
            state->phase != task_phase::closing && state->acknowledged && state->acknowledgedAt < sentAt;
        const bool stopWasConfirmed =
            state->phase == task_phase::closing && state->stopConfirmed && state->stopConfirmedAt < sentAt;
        if (wasRunning || stopWasConfirmed) {
            m_counters.runsLost += wasRunning ? 1 : 0;
            const std::string_view how = stopWasConfirmed ? "closed" : "not_listed";
            logRunLost(task, worker, *state, how);
            resetToWaiting(task, *job, *state, now, how);
        }
    }
}

auto job_engine::expireLeases(core::monotonic_time now) -> void
{
    for (const auto &[id, worker] : m_workers.unrenewed()) {
        if (worker->placed.empty() || now < worker->leaseEnd || worker->responsive) {
            continue;
        }
        if (now >= worker->openStartsEnd) {
            markAllLost(*worker, worker_loss::lease_lapsed, now);
        } else {
            expireAcknowledgedRuns(*worker, worker_loss::lease_lapsed, now);
        }
    }
}

// Runs of which a start may yet be carried out by the worker's next incarnation stay placed.
auto job_engine::expireAcknowledgedRuns(worker_slot &worker, worker_loss loss, core::monotonic_time now) -> void
{
    const auto crashing = recordCrash(worker, loss, now);
    std::set<task_ref> lost;
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        const bool isForced =
            job != nullptr && loss == worker_loss::host_lost && hasWaitedForOpenStart(*job, task, now);
        if (isForced || (job != nullptr && !mayStartUnnoticed(worker, *state))) {
            lost.insert(task);
        }
    }
    resetLost(worker, lost, loss, now);
    giveUpCrashingJob(crashing, now);
}

auto job_engine::retryStops(core::monotonic_time now) -> void
{
    for (const auto &[id, task] : m_closing) {
        const auto *worker = m_workers.find(id);
        const auto [job, state] = locate(task);
        assert(job != nullptr && state->phase == task_phase::closing);
        if (worker != nullptr && worker->responsive && !state->stopConfirmed
            && now - state->stopSentAt >= stopRetryInterval) {
            state->stopSentAt = now;
            orderStop(id, nameOf(task), state->run);
        }
    }
}
} // namespace poplarpass::jobs
