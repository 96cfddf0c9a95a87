#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/stragglers.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarpass::jobs
{
namespace internal
{
namespace
{
constexpr std::uint32_t minProjectionPercent = 10;
constexpr double fullPercent = 100.0;
/// \brief Estimates are rough, so a run may take this many times its estimate.
constexpr int estimateSlack = 3;

auto projectedRunTime(const task_record &state) -> std::optional<core::duration>
{
    if (state.phase == task_phase::done && state.actualRunTime > core::duration{0}) {
        return state.actualRunTime;
    }
    if (state.phase != task_phase::running || state.percent < minProjectionPercent) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration<double, std::micro>{state.reportedAt - state.acknowledgedAt};
    return std::chrono::duration_cast<core::duration>(age * (fullPercent / state.percent));
}
} // namespace

auto typicalRunTime(const multistep_job_record &job, const task_ref &task) -> core::duration
{
    const auto &step = job.spec.steps[task.step];
    const auto &own = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    std::vector<core::duration> times;
    for (std::uint32_t index = 0; index < step.taskCount; ++index) {
        const auto &other = job.tasks[job.positionOf(task.occurrence, task.step, index)];
        const auto time = index != task.index && other.worker != own.worker ? projectedRunTime(other) : std::nullopt;
        if (time) {
            times.push_back(*time);
        }
    }
    if (times.empty()) {
        return std::max<core::duration>(step.estimate * estimateSlack, minStragglerAge);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

auto isStraggler(const multistep_job_record &job, const task_ref &task) -> bool
{
    const auto &step = job.spec.steps[task.step];
    const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    if (state.phase != task_phase::running || step.gang || state.relocations >= maxRelocations) {
        return false;
    }
    if (step.longRunning) {
        // Compares report times, not the current time: on an unresponsive worker the task may have become ready since.
        return !state.ready && state.reportedAt - state.acknowledgedAt > readinessTimeout;
    }
    if (state.reportedAt - state.acknowledgedAt < minStragglerAge) {
        return false;
    }
    const auto typical = typicalRunTime(job, task);
    const auto limit = std::chrono::duration_cast<core::duration>(std::chrono::duration<double, std::micro>{typical}
                                                                  * stragglerFactor);
    const auto remaining = remainingRunTime(state);
    return remaining ? *remaining > limit : state.reportedAt - state.acknowledgedAt > limit;
}
} // namespace internal

auto job_engine::relocateStragglers(core::monotonic_time now) -> void
{
    if (now - m_stragglersCheckedAt < stragglerPeriod) {
        return;
    }
    m_stragglersCheckedAt = now;
    for (auto &[id, worker] : m_workers.all()) {
        if (!worker.responsive || worker.leaving) {
            continue;
        }
        for (const auto &task : worker.placed) {
            relocateIfStraggler(task, worker, now);
        }
    }
}

auto job_engine::relocateIfStraggler(const task_ref &task, worker_slot &worker, core::monotonic_time now) -> void
{
    const auto [job, state] = locate(task);
    if (job == nullptr || job->phase != multistep_job_phase::active || state->isStartOpen(now)
        || !internal::isStraggler(*job, task) || !mayRestart(*job)) {
        return;
    }
    auto others = eligibleWorkersOf(worker.entry.pool, now);
    std::erase(others, &worker);
    const internal::placement_candidates candidates{std::move(others)};
    auto *next = candidates.choose(*job, task.occurrence, task.step);
    if (next == nullptr) {
        return;
    }
    if (job->spec.steps[task.step].longRunning) {
        reserveRoom(*job, task, *next);
    }
    ++state->relocations;
    worker.pausedUntil = std::max(worker.pausedUntil, now + slowWorkerPause);
    logEvent("run_given_up", nameOf(task), worker.entry.id, state->run, "slow");
    beginClosing(task, *job, *state, now);
}
} // namespace poplarpass::jobs
