#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <limits>

namespace poplarpass::jobs::internal
{
namespace
{
constexpr std::int64_t rackMatchBonus = std::int64_t{1} << 40;
constexpr std::int64_t interferencePenalty = std::int64_t{1} << 42;

auto tasksOfStepOn(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   const worker_slot &worker) -> std::uint32_t
{
    const task_ref first{job.id, occurrence, step, 0};
    const task_ref end{job.id, occurrence, step + 1, 0};
    return static_cast<std::uint32_t>(std::distance(worker.placed.lower_bound(first), worker.placed.lower_bound(end)));
}

auto isRackOfStep(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                  const worker_slot &worker, std::span<worker_slot *const> workers) -> bool
{
    return std::ranges::any_of(workers, [&](const worker_slot *other) {
        return rackOf(*other) == rackOf(worker) && tasksOfStepOn(job, occurrence, step, *other) > 0;
    });
}

auto scoreOf(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step, const worker_slot &worker,
             std::span<worker_slot *const> workers) -> std::int64_t
{
    const auto &spec = job.spec.steps[step];
    const auto need = requiredResources(spec);
    std::int64_t score = -(worker.free().cpu - need.cpu);
    // Best-effort and serving tasks on one worker slow each other down.
    const bool interferes =
        spec.bestEffort ? worker.servingRuns > 0 : spec.target.count() > 0 && worker.bestEffortRuns > 0;
    score -= interferes ? interferencePenalty : 0;
    if (!spec.affinityRack.empty() && worker.hasLabel(spec.affinityRack)) {
        score += rackMatchBonus;
    }
    if (spec.rackLocal && isRackOfStep(job, occurrence, step, worker, workers)) {
        score += rackMatchBonus;
    }
    return score;
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
    worker.servingRuns += step.target.count() > 0 && !step.bestEffort ? 1 : 0;
}

auto removeUsage(worker_slot &worker, const step_spec &step) -> void
{
    worker.used -= requiredResources(step);
    worker.bestEffortRuns -= step.bestEffort ? 1 : 0;
    worker.servingRuns -= step.target.count() > 0 && !step.bestEffort ? 1 : 0;
}

auto rackOf(const worker_slot &worker) -> std::string_view
{
    return worker.entry.labels.empty() ? std::string_view{} : std::string_view{worker.entry.labels.back()};
}

auto chooseWorker(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                  std::span<worker_slot *const> workers) -> worker_slot *
{
    const auto &spec = job.spec.steps[step];
    const auto need = requiredResources(spec);
    worker_slot *best = nullptr;
    auto bestScore = std::numeric_limits<std::int64_t>::min();
    for (auto *worker : workers) {
        const bool fits = worker->free().holds(need);
        const bool labelled = spec.requirement.empty() || worker->hasLabel(spec.requirement);
        if (!fits || !labelled) {
            continue;
        }
        if (spec.antiAffinity > 0 && tasksOfStepOn(job, occurrence, step, *worker) >= spec.antiAffinity) {
            continue;
        }
        const auto score = scoreOf(job, occurrence, step, *worker, workers);
        if (best == nullptr || score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}
} // namespace poplarpass::jobs::internal
