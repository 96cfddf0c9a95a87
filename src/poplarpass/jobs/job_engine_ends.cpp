#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>

#include <algorithm>
#include <cassert>
#include <utility>

// Ends of tasks and of jobs, by completion, failure or cancellation, and removal of ended jobs.
namespace poplarpass::jobs
{
auto job_engine::cancel(const job_id &id, core::monotonic_time now) -> job_cancel_outcome
{
    const auto found = m_jobs.find(id.str());
    if (found == m_jobs.end() || !found->second.submitted) {
        return job_cancel_outcome::unknown;
    }
    auto &job = found->second;
    if (job.phase != multistep_job_phase::active) {
        return job_cancel_outcome::ended;
    }
    ++m_counters.jobsCancelled;
    endJob(job, multistep_job_phase::cancelled, now);
    return job_cancel_outcome::cancelled;
}

auto job_engine::cancelUnsubmitted(const job_id &id, const account_id &account, core::monotonic_time now) -> bool
{
    assert(find(id) == nullptr);
    if (m_jobs.contains(id.str())) {
        return true;
    }
    if (m_unsubmittedCount >= maxUnsubmittedJobs) {
        return false;
    }
    auto &job = m_jobs[id.str()] = makeUnsubmittedJob(id, account);
    job.endedAt = now;
    ++m_unsubmittedCount;
    markChanged(job);
    logEvent("job_cancelled_early", id.str(), {}, 0, "not_submitted");
    return true;
}

auto job_engine::submitCancelled(const job_id &id, const account_id &account) -> bool
{
    const auto found = m_jobs.find(id.str());
    if (found == m_jobs.end() || found->second.submitted || found->second.account != account) {
        return false;
    }
    found->second.submitted = true;
    --m_unsubmittedCount;
    markChanged(found->second);
    logEvent("job_cancelled_early", id.str(), {}, 0, "submitted_late");
    return true;
}

auto job_engine::removeEndedJobs(core::monotonic_time now) -> std::vector<job_id>
{
    std::vector<job_id> removed;
    for (auto &[name, job] : m_jobs) {
        if (!job.isSettled() || now - job.endedAt < settledTaskRetention || m_changed.contains(job.id)) {
            continue;
        }
        if (now - job.endedAt > endedJobRetention) {
            removed.push_back(job.id);
        } else if (!job.tasks.empty()) {
            auto ended = makeEndedJob(job.id, job.phase);
            ended.account = job.account;
            ended.endedAt = job.endedAt;
            m_taskCount -= job.tasks.size();
            job = std::move(ended);
        }
    }
    for (const auto &id : removed) {
        removeRecord(id);
    }
    return removed;
}

auto job_engine::removeRecord(const job_id &id) -> void
{
    const auto found = m_jobs.find(id.str());
    if (found == m_jobs.end()) {
        return;
    }
    m_taskCount -= found->second.tasks.size();
    m_unsubmittedCount -= found->second.submitted ? 0 : 1;
    m_jobs.erase(found);
}

auto job_engine::finishByOtherRun(const task_ref &task, multistep_job_record &job, task_record &state,
                                  core::monotonic_time now) -> void
{
    if (state.phase == task_phase::starting || state.phase == task_phase::running) {
        orderStop(state.worker, nameOf(task), state.run);
    }
    keepLingering(task, job, state, now);
    finishTask(task, job, state, now);
}

auto job_engine::finishTask(const task_ref &task, multistep_job_record &job, task_record &state,
                            core::monotonic_time now) -> void
{
    if (state.phase == task_phase::done) {
        return;
    }
    removePlacement(task, job, state);
    state.actualRunTime = state.acknowledged ? now - state.acknowledgedAt : core::duration{0};
    learnRunTime(job, job.spec.steps[task.step], state);
    setPhase(task, job, state, task_phase::done);
    markChanged(job);
    --job.unfinished;
    --job.unfinishedTasks[std::size_t{task.occurrence} * job.spec.steps.size() + task.step];
    if (job.phase != multistep_job_phase::active) {
        return;
    }
    if (job.unfinished == 0) {
        ++m_counters.jobsCompleted;
        endJob(job, multistep_job_phase::completed, now);
    } else {
        m_activeJobs.at(job.queue.pool).at(job.id).outlook = currentOutlookOf(job);
    }
}

auto job_engine::finishGang(const task_ref &task, multistep_job_record &job, core::monotonic_time now) -> void
{
    for (std::uint32_t index = 0; index < job.spec.steps[task.step].taskCount; ++index) {
        const task_ref member{task.job, task.occurrence, task.step, index};
        auto &state = job.tasks[job.positionOf(member.occurrence, member.step, index)];
        if (index != task.index) {
            keepLingering(member, job, state, now);
        }
        finishTask(member, job, state, now);
    }
}

auto job_engine::endJob(multistep_job_record &job, multistep_job_phase phase, core::monotonic_time now,
                        const decision_details &details) -> void
{
    job.phase = phase;
    job.endedAt = now;
    m_activeJobs[job.queue.pool].erase(job.id);
    m_suspects.erase(job.id);
    m_advice.removeJob(job.id);
    markChanged(job);
    forEachTask(job, [&](const task_ref &task, std::size_t position) {
        auto &state = job.tasks[position];
        if (state.phase == task_phase::starting || state.phase == task_phase::running) {
            beginClosing(task, job, state, now);
        }
    });
    logEvent("job_ended", job.id.str(), {}, 0, nameOf(phase), details);
}

auto job_engine::failuresOf(const multistep_job_record &job, const task_ref &task) -> failure_evidence
{
    const auto failedRuns = job.spec.steps[task.step].gang
        ? failedRunsOfGang(job, task.occurrence, task.step)
        : job.tasks[job.positionOf(task.occurrence, task.step, task.index)].failedRuns.size();
    return {nameOf(task), failedRuns, job.queue.maxAttempts, {}};
}

auto job_engine::countFailure(const task_ref &task, multistep_job_record &job, task_record &state, std::uint32_t run,
                              core::monotonic_time now) -> void
{
    const auto &step = job.spec.steps[task.step];
    if (step.longRunning) {
        ++m_counters.runsFailed;
        return;
    }
    // A worker reports the same end again to a later owner when the former one did not acknowledge it.
    if (std::ranges::find(state.failedRuns, run) != state.failedRuns.end()) {
        return;
    }
    ++m_counters.runsFailed;
    state.failedRuns.push_back(run);
    markChanged(job);
    auto evidence = failuresOf(job, task);
    if (evidence.failedRuns >= evidence.maxFailedRuns && job.phase == multistep_job_phase::active) {
        ++m_counters.jobsFailed;
        endJob(job, multistep_job_phase::failed, now, {{}, {}, std::move(evidence)});
    }
}
} // namespace poplarpass::jobs
