#include "rule_checker.h"

#include <algorithm>

namespace tests::system_sim
{
namespace
{
constexpr std::int64_t visibilityDelayMs = 3000; ///< Time for an accepted job to become visible on all healthy hosts.
constexpr std::int64_t cancelDelayMs = 3000; ///< Time for an acknowledged cancellation to prevent further starts.
constexpr std::int64_t earlyStartToleranceMs = 250; ///< Tolerance for starts before the due time.
constexpr std::int64_t detectionDelayMs = 4500; ///< A task not seen available for this long counts as unavailable.
constexpr std::int64_t availableMs = 120; ///< A task seen available within this time counts as available.
constexpr int acceptedStatus = 200;

auto taskName(const std::string &job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) -> std::string
{
    return jobs::nameOf(jobs::task_ref{jobs::job_id{job}, occurrence, step, index});
}

auto forEachTask(const std::string &job, const jobs::multistep_job_spec &spec,
                 const std::function<void(const std::string &, std::uint32_t)> &visit) -> void
{
    for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < spec.steps[step].taskCount; ++index) {
                visit(taskName(job, occurrence, step, index), step);
            }
        }
    }
}
} // namespace

rule_checker::rule_checker(sim_network &network)
    : m_network{network}
{
}

auto rule_checker::reportViolation(const std::string &rule, const std::string &what) -> void
{
    if (m_reported.insert(rule + what).second) {
        violations.push_back(rule + " at " + std::to_string(m_network.nowMs()) + " ms: " + what);
    }
}

auto rule_checker::onSubmitted(const std::string &job, const jobs::multistep_job_spec &spec,
                               const jobs::queue_policy &queue) -> void
{
    auto &known = m_jobs[job];
    known.spec = spec;
    known.queue = queue;
}

auto rule_checker::onSubmitAnswer(const std::string &job, std::optional<int> status) -> void
{
    auto &known = m_jobs.at(job);
    if (status == acceptedStatus) {
        known.maybeAccepted = true;
        known.acceptedAt = known.acceptedAt.value_or(m_network.nowMs());
    } else if (!status || (*status != 503 && *status != 429)) {
        known.maybeAccepted = true;
    }
}

auto rule_checker::onCancelSent(const std::string &job) -> void
{
    auto &known = m_jobs.at(job);
    known.cancelSentAt = known.cancelSentAt.value_or(m_network.nowMs());
}

auto rule_checker::onCancelled(const std::string &job) -> void
{
    auto &known = m_jobs.at(job);
    known.cancelledAt = known.cancelledAt.value_or(m_network.nowMs());
}

auto rule_checker::isDone(const std::string &job) const -> bool
{
    bool done = true;
    forEachTask(job, m_jobs.at(job).spec, [&](const std::string &task, std::uint32_t) {
        const auto view = m_tasks.find(task);
        done = done && view != m_tasks.end() && view->second.done;
    });
    return done;
}

auto rule_checker::isFailed(const std::string &id, const tracked_job &job) const -> bool
{
    bool failed = false;
    forEachTask(id, job.spec, [&](const std::string &task, std::uint32_t) {
        const auto view = m_tasks.find(task);
        failed = failed || (view != m_tasks.end() && view->second.failed >= job.queue.maxAttempts);
    });
    return failed;
}

auto rule_checker::onState(const std::string &job, const std::string &state, bool healthy) -> void
{
    const auto &known = m_jobs.at(job);
    if (state == "completed" && !isDone(job)) {
        reportViolation("MIXED", job + " is reported as completed but has unfinished tasks");
    }
    if (state == "failed" && !isFailed(job, known)) {
        reportViolation("LOST", job + " is reported as failed but has attempts left");
    }
    if (state == "cancelled" && !known.cancelSentAt) {
        reportViolation("LOST", job + " is reported as cancelled without a cancellation");
    }
    const bool visible = known.acceptedAt && m_network.nowMs() > *known.acceptedAt + visibilityDelayMs;
    if (state.empty() && visible && !known.cancelSentAt && healthy) {
        reportViolation("LOST", job + " was accepted but is reported as unknown");
    }
}

