#include <poplarpass/jobs/fair_shares.h>
#include <poplarpass/jobs/placement_candidates.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <string_view>
#include <utility>

namespace poplarpass::jobs::internal
{
namespace
{
constexpr int rackMatchBonus = 1;
/// \brief Outweighs all rack matches.
constexpr int interferencePenalty = 4;

/// \brief One choice of a worker: the step, its requirements and the racks that it prefers.
class placement_choice
{
public:
    placement_choice(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                     std::span<worker_slot *const> workers)
        : m_job{job}
        , m_occurrence{occurrence}
        , m_step{step}
        , m_spec{job.spec.steps[step]}
        , m_need{requiredResources(m_spec)}
    {
        if (m_spec.rackLocal) {
            findRacksOfStep(workers);
        }
    }

    [[nodiscard]] auto need() const -> const resources &
    {
        return m_need;
    }

    [[nodiscard]] auto isSuitable(const worker_slot &worker) const -> bool
    {
        return worker.free().holds(m_need) && isPermitted(worker);
    }

    /// \brief Returns whether \p worker could run the step if it had the resources.
    [[nodiscard]] auto isPermitted(const worker_slot &worker) const -> bool
    {
        const bool labelled = m_spec.requirement.empty() || worker.hasLabel(m_spec.requirement);
        return labelled
            && (m_spec.antiAffinity == 0 || tasksOfStepOn(m_job, m_occurrence, m_step, worker) < m_spec.antiAffinity);
    }

    /// \brief Returns what \p worker lacks for the step, as a fraction of its capacity.
    [[nodiscard]] auto missingPart(const worker_slot &worker) const -> double
    {
        const auto free = worker.free();
        const resources missing{std::max<std::int64_t>(m_need.cpu - free.cpu, 0),
                                std::max<std::int64_t>(m_need.memoryMb - free.memoryMb, 0),
                                std::max<std::int64_t>(m_need.gpu - free.gpu, 0)};
        return dominantFraction(missing, worker.entry.capacity);
    }

    /// \brief Returns how well \p worker suits the step apart from its resources; higher is better.
    [[nodiscard]] auto preferenceFor(const worker_slot &worker) const -> int
    {
        // Best-effort and serving tasks on one worker slow each other down.
        const bool interferes =
            m_spec.bestEffort ? worker.servingRuns > 0 : m_spec.target.count() > 0 && worker.bestEffortRuns > 0;
        auto preference = interferes ? -interferencePenalty : 0;
        if (!m_spec.affinityRack.empty() && worker.hasLabel(m_spec.affinityRack)) {
            preference += rackMatchBonus;
        }
        if (!m_racksOfStep.empty() && m_racksOfStep.contains(rackOf(worker))) {
            preference += rackMatchBonus;
        }
        return preference;
    }

    [[nodiscard]] auto highestPreference() const -> int
    {
        return (m_spec.affinityRack.empty() ? 0 : rackMatchBonus) + (m_racksOfStep.empty() ? 0 : rackMatchBonus);
    }

private:
    auto findRacksOfStep(std::span<worker_slot *const> workers) -> void
    {
        for (const auto *worker : workers) {
            if (tasksOfStepOn(m_job, m_occurrence, m_step, *worker) > 0) {
                m_racksOfStep.insert(rackOf(*worker));
            }
        }
    }

    const multistep_job_record &m_job;
    std::uint32_t m_occurrence;
    std::uint32_t m_step;
    const step_spec &m_spec;
    resources m_need;
    std::set<std::string_view> m_racksOfStep; ///< Racks with tasks of a rack-local step; empty for other steps.
};
} // namespace

placement_candidates::placement_candidates(std::vector<worker_slot *> workers)
    : m_workers{std::move(workers)}
{
    updateAllUsage();
}

auto placement_candidates::workers() const -> std::span<worker_slot *const>
{
    return m_workers;
}

auto placement_candidates::mostFreeCpu() const -> std::int64_t
{
    assert(!m_byFreeCpu.empty());
    return m_byFreeCpu.back().freeCpu;
}

auto placement_candidates::choose(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step) const
    -> worker_slot *
{
    if (m_byFreeCpu.empty() || mostFreeCpu() < requiredResources(job.spec.steps[step]).cpu) {
        return nullptr;
    }
    const placement_choice choice{job, occurrence, step, m_workers};
    worker_slot *best = nullptr;
    auto bestPreference = 0;
    // The first suitable worker of each preference is its tightest fit.
    for (auto entry = std::ranges::lower_bound(m_byFreeCpu, choice.need().cpu, {}, &candidate::freeCpu);
         entry != m_byFreeCpu.end(); ++entry) {
        auto *worker = m_workers[entry->position];
        if (!choice.isSuitable(*worker)) {
            continue;
        }
        const auto preference = choice.preferenceFor(*worker);
        if (preference == choice.highestPreference()) {
            return worker;
        }
        if (best == nullptr || preference > bestPreference) {
            best = worker;
            bestPreference = preference;
        }
    }
    return best;
}

auto placement_candidates::chooseToReserve(const multistep_job_record &job, std::uint32_t occurrence,
                                           std::uint32_t step) const -> worker_slot *
{
    const placement_choice choice{job, occurrence, step, m_workers};
    worker_slot *best = nullptr;
    auto leastMissing = 0.0;
    for (auto *worker : m_workers) {
        if (!worker->freeOfShortTasks().holds(choice.need()) || !choice.isPermitted(*worker)) {
            continue;
        }
        const auto missing = choice.missingPart(*worker);
        if (best == nullptr || missing < leastMissing) {
            best = worker;
            leastMissing = missing;
        }
    }
    return best;
}

auto placement_candidates::updateUsage(const worker_slot &worker) -> void
{
    const auto found =
        std::ranges::find_if(m_byFreeCpu, [&](const candidate &entry) { return m_workers[entry.position] == &worker; });
    assert(found != m_byFreeCpu.end());
    const candidate updated{worker.free().cpu, found->position};
    m_byFreeCpu.erase(found);
    m_byFreeCpu.insert(std::ranges::lower_bound(m_byFreeCpu, updated), updated);
}

auto placement_candidates::updateAllUsage() -> void
{
    m_byFreeCpu.clear();
    m_byFreeCpu.reserve(m_workers.size());
    for (std::size_t position = 0; position < m_workers.size(); ++position) {
        m_byFreeCpu.push_back({m_workers[position]->free().cpu, position});
    }
    std::ranges::sort(m_byFreeCpu);
}
} // namespace poplarpass::jobs::internal
