#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <limits>
#include <utility>

// Workers that end, or stay silent until their lease has expired, although nothing announced it: which tasks may have
// caused it, and how these start again.
namespace poplarpass::jobs
{
namespace
{
auto hasSuspect(std::span<const task_record> tasks) -> bool
{
    return std::ranges::any_of(tasks,
                               [](const task_record &task) { return internal::needsObservedStart(task.crashes); });
}
} // namespace

auto job_engine::locateOpen(const task_ref &task) -> located_task
{
    const auto found = locate(task);
    const bool isOpen = found.job != nullptr && found.job->phase == multistep_job_phase::active
        && found.state->phase != task_phase::done;
    return isOpen ? found : located_task{};
}

auto job_engine::recordCrash(const worker_slot &worker, worker_loss loss, core::monotonic_time now)
    -> std::optional<task_ref>
{
    // A worker that drains ends its remaining runs when it leaves.
    if (worker.entry.draining || worker.isCrashRecorded) {
        return std::nullopt;
    }
    // Runs of the new incarnation of a worker that restarted in place have not ended.
    const auto endedBefore =
        loss == worker_loss::worker_restarted ? worker.entry.incarnation : std::numeric_limits<std::int64_t>::max();
    std::vector<internal::lost_run> runs;
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        if (job != nullptr && state->workerIncarnation < endedBefore && !isSilenceRecorded(worker.entry.id, task)) {
            runs.push_back(internal::lostRunOf(task, *state, worker, loss, now));
        }
    }
    if (runs.empty()) {
        return std::nullopt;
    }
    ++m_counters.workerCrashes;
    crash_counts counts;
    counts.placed = static_cast<std::uint32_t>(runs.size());
    counts.suspects = static_cast<std::uint32_t>(std::ranges::count_if(runs, internal::isEvidence));
    logEvent("worker_crashed", worker.entry.id.str(), worker.entry.id, 0, nameOf(loss), {{}, counts, {}});
    if (loss == worker_loss::lease_lapsed) {
        recordSilence(worker, std::move(runs), now);
        return std::nullopt;
    }
    return countCrash(runs, now);
}

auto job_engine::countCrash(std::span<const internal::lost_run> runs, core::monotonic_time now)
    -> std::optional<task_ref>
{
    std::vector<task_ref> suspects;
    for (const auto &run : runs) {
        if (!run.mayHaveBegun) {
            continue;
        }
        if (run.isSuspect) {
            suspects.push_back(run.task);
        }
        if (const auto [job, state] = locateOpen(run.task); job != nullptr) {
            state->crashes.later += run.isSuspect ? 0 : 1;
            state->crashes.atStart += run.isSuspect && !run.isCounted ? 1 : 0;
            state->crashes.certain += run.isSuspect && run.isCertain ? 1 : 0;
            markChanged(*job);
            updateSuspicion(*job);
        }
    }
    if (internal::areSuspectsOfOneJob(runs)) {
        return blame(runs);
    }
    std::erase_if(m_crashes, [now](const auto &crash) { return now - crash.at > crashMemory; });
    m_crashes.push_back({std::move(suspects), now});
    return std::nullopt;
}

// Until it is known whether the worker has crashed, its silence only keeps other starts away from the next start of the
// tasks that had just begun there.
auto job_engine::recordSilence(const worker_slot &worker, std::vector<internal::lost_run> runs,
                               core::monotonic_time now) -> void
{
    for (auto &run : runs) {
        // The worker may also crash long after it was cut off.
        run.isCertain = false;
        const auto [job, state] = locateOpen(run.task);
        if (job == nullptr || !run.isSuspect || state->crashes.atStart > 0) {
            continue;
        }
        run.isCounted = true;
        ++state->crashes.atStart;
        markChanged(*job);
        updateSuspicion(*job);
    }
    std::erase_if(m_silentWorkers, [now](const auto &entry) { return now - entry.second.since > crashMemory; });
    m_silentWorkers.insert_or_assign(worker.entry.id,
                                     internal::silent_worker{worker.entry.address, now, std::move(runs)});
}

// The silence of a worker is recorded once for all its runs, also for those that stay placed for longer.
auto job_engine::isSilenceRecorded(const worker_id &id, const task_ref &task) const -> bool
{
    const auto found = m_silentWorkers.find(id);
    return found != m_silentWorkers.end()
        && std::ranges::find(found->second.runs, task, &internal::lost_run::task) != found->second.runs.end();
}

