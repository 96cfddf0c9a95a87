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

auto job_engine::recordCrash(const worker_slot &worker, worker_loss loss, core::monotonic_time now)
    -> std::optional<task_ref>
{
    // A worker that drains ends its remaining runs when it leaves.
    if (worker.entry.draining) {
        return std::nullopt;
    }
    // Runs of the new incarnation of a worker that restarted in place have not ended.
    const auto endedBefore =
        loss == worker_loss::worker_restarted ? worker.entry.incarnation : std::numeric_limits<std::int64_t>::max();
    crash_counts counts;
    std::vector<task_ref> suspects;
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        if (job == nullptr || state->workerIncarnation >= endedBefore) {
            continue;
        }
        ++counts.placed;
        state->crashes.certain += internal::isCertainCrash(*state, worker, loss, now) ? 1 : 0;
        if (internal::isCrashSuspect(*state, worker)) {
            ++state->crashes.atStart;
            suspects.push_back(task);
        } else {
            ++state->crashes.later;
        }
        markChanged(*job);
        updateSuspicion(*job);
    }
    if (counts.placed == 0) {
        return std::nullopt;
    }
    ++m_counters.workerCrashes;
    counts.suspects = static_cast<std::uint32_t>(suspects.size());
    logEvent("worker_crashed", worker.entry.id.str(), worker.entry.id, 0, nameOf(loss), {{}, counts});
    const bool isOneJob =
        std::ranges::adjacent_find(suspects, std::ranges::not_equal_to{}, &task_ref::job) == suspects.end();
    if (isOneJob) {
        return findCrashingTask(suspects);
    }
    std::erase_if(m_crashes, [now](const auto &crash) { return now - crash.at > crashMemory; });
    m_crashes.push_back({std::move(suspects), now});
    return std::nullopt;
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
}

auto job_engine::findCrashingTask(std::span<const task_ref> suspects) -> std::optional<task_ref>
{
    std::optional<task_ref> crashing;
    for (const auto &task : suspects) {
        const auto [job, state] = locate(task);
        ++state->crashes.alone;
        if (!crashing && internal::isCrashingTask(state->crashes, job->spec.steps[task.step].longRunning)) {
            crashing = task;
        }
    }
    return crashing;
}

auto job_engine::giveUpCrashingJob(const std::optional<task_ref> &crashing, core::monotonic_time now) -> void
{
    if (!crashing) {
        return;
    }
    auto &job = m_jobs.at(crashing->job.str());
    if (job.phase != multistep_job_phase::active) {
        return;
    }
    ++m_counters.jobsFailed;
    ++m_counters.jobsCrashing;
    auto evidence = failuresOf(job, *crashing);
    evidence.crashes = job.tasks[job.positionOf(crashing->occurrence, crashing->step, crashing->index)].crashes;
    const decision_details details{{}, {}, std::move(evidence)};
    logEvent("job_given_up", job.id.str(), {}, 0, "crashes_workers", details);
    endJob(job, multistep_job_phase::failed, now, details);
    clearOthers(job.id);
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
    logEvent("run_lost", nameOf(task), worker.entry.id, state.run, reason, {internal::knownRunTime(state, worker), {}});
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
        if (!state.isStartable(now) || !internal::needsObservedStart(state.crashes)) {
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
    return job.queue.advice ? advisedWorkers(job, occurrence, step, workers, now)
                            : std::vector<worker_slot *>{workers.begin(), workers.end()};
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
    const bool isStartableNow =
        std::ranges::all_of(members, [now](const auto &state) { return state.isStartable(now); });
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
