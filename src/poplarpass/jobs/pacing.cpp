#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/pacing.h>

#include <algorithm>

namespace poplarpass::jobs
{
namespace internal
{
auto nextPace(std::uint32_t pace, double worstTail, core::duration sinceChange) -> std::uint32_t
{
    if (worstTail >= paceDownTail) {
        return 0;
    }
    if (worstTail <= paceUpTail && sinceChange >= paceStepInterval) {
        return std::min(pace + paceStep, fullPace);
    }
    return pace;
}
} // namespace internal

auto job_engine::paceBestEffortRuns(worker_slot &worker, core::monotonic_time now) -> void
{
    if (worker.bestEffortRuns == 0 && worker.servingRuns == 0 && worker.bestEffortPace == fullPace) {
        return;
    }
    double worstTail = 0;
    std::vector<task_ref> bestEffortRuns;
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        if (job == nullptr || state->phase != task_phase::running) {
            continue;
        }
        const auto &step = job->spec.steps[task.step];
        if (step.bestEffort) {
            bestEffortRuns.push_back(task);
        } else if (step.target.count() > 0) {
            worstTail =
                std::max(worstTail, static_cast<double>(state->load) / static_cast<double>(step.target.count()));
        }
    }
    const auto next = internal::nextPace(worker.bestEffortPace, worstTail, now - worker.paceChangedAt);
    if (next != worker.bestEffortPace) {
        worker.bestEffortPace = next;
        worker.paceChangedAt = now;
        logEvent("fillers_paced", worker.entry.id.str(), worker.entry.id, next,
                 worstTail >= paceDownTail ? "tail" : "room");
    }
    for (const auto &task : bestEffortRuns) {
        const auto [job, state] = locate(task);
        if (state->pace != worker.bestEffortPace) {
            state->pace = worker.bestEffortPace;
            m_orders.paces.push_back({worker.entry.id, nameOf(task), state->run, state->pace});
        }
    }
}
} // namespace poplarpass::jobs