auto rule_checker::onStart(const std::string &worker, const core::pool_id &pool, const std::string &task, bool healthy)
    -> void
{
    const auto ref = jobs::parseTaskName(task);
    const auto found = ref ? m_jobs.find(ref->job.str()) : m_jobs.end();
    if (found == m_jobs.end()) {
        reportViolation("UNASKED", task + " belongs to no submitted job");
        return;
    }
    auto &job = found->second;
    job.started = true;
    auto &view = m_tasks[task];
    if (!view.runningOn.empty()) {
        reportViolation("TWICE", task + " starts on " + worker + " while it runs on " + *view.runningOn.begin());
    }
    if (pool != job.queue.pool) {
        reportViolation("ROUTE", task + " starts in the wrong pool " + pool.str());
    }
    if (healthy && job.cancelledAt && m_network.nowMs() > *job.cancelledAt + cancelDelayMs) {
        reportViolation("UNASKED", task + " starts after the acknowledgement of its cancellation");
    }
    checkOrder(job, *ref);
    view.runningOn.insert(worker);
    ++view.starts;
    checkEnds(task);
}

// Only an end that is acknowledged, at once or later, forbids starts after it.
auto rule_checker::checkEnds(const std::string &task) -> void
{
    const auto &view = m_tasks[task];
    const auto ref = jobs::parseTaskName(task);
    const auto &job = m_jobs.at(ref->job.str());
    std::uint32_t failed = 0;
    for (const auto &end : view.ends) {
        const bool startedSince = view.starts > end.startsBefore;
        if (end.acknowledged && end.how == jobs::end_kind::done && startedSince) {
            reportViolation(
                "TWICE", task + " started again after its end in run " + std::to_string(end.run) + " was acknowledged");
        }
        failed += end.acknowledged && end.how == jobs::end_kind::failed ? 1 : 0;
        if (failed >= job.queue.maxAttempts && startedSince && !job.spec.steps[ref->step].longRunning) {
            reportViolation("BUDGET", task + " started after its last attempt");
        }
    }
}

auto rule_checker::checkOrder(const tracked_job &job, const jobs::task_ref &task) -> void
{
    const auto name = jobs::nameOf(task);
    for (const auto before : job.spec.steps[task.step].after) {
        for (std::uint32_t index = 0; index < job.spec.steps[before].taskCount; ++index) {
            if (!m_tasks[taskName(task.job.str(), task.occurrence, before, index)].done) {
                reportViolation("ORDER", name + " starts before an earlier step is done");
                return;
            }
        }
    }
    if (job.spec.repeatCount > 0) {
        const auto due = job.spec.firstDue + job.spec.interval * task.occurrence;
        if (m_network.time.wallNow() + std::chrono::milliseconds{earlyStartToleranceMs} < due) {
            reportViolation("ORDER", name + " starts before its due time");
        }
    }
}

auto rule_checker::onEnd(const std::string &worker, const std::string &task, std::uint32_t run,
                         std::optional<jobs::end_kind> how) -> void
{
    auto &view = m_tasks[task];
    view.runningOn.erase(worker);
    view.done = view.done || how == jobs::end_kind::done;
    view.failed += how == jobs::end_kind::failed ? 1 : 0;
    if (how == jobs::end_kind::done || how == jobs::end_kind::failed) {
        view.ends.push_back({run, *how, view.starts, false, worker, false});
    }
}

auto rule_checker::onWorkerStateLost(const std::string &worker) -> void
{
    for (auto &[task, view] : m_tasks) {
        for (auto &end : view.ends) {
            end.reportLost = end.reportLost || (end.worker == worker && !end.acknowledged);
        }
    }
}

