#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/account_limits.h>
#include <poplarpass/jobs/job_state.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Results, counts and reports of a job_engine.
namespace poplarpass::jobs
{
/// \brief Result of a submission.
enum class submit_outcome : std::uint8_t {
    accepted, ///< A new job; accepted as soon as its record is stored.
    known, ///< The job was accepted before.
};

/// \brief Result of a cancellation.
enum class job_cancel_outcome : std::uint8_t {
    cancelled, ///< Cancelled as soon as its record is stored.
    ended, ///< The job had already ended.
    unknown, ///< There is no such job.
};

/// \brief Runs that the crash of a worker ended.
struct crash_counts
{
    std::uint32_t placed = 0; ///< Runs on the worker.
    std::uint32_t suspects = 0; ///< Those of them that may have caused the crash.
};

/// \brief Why a job failed.
struct failure_evidence
{
    std::string task; ///< Task for which the job failed.
    std::size_t failedRuns = 0; ///< Its runs that ended as failed; for a gang those of all members.
    std::uint32_t maxFailedRuns = 0; ///< Number of them at which the job fails.
    std::optional<crash_record> crashes; ///< Crashes under the task; only when the job fails for them.
};

/// \brief Waiting tasks of a pool that end by themselves.
struct waiting_in_pool
{
    std::string pool;
    std::uint64_t tasks = 0; ///< Waiting tasks of steps that may start and were due longWait ago.
};

/// \brief A wait for a run.
struct wait_details
{
    core::duration waited{0}; ///< For how long.
    std::string_view lastEnd; ///< How the last run ended; empty if not known.
    std::optional<core::duration> leaseFor; ///< How long the run may still exist on its silent worker.
    std::optional<waiting_in_pool> inPool; ///< Set when the tasks of a pool wait.
};

/// \brief What is known of a run that was lost.
struct lost_run_details
{
    core::duration ranFor{0}; ///< For how long it is known to have been executed.
    bool hasOpenStart =
        false; ///< Whether a start order for it may have been carried out without the owner's knowledge.
    std::optional<core::monotonic_time> lastOrderAt; ///< When its worker was last sent a lease; empty for never.
};

/// \brief Details that only some decisions have.
struct decision_details
{
    std::optional<lost_run_details> lost{}; ///< A run that was lost.
    std::optional<crash_counts> crash{}; ///< Runs that the crash of a worker ended.
    std::optional<failure_evidence> failure{}; ///< Why a job failed.
    std::optional<wait_details> wait{}; ///< A wait for a run.
};

/// \brief One decision, for the event log.
struct decision
{
    std::string_view event; ///< Name of the event.
    std::string subject; ///< Job or task.
    std::string worker; ///< Worker, if the decision concerns one.
    std::uint32_t run = 0; ///< Run, if the decision concerns one.
    std::string_view reason; ///< Reason of the decision.
    decision_details details{}; ///< What only some decisions have.
};

/// \brief Steps of a pool with tasks that are ready to start but fit only on workers that may not run them.
struct placement_mismatch
{
    std::uint32_t steps = 0; ///< Steps with such tasks.
    std::string requirement; ///< Label that all of them require; empty when they require none or different ones.
};

/// \brief Counts for metrics.
struct engine_counters
{
    std::uint64_t starts = 0; ///< Starts that were decided.
    std::uint64_t startsRejected = 0; ///< Starts that a worker rejected.
    std::uint64_t runsDone = 0; ///< Runs that ended as done.
    std::uint64_t runsFailed = 0; ///< Runs that ended as failed.
    std::uint64_t runsLost = 0; ///< Runs lost with their worker or the end of its lease, or missing in its report.
    std::uint64_t workerCrashes = 0; ///< Workers that ended or stayed silent, without a drain, with runs on them.
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0; ///< Including jobsCrashing.
    std::uint64_t jobsCrashing = 0; ///< Jobs that were given up because a task crashes its workers.
    std::uint64_t tasksSuspended = 0; ///< Runs that were stopped on drained workers to resume elsewhere.
    std::uint64_t observedStarts = 0; ///< Starts on reserved workers, of tasks that may crash them.
    std::uint64_t jobsCancelled = 0;
};

/// \brief A configured client account, for operators.
struct account_status
{
    account_limits limits; ///< Name, weight and cap.
    resources use; ///< Resources of its runs, over all pools.
    double shareCores = 0; ///< Processor time that its shares of full pools provide, cores.
    std::uint64_t waitingTasks = 0; ///< Its tasks that wait, including those of steps that may not start yet.
    double waitingCoreSeconds = 0; ///< Estimated processor time of those that end by themselves, core seconds.
    std::optional<core::monotonic_time> atCapSince; ///< Since when its cap has held back starts; nothing while none.
};
} // namespace poplarpass::jobs