auto job_engine::resolveSilence(const worker_id &id, std::int64_t incarnation, core::monotonic_time now) -> void
{
    const auto found = m_silentWorkers.find(id);
    if (found == m_silentWorkers.end()) {
        return;
    }
    if (found->second.incarnation() < incarnation) {
        onSilentWorkerEnded(id, now);
        return;
    }
    takeBackSuspicion(id, found->second);
    const auto runs = std::move(found->second.runs);
    m_silentWorkers.erase(found);
    for (const auto &run : runs) {
        shortenStartDelay(run.task, now);
    }
}

auto job_engine::onSilentWorkerEnded(const worker_id &id, core::monotonic_time now) -> void
{
    if (const auto silent = m_silentWorkers.extract(id)) {
        giveUpCrashingJob(countCrash(silent.mapped().runs, now), now);
    }
}

auto job_engine::possibleCrashesOf(const task_ref &task, const task_record &state) const -> std::size_t
{
    std::size_t count = state.crashes.total();
    for (const auto &[id, silent] : m_silentWorkers) {
        count += static_cast<std::size_t>(std::ranges::count_if(
            silent.runs, [&](const internal::lost_run &run) { return run.task == task && !run.isCounted; }));
    }
    return count;
}

// Silence is no proof of a crash, so the job does not fail. But the task may have crashed all of these workers, and
// until one of them answers, further starts could cost as many again.
auto job_engine::startDelayAfterSilence(const task_ref &task, const multistep_job_record &job,
                                        const task_record &state) const -> core::duration
{
    const auto count = possibleCrashesOf(task, state);
    if (count >= possibleCrashesBeforeHold && !job.spec.steps[task.step].longRunning) {
        return crashMemory;
    }
    return count >= possibleCrashesBeforeDelay ? silenceStartDelay : core::duration{0};
}

auto job_engine::shortenStartDelay(const task_ref &task, core::monotonic_time now) -> void
{
    if (const auto [job, state] = locateOpen(task); job != nullptr) {
        state->notBefore = std::min(state->notBefore, now + startDelayAfterSilence(task, *job, *state));
    }
}

auto job_engine::takeBackSuspicion(const worker_id &id, const internal::silent_worker &silent) -> void
{
    for (const auto &run : silent.runs) {
        const auto [job, state] = locateOpen(run.task);
        if (job == nullptr || !run.isCounted || state->crashes.atStart == 0) {
            continue;
        }
        --state->crashes.atStart;
        markChanged(*job);
        updateSuspicion(*job);
        logEvent("suspicion_cleared", nameOf(run.task), id, 0, "same_instance");
    }
}

// Workers that crashed at the start of earlier runs crashed for another cause. They still count among those after which
// a task is suspected of crashing workers late.
auto job_engine::clearIfLasting(const task_ref &task, multistep_job_record &job, task_record &state,
                                core::monotonic_time now) -> void
{
    if (state.crashes.atStart == 0 || !internal::hasPassedObservation(state, now)) {
        return;
    }
    auto proven = state.crashes.atStart;
    for (auto &[id, silent] : m_silentWorkers) {
        std::erase_if(silent.runs, [&](const internal::lost_run &run) {
            proven -= run.task == task && run.isCounted && proven > 0 ? 1 : 0;
            return run.task == task && run.isSuspect;
        });
    }
    state.crashes = {0, state.crashes.later + proven, 0, 0};
    markChanged(job);
    updateSuspicion(job);
    logEvent("suspicion_cleared", nameOf(task), state.worker, state.run, "run_lasts");
}

// An address belongs to one worker at a time, so the answer of a later one proves the end of all earlier ones.
auto job_engine::endPredecessors(const worker_slot &worker, core::monotonic_time now) -> void
{
    for (auto &[id, other] : m_workers.all()) {
        const bool isPredecessor = other.entry.id != worker.entry.id && other.entry.address == worker.entry.address
            && other.entry.incarnation < worker.entry.incarnation;
        if (isPredecessor && !other.entry.address.empty() && !other.placed.empty()) {
            onOtherInstance(id, now);
        }
    }
    std::vector<worker_id> ended;
    for (const auto &[id, silent] : m_silentWorkers) {
        const bool isPredecessor = id != worker.entry.id && silent.address == worker.entry.address
            && silent.incarnation() < worker.entry.incarnation;
        if (isPredecessor && !silent.address.empty()) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        onSilentWorkerEnded(id, now);
    }
}

auto job_engine::blame(std::span<const internal::lost_run> runs) -> std::optional<task_ref>
{
    std::optional<task_ref> crashing;
    for (const auto &run : runs) {
        const auto [job, state] = locateOpen(run.task);
        if (job == nullptr || !internal::isEvidence(run) || !run.isStartKnown) {
            continue;
        }
        ++state->crashes.alone;
        if (internal::isCrashingTask(state->crashes, job->spec.steps[run.task.step].longRunning)) {
            crashing = run.task;
        }
    }
    return crashing;
}

