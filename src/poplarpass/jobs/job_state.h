#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarpass::jobs
{
/// \brief How far one task is.
enum class task_phase : std::uint8_t {
    waiting, ///< Nothing of it runs.
    starting, ///< A start is recorded; whether it runs is not known yet.
    running, ///< The worker reported the run.
    closing, ///< A start had no answer, or the run was told to stop; it may still run.
    done, ///< It ended as done.
};

/// \brief State of one task. What survives a takeover is written by encodeProgress().
struct task_state
{
    task_phase phase = task_phase::waiting; ///< How far it is.
    std::uint32_t run = 0; ///< Number of its newest run; 0 before the first.
    std::vector<std::uint32_t> failedRuns; ///< Runs that ended as failed, each once; not kept for long-running tasks.
    worker_id worker; ///< Worker of the newest run.
    std::int64_t workerIncarnation = 0; ///< Life of that worker, Unix milliseconds.
    std::string checkpoint; ///< Newest saved progress; empty for none.

    // Not recorded: known again from the workers after a takeover.
    bool acknowledged = false; ///< Whether the worker answered the start of this run.
    core::monotonic_time acknowledgedAt{}; ///< When it did.
    core::monotonic_time startedAt{}; ///< When the run was decided.
    std::uint32_t startAttempts = 0; ///< Orders to start this run.
    std::optional<core::monotonic_time> unansweredAt; ///< When it was noticed that the start got no answer.
    core::monotonic_time notBefore{}; ///< No new start before this time.
    bool closedByFormerOwner =
        false; ///< Whether a former owner began to close this run, and nothing was heard of it since.
    bool stopConfirmed = false; ///< Whether the worker answered a stop of this run.
    core::monotonic_time stopConfirmedAt{}; ///< When it did.
    core::monotonic_time stopSentAt{}; ///< When a stop was last sent.
    core::monotonic_time reportedAt{}; ///< When the worker last listed the run.
    core::duration actualRunTime{0}; ///< Run time of a task that is done, as far as this owner saw it.
    std::uint32_t relocations = 0; ///< Runs that were given up for being slow.
    std::uint32_t percent = 0; ///< Progress or readiness that the worker reported.
    core::monotonic_time readyNotBefore{}; ///< Not at work before this, whatever the worker lists: a former owner's
                                           ///< stop may be in progress.
    bool atWork = false; ///< Whether a long-running task was reported at work.
    std::int64_t load = 0; ///< Tail of response times in ms, or processor use, as the worker reported.
    std::uint32_t pace = 100; ///< Share at which it may work, percent.
};

/// \brief How far a job is.
enum class job_phase : std::uint8_t {
    active, ///< Accepted, and not ended.
    completed, ///< All tasks ended as done.
    failed, ///< A task failed as often as its queue allows.
    cancelled, ///< Its caller cancelled it.
};

/// \brief A job with the state of its tasks.
struct job_record
{
    job_id id; ///< Its identifier.
    queue_policy queue; ///< Rules of its queue when it was accepted.
    job_spec spec; ///< What was submitted.
    job_phase phase = job_phase::active; ///< How far it is.
    core::wall_time acceptedAt{}; ///< When it was first received.
    std::vector<task_state> tasks; ///< By occurrence, then step, then index.
    std::uint32_t unfinished = 0; ///< Tasks that have not ended as done.
    bool started = false; ///< Whether a worker ever began a task.
    std::vector<std::uint32_t> stepOffsets; ///< Position of each step's first task within an occurrence; then its size.
    std::vector<std::uint32_t> unfinishedTasks; ///< Tasks not done of each step of each occurrence.
    core::monotonic_time endedAt{}; ///< When it left the phase active.

    /// \brief Whether the job has ended and nothing of it runs, so that only its phase is kept.
    [[nodiscard]] auto isSettled() const -> bool;

    /// \brief Position of a task in tasks.
    /// \pre the reference is within the job
    [[nodiscard]] auto positionOf(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const
        -> std::size_t;

    /// \brief Whether the job has such a task.
    [[nodiscard]] auto has(const task_ref &task) const -> bool;

    /// \brief Entry of unfinishedTasks for a step of an occurrence.
    [[nodiscard]] auto openOf(std::uint32_t occurrence, std::uint32_t step) const -> std::uint32_t;

    /// \brief Whether all steps that \p step comes after are done in \p occurrence.
    [[nodiscard]] auto isUnlocked(std::uint32_t occurrence, std::uint32_t step) const -> bool;

    /// \brief When \p occurrence is due; the time of acceptance for a job without due times.
    [[nodiscard]] auto dueTime(std::uint32_t occurrence) const -> core::wall_time;
};

/// \brief Tasks of a job at most, over all occurrences.
inline constexpr std::uint64_t maxTasksOfJob = 200'000;

/// \brief Tasks of \p spec over all occurrences.
auto taskCountOf(const job_spec &spec) -> std::uint64_t;

/// \brief Whether \p spec can be run: it has steps, none is empty, each comes after earlier ones, and there are not too
/// many tasks.
auto isSound(const job_spec &spec) -> bool;

/// \brief Job with all tasks waiting.
/// \pre isSound(spec)
auto makeJob(job_id id, queue_policy queue, job_spec spec, core::wall_time acceptedAt) -> job_record;

/// \brief Job of which only the end is known.
auto makeEndedJob(job_id id, job_phase phase) -> job_record;

/// \brief Name of a task on the wire and in logs: ID.OCCURRENCE.STEP.INDEX.
auto nameOf(const task_ref &task) -> std::string;

/// \brief Name of a task's step: ID.OCCURRENCE.STEP.
auto stepNameOf(const task_ref &task) -> std::string;

/// \brief Task with the name \p text, if it is one.
auto taskNamed(std::string_view text) -> std::optional<task_ref>;

/// \brief Name of \p phase in logs.
auto nameOf(job_phase phase) -> std::string_view;

/// \brief Length of the longest chain through the steps.
/// \param lengthOf length of the step with that number
auto longestChain(const job_spec &spec, const std::function<std::chrono::milliseconds(std::uint32_t)> &lengthOf)
    -> std::chrono::milliseconds;
} // namespace poplarpass::jobs