auto rule_checker::onEndAcknowledged(const jobs::ended_run &end) -> void
{
    for (auto &known : m_tasks[end.task].ends) {
        known.acknowledged = known.acknowledged || (known.run == end.run && !known.reportLost);
    }
    checkEnds(end.task);
}

auto rule_checker::onAvailable(const std::string &task) -> void
{
    auto &view = m_tasks[task];
    view.lastAvailableAt = m_network.nowMs();
    view.stopOrdered = false;
}

auto rule_checker::isUnavailable(const observed_task &view, const tracked_job &job) const -> bool
{
    if (view.stopOrdered) {
        return true;
    }
    const auto last = view.lastAvailableAt.value_or(job.acceptedAt.value_or(m_network.nowMs()));
    return m_network.nowMs() > last + detectionDelayMs;
}

auto rule_checker::onTaskStopOrdered(const std::string &task) -> void
{
    const auto ref = jobs::parseTaskName(task);
    const auto &job = m_jobs.at(ref->job.str());
    const auto &step = job.spec.steps[ref->step];
    auto &view = m_tasks[task];
    const bool available = view.lastAvailableAt && m_network.nowMs() <= *view.lastAvailableAt + availableMs;
    if (!step.maxUnavailable || !available || job.cancelSentAt) {
        return;
    }
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < step.taskCount; ++index) {
        const auto other = taskName(ref->job.str(), ref->occurrence, ref->step, index);
        unavailable += other != task && isUnavailable(m_tasks[other], job) ? 1 : 0;
    }
    if (unavailable >= *step.maxUnavailable) {
        reportViolation("AVAIL",
                        task + " is stopped while " + std::to_string(unavailable)
                            + " other tasks of its step are unavailable");
    }
    view.stopOrdered = true;
}

auto rule_checker::isBlockedByAdvice(const std::string &id, const tracked_job &job) const -> bool
{
    bool blocked = false;
    forEachTask(id, job.spec, [&](const std::string &task, std::uint32_t number) {
        const auto view = m_tasks.find(task);
        const bool done = view != m_tasks.end() && view->second.done;
        const auto step = jobs::stepNameOf(*jobs::parseTaskName(task));
        blocked = blocked
            || (job.queue.advice && !done && !isAllowedAnywhere(step, job.queue.pool, job.spec.steps[number].perTask));
    });
    return blocked;
}

auto rule_checker::isPending(const std::string &id, const tracked_job &job) const -> bool
{
    if (!job.acceptedAt) {
        return false;
    }
    bool running = false;
    bool allAvailable = true;
    forEachTask(id, job.spec, [&](const std::string &task, std::uint32_t) {
        const auto view = m_tasks.find(task);
        const bool seen = view != m_tasks.end();
        running = running || (seen && !view->second.runningOn.empty());
        allAvailable = allAvailable && seen && view->second.lastAvailableAt
            && m_network.nowMs() <= *view->second.lastAvailableAt + availableMs;
    });
    if (job.cancelledAt) {
        return running;
    }
    if (isBlockedByAdvice(id, job)) {
        return false;
    }
    if (job.spec.isLongRunning()) {
        return !allAvailable;
    }
    return !isDone(id) && !isFailed(id, job);
}

auto rule_checker::isSettled() const -> bool
{
    return std::ranges::none_of(m_jobs, [this](const auto &entry) { return isPending(entry.first, entry.second); });
}

auto rule_checker::checkEnd() -> void
{
    for (const auto &[id, job] : m_jobs) {
        if (isPending(id, job)) {
            reportViolation(
                "LOST", id + (job.cancelledAt ? " was cancelled but still runs" : " was accepted but did not finish"));
        }
        if (job.started && !job.maybeAccepted) {
            reportViolation("REFUSED", id + " was refused but ran");
        }
    }
}

auto rule_checker::trackedJobs() const -> const std::map<std::string, tracked_job> &
{
    return m_jobs;
}
} // namespace tests::system_sim