auto job_engine::giveUpCrashingJob(const std::optional<task_ref> &crashing, core::monotonic_time now) -> void
{
    const auto [job, state] = crashing ? locate(*crashing) : located_task{};
    if (job == nullptr || job->phase != multistep_job_phase::active) {
        return;
    }
    ++m_counters.jobsFailed;
    ++m_counters.jobsCrashing;
    auto evidence = failuresOf(*job, *crashing);
    evidence.crashes = state->crashes;
    const decision_details details{{}, {}, std::move(evidence)};
    logEvent("job_given_up", job->id.str(), {}, 0, "crashes_workers", details);
    endJob(*job, multistep_job_phase::failed, now, details);
    clearOthers(job->id);
}

// One task crashes a worker, so the others that had just begun there are not at fault.
auto job_engine::clearOthers(const job_id &crashing) -> void
{
    std::erase_if(m_crashes, [&](const internal::crash_suspects &crash) {
        if (std::ranges::find(crash.tasks, crashing, &task_ref::job) == crash.tasks.end()) {
            return false;
        }
        for (const auto &task : crash.tasks) {
            const auto [job, state] = locate(task);
            if (job != nullptr && job->phase == multistep_job_phase::active && state->crashes.atStart > 0) {
                --state->crashes.atStart;
                ++state->crashes.later;
                markChanged(*job);
                updateSuspicion(*job);
            }
        }
        return true;
    });
}

auto job_engine::updateSuspicion(const multistep_job_record &job) -> void
{
    if (job.phase == multistep_job_phase::active && hasSuspect(job.tasks)) {
        m_suspects.insert(job.id);
    } else {
        m_suspects.erase(job.id);
    }
}

auto job_engine::logRunLost(const task_ref &task, const worker_slot &worker, const task_record &state,
                            std::string_view reason) -> void
{
    logEvent("run_lost", nameOf(task), worker.entry.id, state.run, reason,
             {lost_run_details{internal::knownRunTime(state, worker), state.hasOpenStart, worker.leaseSentAt}, {}, {}});
}

// Suspected tasks are planned before all others: in a full pool no worker would otherwise become quiet for them.
auto job_engine::planSuspects(const core::pool_id &pool, const active_jobs &active, core::monotonic_time now,
                              core::wall_time wallTime) -> void
{
    std::vector<internal::ranked_job> order;
    for (const auto &id : m_suspects) {
        const auto found = active.find(id);
        if (found != active.end()) {
            order.push_back({rankOf(found->second.outlook, wallTime), found->second.job, found->second.accountNumber});
        }
    }
    if (order.empty()) {
        return;
    }
    std::ranges::sort(order, [](const auto &entry, const auto &other) { return isPlannedLater(other, entry); });
    m_caps.beginPool();
    auto workers = workersForSuspects(pool, now);
    for (const auto &entry : order) {
        planSuspectsOf(*entry.job, workers, now, wallTime);
    }
}

auto job_engine::workersForSuspects(const core::pool_id &pool, core::monotonic_time now) -> internal::suspect_workers
{
    return {acceptingWorkersOf(pool, now), now, [this, now](const worker_slot &worker) {
                return std::ranges::all_of(worker.placed, [&](const task_ref &task) {
                    const auto [job, state] = locate(task);
                    return job == nullptr || internal::hasPassedObservation(*state, now);
                });
            }};
}

auto job_engine::planSuspectsOf(multistep_job_record &job, internal::suspect_workers &workers, core::monotonic_time now,
                                core::wall_time wallTime) -> void
{
    job.forEachStartableStep(wallTime, [&](std::uint32_t occurrence, std::uint32_t step) {
        if (job.waitingOf(occurrence, step) > 0) {
            planSuspectsOfStep(job, occurrence, step, workers, now);
        }
        return true;
    });
}

auto job_engine::planSuspectsOfStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                    internal::suspect_workers &workers, core::monotonic_time now) -> void
{
    if (job.spec.steps[step].gang) {
        planGangWithSuspects(job, occurrence, step, workers, now);
        return;
    }
    const auto first = job.positionOf(occurrence, step, 0);
    for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
        const auto &state = job.tasks[first + index];
        if (!state.isStartable(now) || state.isBoundToWorker() || !internal::needsObservedStart(state.crashes)) {
            continue;
        }
        if (!capPermits(job, job.spec.steps[step])
            || !placeSuspect(job, {job.id, occurrence, step, index}, workers, now)) {
            return;
        }
        onCappedStart(job);
    }
}

auto job_engine::permittedWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                  std::span<worker_slot *const> workers, core::monotonic_time now)
    -> std::vector<worker_slot *>
{
    if (!job.queue.advice) {
        return {workers.begin(), workers.end()};
    }
    auto advised = advisedWorkers(job, occurrence, step, workers, now);
    if (advised.empty()) {
        requestAdvice(job, occurrence, step, job.waitingOf(occurrence, step), workers, now);
    }
    return advised;
}

