#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <cstddef>
#include <span>
#include <vector>

namespace poplarpass::jobs::internal
{
/// \brief Workers on which tasks may be placed, ordered by unreserved processor time.
///
/// Finds the tightest fit without visiting all workers, for bursts of tasks on pools of hundreds of workers.
class placement_candidates
{
public:
    /// \param workers in the order of their identifiers, which decides between equal fits
    explicit placement_candidates(std::vector<worker_slot *> workers);

    /// \brief Returns all candidates in the order of their identifiers.
    [[nodiscard]] auto workers() const -> std::span<worker_slot *const>;

    /// \brief Returns the most unreserved processor time of any candidate, thousandths of a core.
    /// \pre there are candidates
    [[nodiscard]] auto mostFreeCpu() const -> std::int64_t;

    /// \brief Chooses the worker for one more task of a step.
    ///
    /// Considers only workers that satisfy the step's resources, label and anti-affinity. Avoids mixing best-effort and
    /// serving tasks, then prefers the step's affinity rack and, for rack-local steps, the rack of its other tasks;
    /// then the worker that is left with the least processor time, so that whole workers stay free for large tasks and
    /// for moves.
    /// \param occurrence occurrence of the task
    /// \param step number of its step
    /// \returns null when no worker is suitable
    [[nodiscard]] auto choose(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step) const
        -> worker_slot *;

    /// \brief Chooses the worker on which room is to be reserved for one more task of a step.
    ///
    /// Considers only workers that can hold the task beside their long-running ones. Prefers the worker that lacks the
    /// least room, so that the choice does not change as long as only this worker keeps room free.
    /// \returns null when no worker is suitable
    [[nodiscard]] auto chooseToReserve(const multistep_job_record &job, std::uint32_t occurrence,
                                       std::uint32_t step) const -> worker_slot *;

    /// \brief Moves \p worker to its new place in the order after its usage changed.
    /// \pre \p worker is a candidate
    auto updateUsage(const worker_slot &worker) -> void;

    /// \brief Restores the order after the usage of any workers changed.
    auto updateAllUsage() -> void;

private:
    struct candidate
    {
        std::int64_t freeCpu = 0;
        std::size_t position = 0; ///< Position in m_workers.

        auto operator<=>(const candidate &) const = default;
    };

    std::vector<worker_slot *> m_workers;
    std::vector<candidate> m_byFreeCpu;
};
} // namespace poplarpass::jobs::internal
