#pragma once

#include <poplarpass/platform/worker_service.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace standins
{
/// \brief Clock of run times and leases.
using steady_time = std::chrono::steady_clock::time_point;

/// \brief Timing of one worker.
struct worker_options
{
    std::chrono::milliseconds rebootTime{500}; ///< Time that a reboot takes.
    std::chrono::milliseconds usageLag{1000}; ///< Age of the usage figures in a lease answer.
    std::chrono::milliseconds leaseTerm{3000}; ///< Term of a lease grant.
};

/// \brief Behaviour of one worker, set by `POST /behaviour`.
struct worker_behaviour
{
    bool failAll = false; ///< Every job fails.
    double runTimeFactor = 1; ///< Run time over the declared run time.
    std::int64_t slowStartMs = 0; ///< Added to every run time.
    bool freeze = false; ///< Nothing is handled or answered until it ends.
    bool crash = false; ///< The port refuses connections, and the tasks are lost.
};

/// \brief One start of a task, as the worker saw it.
struct run_record
{
    std::string taskId; ///< The task.
    std::string attemptId; ///< The attempt.
    std::string pool; ///< Pool that the worker served.
    std::string kind; ///< Kind of work.
    std::uint64_t bootId = 0; ///< Boot of the worker.
    std::int64_t startMs = 0; ///< Start, since the Unix epoch.
    std::int64_t endMs = 0; ///< End, since the Unix epoch; 0 while it runs.
    std::string outcome; ///< running, finished, failed, stopped, checkpointed, or lost at a crash.
    bool leaving = false; ///< Whether the worker was draining at the start.
    bool resumed = false; ///< Whether it went on from a checkpoint.
};

/// \brief One start that the worker refused.
struct refusal_record
{
    std::string taskId; ///< The task.
    std::string attemptId; ///< The attempt.
    std::string reason; ///< Name of the rejection.
    std::int64_t atMs = 0; ///< When, since the Unix epoch.
    std::optional<std::int64_t> sinceDrainMs; ///< Time since the drain order while draining.
};
} // namespace standins
