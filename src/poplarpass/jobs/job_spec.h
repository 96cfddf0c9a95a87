#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Jobs made of steps of tasks: their specification, their state and the scheduling of tasks on workers. Does no I/O
/// and reads no clock.
namespace poplarpass::jobs
{
/// \brief Identifier of a job, chosen by its caller.
using job_id = core::string_id<struct job_id_tag>;
/// \brief Identifier of a worker, as the platform lists it; unchanged when the worker restarts in place.
using worker_id = core::string_id<struct worker_id_tag>;
/// \brief Name of a queue that jobs are submitted to.
using queue_id = core::string_id<struct queue_id_tag>;

/// \brief Resources that a task needs or a worker has.
struct resources
{
    std::int64_t cpu = 0; ///< Processor time per second, thousandths of a core.
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

    /// \brief Returns whether \p need fits into these resources.
    [[nodiscard]] auto holds(const resources &need) const -> bool
    {
        return need.cpu <= cpu && need.memoryMb <= memoryMb && need.gpu <= gpu;
    }
};

/// \brief One step of a job: tasks of the same kind.
struct step_spec
{
    std::uint32_t taskCount = 0; ///< Number of tasks.
    resources perTask; ///< Resources of each task.
    std::chrono::milliseconds estimate{0}; ///< Rough run time of a task.
    std::vector<std::uint32_t> after; ///< Steps whose tasks must all be done before this one starts.
    bool checkpointing = false; ///< Whether tasks save their progress.
    bool gang = false; ///< Whether all tasks start, run and end together.
    bool rackLocal = false; ///< Whether tasks are slow when spread over several racks.
    std::string requirement; ///< Label that the worker must have; empty for none.
    std::string affinityRack; ///< Preferred rack, near the data; empty for none.
    std::uint32_t antiAffinity = 0; ///< Maximum number of tasks of the step on one worker; 0 for no bound.
    bool speculative = false; ///< Whether copies may run in parallel.
    bool longRunning = false; ///< Whether tasks run until the job is cancelled.
    std::string image; ///< Image that the tasks run.
    std::chrono::milliseconds target{0}; ///< Bound on the tail latency of a long-running task; 0 for none.
    bool bestEffort = false; ///< Whether tasks are best-effort: they use only processor time that other tasks leave.
    std::optional<std::uint32_t>
        maxUnavailable; ///< Maximum number of tasks that the system itself makes unavailable at once.

    /// \brief Returns whether a task that is stopped goes on from its checkpoint when it starts again.
    [[nodiscard]] auto isResumable() const -> bool
    {
        return checkpointing && !longRunning && !gang;
    }

    auto operator==(const step_spec &) const -> bool = default;
};

/// \brief Specification of a job, as a caller submits it.
struct multistep_job_spec
{
    std::string payload; ///< Passed to the workers unchanged.
    std::vector<step_spec> steps; ///< Steps in order.
    std::uint32_t repeatCount = 0; ///< Occurrences of a scheduled job; 0 for a job that runs once, immediately.
    core::wall_time firstDue{}; ///< When occurrence 0 is due.
    std::chrono::milliseconds interval{0}; ///< Time between due times of consecutive occurrences.

    /// \brief Returns how often the steps run.
    [[nodiscard]] auto occurrences() const -> std::uint32_t
    {
        return repeatCount == 0 ? 1 : repeatCount;
    }

    /// \brief Returns whether any step runs until the job is cancelled.
    [[nodiscard]] auto isLongRunning() const -> bool
    {
        return std::ranges::any_of(steps, &step_spec::longRunning);
    }

    auto operator==(const multistep_job_spec &) const -> bool = default;
};

/// \brief Parameters of the advice service that restricts the workers of a queue.
struct advice_policy
{
    std::chrono::milliseconds decisionTime{0}; ///< Response time of the service for one request.
    std::chrono::milliseconds timePerWorker{0}; ///< Additional response time per worker in the request.
    std::chrono::milliseconds validity{0}; ///< Validity of a ticket.

    auto operator==(const advice_policy &) const -> bool = default;
};

/// \brief Rules of a queue, as in effect when a job was accepted.
struct queue_policy
{
    queue_id name;
    core::pool_id pool; ///< Pool whose workers run its tasks.
    std::uint32_t priority = 0; ///< Priority; 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Number of failed runs of a task after which its job fails.
    double stretch = 1.0; ///< Objective as a multiple of the critical path.
    std::chrono::milliseconds targetLatency{0}; ///< Added to the objective.
    std::optional<advice_policy> advice; ///< Set when starts need a ticket.

    auto operator==(const queue_policy &) const -> bool = default;
};

/// \brief Identifies one task.
struct task_ref
{
    job_id job;
    std::uint32_t occurrence = 0; ///< Occurrence, from 0.
    std::uint32_t step = 0; ///< Step, from 0.
    std::uint32_t index = 0; ///< Index within the step, from 0.

    auto operator<=>(const task_ref &) const = default;
};
} // namespace poplarpass::jobs
