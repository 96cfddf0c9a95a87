#include <poplarpass/jobs/task_placement.h>

#include <iterator>

namespace poplarpass::jobs::internal
{
namespace
{
auto isServing(const step_spec &step) -> bool
{
    return step.target.count() > 0 && !step.bestEffort;
}
} // namespace

auto requiredResources(const step_spec &step) -> resources
{
    auto need = step.perTask;
    if (step.bestEffort) {
        need.cpu = 0;
    }
    return need;
}

auto addUsage(worker_slot &worker, const step_spec &step) -> void
{
    worker.used += requiredResources(step);
    worker.bestEffortRuns += step.bestEffort ? 1 : 0;
    worker.servingRuns += isServing(step) ? 1 : 0;
    worker.longRunningRuns += step.longRunning ? 1 : 0;
}

auto removeUsage(worker_slot &worker, const step_spec &step) -> void
{
    worker.used -= requiredResources(step);
    worker.bestEffortRuns -= step.bestEffort ? 1 : 0;
    worker.servingRuns -= isServing(step) ? 1 : 0;
    worker.longRunningRuns -= step.longRunning ? 1 : 0;
}

auto rackOf(const worker_slot &worker) -> std::string_view
{
    return worker.entry.labels.empty() ? std::string_view{} : std::string_view{worker.entry.labels.back()};
}

auto tasksOfStepOn(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   const worker_slot &worker) -> std::uint32_t
{
    if (worker.placed.empty()) {
        return 0;
    }
    const task_ref first{job.id, occurrence, step, 0};
    const task_ref end{job.id, occurrence, step + 1, 0};
    return static_cast<std::uint32_t>(std::distance(worker.placed.lower_bound(first), worker.placed.lower_bound(end)));
}
} // namespace poplarpass::jobs::internal
