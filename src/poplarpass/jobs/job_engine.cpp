#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace poplarpass::jobs
{
namespace
{
auto isPlaced(task_phase phase) -> bool
{
    return phase == task_phase::starting || phase == task_phase::running || phase == task_phase::closing;
}
} // namespace

job_engine::job_engine(std::function<void(const decision &)> onDecision)
    : m_onDecision{std::move(onDecision)}
{
}

// A former owner may have sent orders until ordersUntil, so a recorded run may exist until the lease of the last of
// these orders has ended. Which of its starts were answered is not recorded.
auto job_engine::restore(multistep_job_record job, core::monotonic_time now, core::monotonic_time ordersUntil) -> void
{
    m_formerOrdersUntil = ordersUntil;
    const auto lastArrival = ordersUntil + maxCallDelay;
    auto &restored = m_jobs[job.id.str()] = std::move(job);
    m_taskCount += restored.tasks.size();
    m_unsubmittedCount += restored.submitted ? 0 : 1;
    forEachTask(restored, [&](const task_ref &task, std::size_t position) {
        auto &state = restored.tasks[position];
        state.crashes = internal::withoutCountedSilence(state.crashes);
        if (state.run > 0 && state.phase != task_phase::running && state.phase != task_phase::done) {
            state.withoutRunSince = now;
        }
        if (state.isBoundToWorker()) {
            setStartOpenUntil(task, state, lastArrival);
        }
        if (!isPlaced(state.phase)) {
            return;
        }
        if (state.phase == task_phase::closing) {
            m_closing.emplace(state.worker, task);
        }
        auto &worker = m_workers.findOrAdd(state.worker);
        worker.entry.incarnation = std::max(worker.entry.incarnation, state.workerIncarnation);
        worker.leaseEnd = std::max(worker.leaseEnd, worker_table::leaseEndAfterRestart(ordersUntil));
        addPlacement(task, restored, worker);
        state.placedByFormerOwner = true;
        state.acknowledged = true;
        state.acknowledgedAt = now;
        // A stop by the former owner counts as confirmed only if the worker no longer lists the run.
        state.closedByFormerOwner = state.phase == task_phase::closing;
        state.stopConfirmed = state.phase == task_phase::closing;
        state.stopConfirmedAt = now - maxStopTime;
        state.readyNotBefore = now + (state.closedByFormerOwner ? maxStopTime : core::duration{0});
        state.startedAt = now;
        // In phase starting the only order of the run had no answer when the record was written.
        state.hasOpenStart = state.phase == task_phase::starting || state.isBoundToWorker();
    });
    if (restored.phase == multistep_job_phase::active) {
        addActiveJob(restored);
        updateSuspicion(restored);
        finishPartlyDoneGangs(restored, now);
    } else {
        restored.endedAt = now;
    }
}

auto job_engine::submit(const job_id &id, const queue_policy &queue, multistep_job_spec spec, core::wall_time received,
                        const account_id &account) -> submit_outcome
{
    if (find(id) != nullptr) {
        return submit_outcome::known;
    }
    // Another account may have cancelled a job of its own with this identifier.
    removeRecord(id);
    auto &job = m_jobs[id.str()] = makeJob(id, queue, std::move(spec), received);
    job.account = account;
    m_taskCount += job.tasks.size();
    addActiveJob(job);
    if (m_accountNumbers.isAnyConfigured()) {
        m_sharedPools[queue.pool].shares.addWork(m_accountNumbers.find(account),
                                                 internal::waitingDemandOf(job, received).work);
    }
    ++m_counters.jobsAccepted;
    markChanged(job);
    logEvent("job_accepted", id.str(), {}, 0, queue.name.str());
    return submit_outcome::accepted;
}

auto job_engine::find(const job_id &id) const -> const multistep_job_record *
{
    const auto *job = findRecord(id);
    return job != nullptr && job->submitted ? job : nullptr;
}

auto job_engine::findRecord(const job_id &id) const -> const multistep_job_record *
{
    const auto found = m_jobs.find(id.str());
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto job_engine::pendingCount(const queue_id &queue) const -> std::size_t
{
    std::size_t count = 0;
    forEachActive([&](const multistep_job_record &job) { count += job.queue.name == queue && !job.started ? 1 : 0; });
    return count;
}

auto job_engine::drainChangedJobs() -> std::set<job_id>
{
    return std::exchange(m_changed, {});
}

auto job_engine::isChanged(const job_id &id) const -> bool
{
    return m_changed.contains(id);
}

auto job_engine::drainOrders() -> order_batch
{
    return std::exchange(m_orders, {});
}

auto job_engine::drainAdviceRequests() -> std::vector<advice_request>
{
    return std::exchange(m_adviceRequests, {});
}

auto job_engine::onAdvice(const advice_request &request, const std::optional<std::vector<advice_ticket>> &tickets,
                          core::monotonic_time sentAt, core::monotonic_time now) -> void
{
    if (tickets) {
        m_advice.storeAnswer(request, *tickets, sentAt);
    } else {
        m_advice.recordNoAnswer(request, now);
    }
    logEvent("advice", request.step, {}, 0, tickets ? "answered" : "not_answered");
}

auto job_engine::workers() -> worker_table &
{
    return m_workers;
}

auto job_engine::forEachActive(const std::function<void(const multistep_job_record &)> &visit) const -> void
{
    for (const auto &[pool, active] : m_activeJobs) {
        for (const auto &[id, entry] : active) {
            visit(*entry.job);
        }
    }
}

auto job_engine::jobs() const -> const std::unordered_map<std::string, multistep_job_record> &
{
    return m_jobs;
}

auto job_engine::taskCount() const -> std::size_t
{
    return m_taskCount;
}

auto job_engine::counters() const -> const engine_counters &
{
    return m_counters;
}

auto job_engine::locate(const task_ref &task) -> located_task
{
    const auto found = m_jobs.find(task.job.str());
    if (found == m_jobs.end() || !found->second.has(task)) {
        return {};
    }
    auto &job = found->second;
    return {&job, &job.tasks[job.positionOf(task.occurrence, task.step, task.index)]};
}

auto job_engine::addActiveJob(multistep_job_record &job) -> void
{
    auto &entry = m_activeJobs[job.queue.pool][job.id];
    entry.job = &job;
    entry.outlook = currentOutlookOf(job);
    entry.accountNumber = m_accountNumbers.numberOf(job.account);
    linkAccount(entry);
}

auto job_engine::runTimes() const -> const run_time_model &
{
    return m_runTimes;
}

auto job_engine::expectedRunTime(const queue_id &queue, const step_spec &step) const -> std::chrono::milliseconds
{
    return m_runTimes.expected(queue, step.estimate);
}

auto job_engine::currentOutlookOf(const multistep_job_record &job) const -> job_outlook
{
    return outlookOf(job,
                     [this](const queue_id &queue, const step_spec &step) { return expectedRunTime(queue, step); });
}

// Only first runs count: a later one may have resumed from a checkpoint.
auto job_engine::learnRunTime(const multistep_job_record &job, const step_spec &step, const task_record &state) -> void
{
    const bool isComplete = state.run == 1 && !state.placedByFormerOwner && state.actualRunTime > core::duration{0};
    if (isComplete && !step.longRunning && step.estimate.count() > 0) {
        m_runTimes.learn(job.queue.name, step.estimate, state.actualRunTime);
    }
}

auto job_engine::setPhase(const task_ref &task, multistep_job_record &job, task_record &state, task_phase phase) -> void
{
    if (state.phase == phase) {
        return;
    }
    if (state.phase == task_phase::closing) {
        m_closing.erase({state.worker, task});
    } else if (phase == task_phase::closing) {
        m_closing.emplace(state.worker, task);
    }
    const auto noLongerWaiting = state.phase == task_phase::waiting ? 1U : 0U;
    const auto nowWaiting = phase == task_phase::waiting ? 1U : 0U;
    auto &waitingOfStep = job.waitingTasks[std::size_t{task.occurrence} * job.spec.steps.size() + task.step];
    waitingOfStep += nowWaiting - noLongerWaiting;
    job.waiting += nowWaiting - noLongerWaiting;
    state.phase = phase;
    if (phase == task_phase::running) {
        state.withoutRunSince.reset();
    }
}

auto job_engine::markChanged(const multistep_job_record &job) -> void
{
    m_changed.insert(job.id);
}

auto job_engine::logEvent(std::string_view event, const std::string &subject, const worker_id &worker,
                          std::uint32_t run, std::string_view reason, const decision_details &details) -> void
{
    if (m_onDecision) {
        m_onDecision(decision{event, subject, worker.str(), run, reason, details});
    }
}

auto job_engine::place(multistep_job_record &job, const task_ref &task, worker_slot &worker, std::uint32_t run,
                       core::monotonic_time now) -> void
{
    auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    assert(state.phase == task_phase::waiting && run > state.run);
    assert(!state.isBoundToWorker() || state.worker == worker.entry.id);
    setPhase(task, job, state, task_phase::starting);
    state.run = run;
    state.worker = worker.entry.id;
    state.workerIncarnation = worker.entry.incarnation;
    state.placedByFormerOwner = false;
    state.closedByFormerOwner = false;
    state.acknowledged = false;
    state.stopConfirmed = false;
    state.stopSentAt = {};
    state.startedAt = now;
    state.startAttempts = 0;
    state.unansweredStarts = 0;
    state.hasOpenStart = false;
    state.readyNotBefore = now;
    state.ready = false;
    state.percent = 0;
    state.pace = 100;
    addPlacement(task, job, worker);
    if (m_pass.pool != nullptr) {
        m_pass.pool->shares.addUse(m_pass.account, job.spec.steps[task.step].perTask);
    }
    ++m_counters.starts;
    markChanged(job);
    orderStart(job, task, state);
    const bool isObserved = internal::needsObservedStart(state.crashes);
    logEvent("task_placed", nameOf(task), worker.entry.id, run, isObserved ? "observed" : "room");
}

auto job_engine::orderStart(const multistep_job_record &job, const task_ref &task, task_record &state) -> void
{
    ++state.startAttempts;
    state.hasOpenStart = true;
    state.unansweredAt.reset();
    auto ticket = job.queue.advice ? m_advice.ticketOf(stepNameOf(task), state.worker) : std::string{};
    m_orders.starts.push_back(
        {state.worker, task, state.run, job.spec.payload, state.checkpoint, std::move(ticket), state.startAttempts});
}

auto job_engine::resetToWaiting(const task_ref &task, multistep_job_record &job, task_record &state,
                                core::monotonic_time notBefore, std::string_view how) -> void
{
    // The only start of a former owner's run may still be on its way.
    if (state.hasOpenStart && state.placedByFormerOwner && m_formerOrdersUntil) {
        setStartOpenUntil(task, state, std::max(state.startOpenUntil, *m_formerOrdersUntil + maxCallDelay));
    }
    // A run that never began leaves the wait as it was.
    if (!state.withoutRunSince && state.phase != task_phase::starting) {
        state.withoutRunSince = contactLostAt(state).value_or(notBefore);
    }
    state.lastEnd = how;
    removePlacement(task, job, state);
    setPhase(task, job, state, task_phase::waiting);
    state.notBefore = notBefore;
    markChanged(job);
}

auto job_engine::orderStop(const worker_id &worker, const std::string &task, std::uint32_t run) -> void
{
    m_orders.stops.push_back({worker, task, run});
}

auto job_engine::beginClosing(const task_ref &task, multistep_job_record &job, task_record &state,
                              core::monotonic_time now) -> void
{
    if (!state.withoutRunSince) {
        state.withoutRunSince = now;
    }
    setPhase(task, job, state, task_phase::closing);
    state.stopConfirmed = false;
    state.stopSentAt = now;
    markChanged(job);
    orderStop(state.worker, nameOf(task), state.run);
}

auto job_engine::markAllLost(worker_slot &worker, worker_loss loss, core::monotonic_time now) -> void
{
    const auto crashing = recordCrash(worker, loss, now);
    const auto placed = worker.placed;
    resetLost(worker, placed, loss, now);
    dropLingering(worker.entry.id);
    worker.placed.clear();
    worker.isCrashRecorded = false;
    worker.used = {};
    worker.bestEffortRuns = 0;
    worker.servingRuns = 0;
    worker.longRunningRuns = 0;
    worker.longRunningUse = {};
    giveUpCrashingJob(crashing, now);
}

auto job_engine::resetLost(const worker_slot &worker, const std::set<task_ref> &tasks, worker_loss loss,
                           core::monotonic_time now) -> void
{
    for (const auto &task : tasks) {
        const auto [job, state] = locate(task);
        if (job == nullptr) {
            continue;
        }
        if (endsOpenStarts(loss, *state, now)) {
            state->hasOpenStart = false;
            setStartOpenUntil(task, *state, {});
        }
        ++m_counters.runsLost;
        logRunLost(task, worker, *state, nameOf(loss));
        const auto delay =
            loss == worker_loss::lease_lapsed ? startDelayAfterSilence(task, *job, *state) : core::duration{0};
        resetToWaiting(task, *job, *state, now + delay, nameOf(loss));
    }
}
} // namespace poplarpass::jobs
