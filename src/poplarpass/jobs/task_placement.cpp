#include <poplarpass/jobs/task_placement.h>

#include <cstddef>
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
    if (step.longRunning) {
        worker.longRunningUse += requiredResources(step);
        ++worker.longRunningRuns;
    }
}

auto removeUsage(worker_slot &worker, const step_spec &step) -> void
{
    worker.used -= requiredResources(step);
    worker.bestEffortRuns -= step.bestEffort ? 1 : 0;
    worker.servingRuns -= isServing(step) ? 1 : 0;
    if (step.longRunning) {
        worker.longRunningUse -= requiredResources(step);
        --worker.longRunningRuns;
    }
}

auto rackOf(const worker_slot &worker) -> std::string_view
{
    return worker.entry.labels.empty() ? std::string_view{} : std::string_view{worker.entry.labels.back()};
}

auto tasksOfStepOn(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   const worker_slot &worker) -> std::uint32_t
{
    const task_ref first{job.id, occurrence, step, 0};
    const task_ref end{job.id, occurrence, step + 1, 0};
    std::ptrdiff_t count = 0;
    for (const auto *tasks : {&worker.placed, &worker.roomReservedFor}) {
        count += tasks->empty() ? 0 : std::distance(tasks->lower_bound(first), tasks->lower_bound(end));
    }
    return static_cast<std::uint32_t>(count);
}
} // namespace poplarpass::jobs::internal