auto job_engine::placeSuspect(multistep_job_record &job, const task_ref &task, internal::suspect_workers &workers,
                              core::monotonic_time now) -> bool
{
    const auto permitted = permittedWorkers(job, task.occurrence, task.step, workers.workers(), now);
    auto *worker = workers.choose(job, task.occurrence, task.step, permitted);
    if (worker == nullptr) {
        reserveForSuspect(job, task, workers, permitted);
        return false;
    }
    const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    place(job, task, *worker, state.run + 1, now);
    workers.observe(*worker, job.id);
    ++m_counters.observedStarts;
    return true;
}

auto job_engine::reserveForSuspect(const multistep_job_record &job, const task_ref &task,
                                   const internal::suspect_workers &workers, std::span<worker_slot *const> permitted)
    -> void
{
    // The pool gets a further host, on which nothing has just begun.
    ++m_mismatches[job.queue.pool].steps;
    if (const auto *reserved = workers.reserve(job.id, job.spec.steps[task.step], permitted)) {
        logEvent("worker_reserved", nameOf(task), reserved->entry.id, 0, "may_crash_worker");
    }
}

auto job_engine::planGangWithSuspects(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                      internal::suspect_workers &workers, core::monotonic_time now) -> void
{
    const auto &spec = job.spec.steps[step];
    const std::span members{job.tasks.data() + job.positionOf(occurrence, step, 0), spec.taskCount};
    const bool isStartableNow = std::ranges::all_of(
        members, [now](const auto &state) { return state.isStartable(now) && !state.isBoundToWorker(); });
    if (!isStartableNow || !hasSuspect(members) || !capPermits(job, spec)) {
        return;
    }
    const auto chosen = chooseForGangWithSuspects(job, occurrence, step, workers, now);
    const bool isComplete = std::ranges::find(chosen, nullptr) == chosen.end();
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        if (chosen[index] != nullptr && internal::needsObservedStart(members[index].crashes)) {
            // Without all members the worker stays reserved for the gang.
            chosen[index]->observation->started = isComplete;
            m_counters.observedStarts += isComplete ? 1 : 0;
        }
    }
    if (isComplete) {
        startGang(job, occurrence, step, chosen, now);
        onCappedStart(job);
    }
}

// The suspected members start where no other job's run can be the cause of a crash; the others start anywhere. Each
// member is placed tentatively while the next one is chosen, and all are removed again before the return.
auto job_engine::chooseForGangWithSuspects(const multistep_job_record &job, std::uint32_t occurrence,
                                           std::uint32_t step, internal::suspect_workers &workers,
                                           core::monotonic_time now) -> std::vector<worker_slot *>
{
    const auto &spec = job.spec.steps[step];
    const auto first = job.positionOf(occurrence, step, 0);
    std::vector<worker_slot *> chosen(spec.taskCount);
    const auto add = [&](std::uint32_t index, worker_slot *worker) {
        chosen[index] = worker;
        if (worker != nullptr) {
            worker->placed.insert(task_ref{job.id, occurrence, step, index});
            internal::addUsage(*worker, spec);
        }
    };
    const auto isSuspect = [&](std::uint32_t index) {
        return internal::needsObservedStart(job.tasks[first + index].crashes);
    };
    const auto permitted = permittedWorkers(job, occurrence, step, workers.workers(), now);
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        if (!isSuspect(index)) {
            continue;
        }
        add(index, workers.choose(job, occurrence, step, permitted));
        if (chosen[index] != nullptr) {
            workers.observe(*chosen[index], job.id);
        } else {
            reserveForSuspect(job, {job.id, occurrence, step, index}, workers, permitted);
        }
    }
    internal::placement_candidates others{
        permittedWorkers(job, occurrence, step, eligibleWorkersOf(job.queue.pool, now), now)};
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        if (!isSuspect(index)) {
            add(index, others.choose(job, occurrence, step));
            others.updateAllUsage();
        }
    }
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        if (chosen[index] != nullptr) {
            chosen[index]->placed.erase(task_ref{job.id, occurrence, step, index});
            internal::removeUsage(*chosen[index], spec);
        }
    }
    return chosen;
}

auto job_engine::endObservation(worker_slot &worker, const job_id &job) -> void
{
    if (!worker.observation || worker.observation->job != job || !worker.observation->started) {
        return;
    }
    const auto first = worker.placed.lower_bound(task_ref{job, 0, 0, 0});
    if (first == worker.placed.end() || first->job != job) {
        worker.observation.reset();
    }
}
} // namespace poplarpass::jobs
