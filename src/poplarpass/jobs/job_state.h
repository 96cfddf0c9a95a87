#pragma once

#include <poplarpass/jobs/account_limits.h>
#include <poplarpass/jobs/job_spec.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::jobs
{
/// \brief Phase of a task.
enum class task_phase : std::uint8_t {
    waiting, ///< No run of it exists.
    starting, ///< A start is recorded; not yet known whether it runs.
    running, ///< The worker reported the run.
    closing, ///< The run is being stopped, on purpose or because its start had no answer; it may still run.
    done, ///< It ended as done.
};

/// \brief Crashes of workers under a task, since one of its runs last went on for long.
struct crash_record
{
    std::uint32_t atStart = 0; ///< Workers that crashed when they had only just begun a run of the task; one more while
                               ///< a worker is silent that had.
    std::uint32_t later = 0; ///< Workers that crashed later during a run, or before the run that went on for long.
    std::uint32_t alone = 0; ///< Those of atStart on which only runs of the task's own job had just begun.
    std::uint32_t certain = 0; ///< Those of atStart that surely ended during the run.

    auto operator==(const crash_record &) const -> bool = default;

    /// \brief Returns the number of workers that crashed while a run of the task may have existed there.
    [[nodiscard]] auto total() const -> std::uint32_t
    {
        return atStart + later;
    }
};

/// \brief State of one task. encodeProgress() writes what survives a takeover.
struct task_record
{
    task_phase phase = task_phase::waiting; ///< Phase of the task.
    std::uint32_t run = 0; ///< Number of the newest run; 0 before the first.
    std::vector<std::uint32_t> failedRuns; ///< Runs that ended as failed, each once; unused for long-running tasks.
    worker_id worker; ///< Worker of the newest run.
    std::int64_t workerIncarnation = 0; ///< Incarnation of that worker: its start time in Unix milliseconds.
    std::string checkpoint; ///< Newest saved progress; empty for none.
    crash_record crashes; ///< Crashes of workers under it.

    // Not recorded: rebuilt from the workers' reports after a takeover.
    bool placedByFormerOwner = false; ///< Whether a former owner placed the run, so that its start is not known.
    bool acknowledged = false; ///< Whether the worker acknowledged the start of this run.
    core::monotonic_time acknowledgedAt{}; ///< When it did.
    core::monotonic_time startedAt{}; ///< When the run was placed.
    std::uint32_t startAttempts = 0; ///< Number of start orders for this run.
    bool hasOpenStart = false; ///< Whether a start order for this run may still be carried out, or may have been
                               ///< without this owner's knowledge.
    core::monotonic_time startOpenUntil{}; ///< Until when a start order without an answer, for this run or an earlier
                                           ///< one, may still be carried out at its worker; zero for none. The task
                                           ///< starts on no other worker while it is set.
    std::uint32_t unansweredStarts = 0; ///< Number of start orders for this run that got no answer.
    std::optional<core::monotonic_time> unansweredAt; ///< When the last start order timed out without an answer.
    core::monotonic_time notBefore{}; ///< Earliest time of the next start.
    std::optional<core::monotonic_time>
        withoutRunSince; ///< Since when no run of it goes on; nothing while one does and before the first.
    std::string_view lastEnd; ///< How the last run before the current one ended, as logged; empty if not known.
    bool closedByFormerOwner =
        false; ///< Whether a former owner began to stop this run and the worker has not listed it since.
    bool stopConfirmed = false; ///< Whether the worker confirmed a stop of this run.
    core::monotonic_time stopConfirmedAt{}; ///< When it did.
    core::monotonic_time stopSentAt{}; ///< When a stop was last ordered.
    core::monotonic_time reportedAt{}; ///< When the worker last listed the run.
    core::duration actualRunTime{0}; ///< Run time of a finished task since its acknowledgement to this owner.
    std::uint32_t relocations = 0; ///< Runs that were stopped for slowness.
    std::uint32_t percent = 0; ///< Reported progress or readiness, percent.
    core::monotonic_time readyNotBefore{}; ///< Not ready before this time, whatever the worker reports: a former
                                           ///< owner's stop may be in progress.
    bool ready = false; ///< Whether a long-running task was reported ready.
    std::int64_t load = 0; ///< Reported tail latency in ms for serving tasks, else processor use.
    std::uint32_t pace = 100; ///< Share of full speed at which it may run, percent.

    /// \brief Returns whether a start order without an answer may still be carried out at its worker at \p now.
    [[nodiscard]] auto isStartOpen(core::monotonic_time now) const -> bool
    {
        return now < startOpenUntil;
    }

    /// \brief Returns whether a start order without an answer may still be carried out, or may have begun a run that is
    /// not known.
    [[nodiscard]] auto isBoundToWorker() const -> bool
    {
        return startOpenUntil != core::monotonic_time{};
    }

    /// \brief Returns whether it may start at \p now, as far as the task itself is concerned.
    [[nodiscard]] auto isStartable(core::monotonic_time now) const -> bool
    {
        return phase == task_phase::waiting && now >= notBefore;
    }
};

/// \brief Returns how long the run of \p state had left when it was last reported, extrapolated from its progress.
/// \returns nothing when no progress was reported
auto remainingRunTime(const task_record &state) -> std::optional<core::duration>;

/// \brief Phase of a job.
enum class multistep_job_phase : std::uint8_t {
    active, ///< Accepted and not ended.
    completed, ///< All tasks ended as done.
    failed, ///< A task or gang reached the maximum number of failed runs of its queue, or a task crashes its workers.
    cancelled, ///< Its caller cancelled it.
};

/// \brief A job and the state of its tasks.
struct multistep_job_record
{
    job_id id;
    queue_policy queue; ///< Rules of its queue, as in effect when the job was accepted.
    multistep_job_spec spec; ///< Submitted specification.
    account_id account; ///< Client account that submitted it; empty for an anonymous caller.
    multistep_job_phase phase = multistep_job_phase::active; ///< Phase of the job.
    core::wall_time acceptedAt{}; ///< When it was first received.
    std::vector<task_record> tasks; ///< By occurrence, then step, then index.
    std::uint32_t unfinished = 0; ///< Number of tasks that are not done.
    std::uint32_t waiting = 0; ///< Number of tasks in phase waiting.
    bool submitted = true; ///< False while only its cancellation has arrived: no submission of it may run any more.
    bool started = false; ///< Whether any worker ever started a task.
    std::vector<std::uint32_t> stepOffsets; ///< Position of each step's first task within an occurrence, then the
                                            ///< number of tasks of an occurrence.
    std::vector<std::uint32_t> unfinishedTasks; ///< Number of tasks not done, by occurrence, then step.
    std::vector<std::uint32_t> waitingTasks; ///< Number of tasks in phase waiting, by occurrence, then step.
    core::monotonic_time endedAt{}; ///< When it left the phase active.

    /// \brief Returns whether the job has ended and none of its runs may exist, so that only its phase matters.
    [[nodiscard]] auto isSettled() const -> bool;

    /// \brief Returns the position of a task in tasks.
    /// \pre the reference is within the job
    [[nodiscard]] auto positionOf(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const
        -> std::size_t;

    /// \brief Returns whether the job contains \p task.
    [[nodiscard]] auto has(const task_ref &task) const -> bool;

    /// \brief Returns the number of unfinished tasks of a step of an occurrence.
    [[nodiscard]] auto unfinishedOf(std::uint32_t occurrence, std::uint32_t step) const -> std::uint32_t;

    /// \brief Returns the number of waiting tasks of a step of an occurrence.
    [[nodiscard]] auto waitingOf(std::uint32_t occurrence, std::uint32_t step) const -> std::uint32_t;

    /// \brief Returns whether all steps that \p step depends on are done in \p occurrence.
    [[nodiscard]] auto areDependenciesDone(std::uint32_t occurrence, std::uint32_t step) const -> bool;

    /// \brief Calls \p visit with each occurrence that is due at \p now and each of its unfinished steps that may
    /// start, in order, until it returns false.
    auto forEachStartableStep(core::wall_time now,
                              const std::function<bool(std::uint32_t occurrence, std::uint32_t step)> &visit) const
        -> void;

    /// \brief Returns when \p occurrence is due; the time of acceptance for a job without a schedule.
    [[nodiscard]] auto dueTime(std::uint32_t occurrence) const -> core::wall_time;
};

/// \brief Maximum number of tasks of a job, over all occurrences.
inline constexpr std::uint64_t maxTasksOfJob = 200'000;

/// \brief Returns the number of tasks of \p spec over all occurrences.
auto taskCountOf(const multistep_job_spec &spec) -> std::uint64_t;

/// \brief Returns whether \p spec is valid: it has steps, none of them empty, each depends only on earlier ones, and
/// there are at most maxTasksOfJob tasks.
auto isValidSpec(const multistep_job_spec &spec) -> bool;

/// \brief Creates a job with all tasks waiting.
/// \pre isValidSpec(spec)
auto makeJob(job_id id, queue_policy queue, multistep_job_spec spec, core::wall_time acceptedAt)
    -> multistep_job_record;

/// \brief Creates a job of which only the final phase is known.
auto makeEndedJob(job_id id, multistep_job_phase phase) -> multistep_job_record;

/// \brief Creates a job that \p account cancelled before any submission of it arrived.
auto makeUnsubmittedJob(job_id id, account_id account) -> multistep_job_record;

/// \brief Returns the name of a task on the wire and in logs: ID.OCCURRENCE.STEP.INDEX.
auto nameOf(const task_ref &task) -> std::string;

/// \brief Returns the name of a task's step: ID.OCCURRENCE.STEP.
auto stepNameOf(const task_ref &task) -> std::string;

/// \brief Parses a task name.
/// \returns nothing when \p text is not a task name
auto parseTaskName(std::string_view text) -> std::optional<task_ref>;

/// \brief Calls \p visit with the reference and the position of each task of \p job.
auto forEachTask(const multistep_job_record &job,
                 const std::function<void(const task_ref &task, std::size_t position)> &visit) -> void;

/// \brief Returns the name of \p phase in logs.
auto nameOf(multistep_job_phase phase) -> std::string_view;

/// \brief Returns the length of the longest dependency chain through the steps.
/// \param lengthOf returns the length of the step with a given number
auto longestChain(const multistep_job_spec &spec,
                  const std::function<std::chrono::milliseconds(std::uint32_t)> &lengthOf) -> std::chrono::milliseconds;
} // namespace poplarpass::jobs
