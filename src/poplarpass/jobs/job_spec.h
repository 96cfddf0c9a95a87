#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Jobs of steps: what callers submit, how far each task is, and which task starts where. No I/O and no clock.
namespace poplarpass::jobs
{
/// \brief Identifier of a job, chosen by its caller.
using job_id = core::string_id<struct job_id_tag>;
/// \brief Identifier of one life of a worker, as the platform lists it.
using worker_id = core::string_id<struct worker_id_tag>;
/// \brief Name of a queue that jobs are submitted to.
using queue_id = core::string_id<struct queue_id_tag>;

/// \brief Amounts of what a task takes or a worker has.
struct resources
{
    std::int64_t cpu = 0; ///< Processor time a second, thousandths of a core.
    std::int64_t memoryMb = 0; ///< Memory, megabytes.
    std::int64_t gpu = 0; ///< Graphics processors.

    auto operator==(const resources &) const -> bool = default;

    auto operator+=(const resources &other) -> resources &
    {
        cpu += other.cpu;
        memoryMb += other.memoryMb;
        gpu += other.gpu;
        return *this;
    }

    auto operator-=(const resources &other) -> resources &
    {
        cpu -= other.cpu;
        memoryMb -= other.memoryMb;
        gpu -= other.gpu;
        return *this;
    }

    /// \brief Whether \p need fits into this.
    [[nodiscard]] auto holds(const resources &need) const -> bool
    {
        return need.cpu <= cpu && need.memoryMb <= memoryMb && need.gpu <= gpu;
    }
};

/// \brief One step of a job: tasks of the same kind.
struct step_spec
{
    std::uint32_t taskCount = 0; ///< Tasks of the step.
    resources perTask; ///< What each task takes.
    std::chrono::milliseconds estimate{0}; ///< Rough run time of a task.
    std::vector<std::uint32_t> after; ///< Steps whose tasks must all be done before.
    bool checkpointing = false; ///< Whether tasks save their progress.
    bool gang = false; ///< Whether all tasks start, run and end together.
    bool rackLocal = false; ///< Whether tasks are slow on more than one rack.
    std::string requirement; ///< Label that the worker must have; empty for none.
    std::string affinityRack; ///< Rack near the data; empty for none.
    std::uint32_t antiAffinity = 0; ///< Tasks of the step on one worker at most; 0 for no bound.
    bool speculative = false; ///< Whether copies may run in parallel.
    bool longRunning = false; ///< Whether tasks run until the job is cancelled.
    std::string image; ///< What the tasks run.
    std::chrono::milliseconds target{0}; ///< Bound on the tail of response times of a long-running task; 0 for none.
    bool fills = false; ///< Whether the processor time is taken from what others leave.
    std::optional<std::uint32_t> maxUnavailable; ///< Tasks away at once by the system's doing.

    auto operator==(const step_spec &) const -> bool = default;
};

/// \brief What a caller submits.
struct job_spec
{
    std::string payload; ///< Passed to the workers as it is.
    std::vector<step_spec> steps; ///< Steps in order.
    std::uint32_t repeatCount = 0; ///< Occurrences of a scheduled job; 0 for a job that runs once at once.
    core::wall_time firstDue{}; ///< When occurrence 0 is due.
    std::chrono::milliseconds interval{0}; ///< Between the due times of occurrences.

    /// \brief Times that the steps run.
    [[nodiscard]] auto occurrences() const -> std::uint32_t
    {
        return repeatCount == 0 ? 1 : repeatCount;
    }

    /// \brief Whether any step runs until the job is cancelled.
    [[nodiscard]] auto isLongRunning() const -> bool
    {
        return std::ranges::any_of(steps, &step_spec::longRunning);
    }

    auto operator==(const job_spec &) const -> bool = default;
};

/// \brief How a queue's workers are restricted by outside advice.
struct advice_policy
{
    std::chrono::milliseconds decide{0}; ///< Time of a decision.
    std::chrono::milliseconds perWorker{0}; ///< Time for each worker that is named.
    std::chrono::milliseconds validity{0}; ///< How long a ticket is good.

    auto operator==(const advice_policy &) const -> bool = default;
};

/// \brief Rules of a queue, as in force when a job was accepted.
struct queue_policy
{
    queue_id name; ///< The queue.
    core::pool_id pool; ///< Pool whose workers run its tasks.
    std::uint32_t priority = 0; ///< 0 comes first.
    std::uint32_t maxAttempts = 1; ///< Failed runs of a task after which its job has failed.
    double stretch = 1.0; ///< Objective in multiples of the longest chain of work.
    std::chrono::milliseconds targetLatency{0}; ///< Added to the objective.
    std::optional<advice_policy> advice; ///< Set when a start needs a ticket.

    auto operator==(const queue_policy &) const -> bool = default;
};

/// \brief Identifies one task.
struct task_ref
{
    job_id job; ///< Its job.
    std::uint32_t occurrence = 0; ///< Occurrence, from 0.
    std::uint32_t step = 0; ///< Step, from 0.
    std::uint32_t index = 0; ///< Number within the step, from 0.

    auto operator<=>(const task_ref &) const = default;
};
} // namespace poplarpass::jobs
