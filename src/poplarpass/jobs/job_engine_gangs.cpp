#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <set>

// Placement of gangs, whose tasks start together.
namespace poplarpass::jobs
{
// Either all members start together or none does.
auto job_engine::placeGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                           internal::placement_candidates &workers, core::monotonic_time now) -> bool
{
    const auto &spec = job.spec.steps[step];
    const auto first = job.positionOf(occurrence, step, 0);
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        const auto &state = job.tasks[first + index];
        if (!state.isStartable(now) || state.isBoundToWorker() || internal::needsObservedStart(state.crashes)) {
            return true;
        }
    }
    if (!capPermits(job, spec)) {
        return true;
    }
    const auto chosen = chooseGangWorkers(job, occurrence, step, workers);
    if (chosen.empty()) {
        return false;
    }
    startGang(job, occurrence, step, chosen, now);
    for (const auto *worker : chosen) {
        workers.updateUsage(*worker);
    }
    onCappedStart(job);
    return true;
}

// The members of a gang share one run number and one checkpoint.
auto job_engine::startGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                           std::span<worker_slot *const> chosen, core::monotonic_time now) -> void
{
    const auto first = job.positionOf(occurrence, step, 0);
    std::uint32_t run = 0;
    std::string checkpoint;
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        const auto &state = job.tasks[first + index];
        run = std::max(run, state.run);
        if (!state.checkpoint.empty()) {
            checkpoint = state.checkpoint;
        }
    }
    for (std::uint32_t index = 0; index < chosen.size(); ++index) {
        job.tasks[first + index].checkpoint = checkpoint;
        place(job, task_ref{job.id, occurrence, step, index}, *chosen[index], run + 1, now);
    }
}

// The members of a gang share the numbers of their runs, so a run that several of them report as failed is one attempt.
auto job_engine::failedRunsOfGang(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step)
    -> std::size_t
{
    std::set<std::uint32_t> runs;
    for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
        const auto &failed = job.tasks[job.positionOf(occurrence, step, index)].failedRuns;
        runs.insert(failed.begin(), failed.end());
    }
    return runs.size();
}

// The end of one member as done represents all, so no other member needs a run.
auto job_engine::finishRestOfGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                  core::monotonic_time now) -> void
{
    for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
        const task_ref member{job.id, occurrence, step, index};
        finishByOtherRun(member, job, job.tasks[job.positionOf(occurrence, step, index)], now);
    }
}

// Earlier builds finished only the member that reported the end of a superseded run; the others could not start again.
auto job_engine::finishPartlyDoneGangs(multistep_job_record &job, core::monotonic_time now) -> void
{
    for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto &spec = job.spec.steps[step];
            const auto unfinished = job.unfinishedOf(occurrence, step);
            if (spec.gang && !spec.longRunning && unfinished > 0 && unfinished < spec.taskCount) {
                finishRestOfGang(job, occurrence, step, now);
            }
        }
    }
}

// Each member is placed tentatively while the next one is chosen, and all are removed again before the return.
auto job_engine::chooseGangWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                   internal::placement_candidates &workers) -> std::vector<worker_slot *>
{
    const auto &spec = job.spec.steps[step];
    std::vector<worker_slot *> chosen;
    while (chosen.size() < spec.taskCount) {
        auto *worker = workers.choose(job, occurrence, step);
        if (worker == nullptr) {
            break;
        }
        worker->placed.insert(task_ref{job.id, occurrence, step, static_cast<std::uint32_t>(chosen.size())});
        internal::addUsage(*worker, spec);
        workers.updateUsage(*worker);
        chosen.push_back(worker);
    }
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        auto &worker = *chosen[index];
        worker.placed.erase(task_ref{job.id, occurrence, step, static_cast<std::uint32_t>(index)});
        internal::removeUsage(worker, spec);
        workers.updateUsage(worker);
    }
    return chosen.size() == spec.taskCount ? chosen : std::vector<worker_slot *>{};
}
} // namespace poplarpass::jobs
