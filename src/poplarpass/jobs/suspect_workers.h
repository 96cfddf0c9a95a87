#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <functional>
#include <span>
#include <vector>

namespace poplarpass::jobs::internal
{
/// \brief Workers of one pool on which tasks that may crash their worker can start, in one planning cycle.
///
/// Such a task starts only while no run of another job has just begun there, and no other task starts there until its
/// run is past the time at which it might crash the worker. Then a crash tells which job caused it.
class suspect_workers
{
public:
    /// \param workers workers of the pool that accept starts, including reserved ones
    /// \param isQuiet whether none of the runs on a worker has only just begun
    suspect_workers(std::vector<worker_slot *> workers, core::monotonic_time now,
                    const std::function<bool(const worker_slot &)> &isQuiet);

    /// \brief Returns all workers.
    [[nodiscard]] auto workers() const -> std::span<worker_slot *const>;

    /// \brief Chooses the worker for a suspected task of a step: the one with the fewest other runs to lose.
    /// \param permitted workers that may run the step
    /// \returns null when none is free for it now
    [[nodiscard]] auto choose(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                              std::span<worker_slot *const> permitted) const -> worker_slot *;

    /// \brief Keeps other starts off \p worker, on which a task of \p job was placed.
    auto observe(worker_slot &worker, const job_id &job) const -> void;

    /// \brief Reserves the worker that is nearest to being free for a suspected task of \p step, unless \p job has a
    /// reservation or too many workers are reserved.
    /// \returns the worker; null when none was reserved
    auto reserve(const job_id &job, const step_spec &step, std::span<worker_slot *const> permitted) const
        -> worker_slot *;

private:
    [[nodiscard]] auto isFreeFor(const worker_slot &worker, const job_id &job) const -> bool;
    [[nodiscard]] auto mayReserve() const -> bool;
    [[nodiscard]] auto hasReservation(const job_id &job) const -> bool;

    std::vector<worker_slot *> m_workers;
    std::vector<worker_slot *> m_quiet; ///< Sorted by their pointers.
    core::monotonic_time m_now;
};
} // namespace poplarpass::jobs::internal
