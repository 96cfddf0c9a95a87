#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Which tasks are suspected of crashing the workers that start them, and when a suspicion is certain enough.
namespace poplarpass::jobs
{
/// \brief How the end of a worker was noticed.
enum class worker_loss : std::uint8_t {
    other_instance, ///< Another instance answered at its address.
    worker_restarted, ///< It reported as a new incarnation.
    lease_lapsed, ///< It stayed silent until its lease had expired; it may only be cut off.
    host_lost, ///< No host has it any more.
    host_replaced, ///< Its host has another worker.
};

/// \brief Returns the name of \p loss in logs.
auto nameOf(worker_loss loss) -> std::string_view;

namespace internal
{
/// \brief A run that ended with its worker, or with the lease of a silent one, and what it may have to do with it.
struct lost_run
{
    task_ref task;
    std::int64_t workerIncarnation = 0; ///< Incarnation of the worker that executed it.
    bool isSuspect = false; ///< Whether it had only just begun, if at all.
    bool mayHaveBegun = false; ///< Whether its start may have been carried out, as far as its answers tell.
    bool isStartKnown = false; ///< Whether this owner ordered the start, so that the time of it is known.
    bool isCertain = false; ///< Whether the worker, if it has ended, surely ended during the run, soon after its start.
    bool isCounted = false; ///< Whether it was already counted in crash_record::atStart.
};

/// \brief A worker whose lease has lapsed in silence. It may have crashed or may be only cut off; a later answer tells.
struct silent_worker
{
    std::string address;
    core::monotonic_time since{}; ///< When its lease had lapsed.
    std::vector<lost_run> runs;

    /// \brief Returns its incarnation.
    [[nodiscard]] auto incarnation() const -> std::int64_t;
};

/// \brief Tasks of several jobs that may have caused the crash of one worker.
struct crash_suspects
{
    std::vector<task_ref> tasks;
    core::monotonic_time at{}; ///< When the crash was noticed.
};

/// \brief Returns for how long a run is known to have been executed: from its acknowledgement until its worker last
/// answered any call; zero when the worker has answered none since.
auto knownRunTime(const task_record &state, const worker_slot &worker) -> core::duration;

/// \brief Returns the time after its start for which a run of a task with \p crashes may be about to crash its worker.
auto observationTime(const crash_record &crashes) -> core::duration;

/// \brief Returns whether the run that \p state describes may have crashed \p worker.
auto isCrashSuspect(const task_record &state, const worker_slot &worker) -> bool;

/// \brief Returns whether a run on a worker that responds at \p now is past the time at which it might crash it.
auto hasPassedObservation(const task_record &state, core::monotonic_time now) -> bool;

/// \brief Returns whether runs of a task with \p crashes must start on a worker that starts nothing else meanwhile.
auto needsObservedStart(const crash_record &crashes) -> bool;

/// \brief Returns whether \p worker, if it has ended, surely ended during the run and soon after its start.
auto isCertainCrash(const task_record &state, const worker_slot &worker, core::monotonic_time now) -> bool;

/// \brief Returns whether the run that \p state describes may have begun on a worker of which \p loss was noticed.
auto mayHaveBegun(const task_record &state, worker_loss loss) -> bool;

/// \brief Returns what the run of \p task that \p state describes may have to do with \p loss of \p worker.
auto lostRunOf(const task_ref &task, const task_record &state, const worker_slot &worker, worker_loss loss,
               core::monotonic_time now) -> lost_run;

/// \brief Returns whether \p run is evidence that its task crashes workers.
auto isEvidence(const lost_run &run) -> bool;

/// \brief Returns whether only runs of one job, or none, may have caused the crash.
auto areSuspectsOfOneJob(std::span<const lost_run> runs) -> bool;

/// \brief Limits the counts of a stored record to what is evidence in this build.
auto withoutCountedSilence(crash_record stored) -> crash_record;

/// \brief Decides, after a crash for which only one job could be the cause, whether its task is given up.
/// \param crashes of the task, including the last crash
/// \param longRunning whether the task runs until it is cancelled
auto isCrashingTask(const crash_record &crashes, bool longRunning) -> bool;
} // namespace internal
} // namespace poplarpass::jobs
