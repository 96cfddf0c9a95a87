#pragma once

#include <poplarpass/platform/worker_service.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace standins
{
/// \brief Monotonic time of run times and leases.
using steady_time = std::chrono::steady_clock::time_point;

/// \brief Timing parameters of one worker.
struct worker_options
{
    std::chrono::milliseconds rebootTime{500}; ///< Duration of a reboot.
    std::chrono::milliseconds usageLag{1000}; ///< Age of the usage figures in a lease response.
    std::chrono::milliseconds leaseTerm{3000}; ///< Term of a lease grant.
};

/// \brief Simulated behaviour of one worker, set by `POST /behaviour`.
struct worker_behaviour
{
    bool failAll = false; ///< Every task fails.
    double runTimeFactor = 1; ///< Factor applied to the declared run time.
    std::int64_t slowStartMs = 0; ///< Added to every run time.
    bool freeze = false; ///< Work requests and the ends of tasks are held back until it is cleared.
    bool crash = false; ///< The port refuses connections and all tasks are lost.
};

/// \brief One accepted start of a task.
struct run_record
{
    std::string taskId;
    std::string attemptId;
    std::string pool; ///< Pool of the worker at the start.
    std::string kind; ///< Kind of work.
    std::uint64_t bootId = 0; ///< Boot in which it ran.
    std::int64_t startMs = 0; ///< Start, since the Unix epoch.
    std::int64_t endMs = 0; ///< End, since the Unix epoch; 0 while running.
    std::string outcome; ///< running, finished, failed, stopped, checkpointed, or lost at a crash.
    bool leaving = false; ///< Whether the worker was draining at the start.
    bool resumed = false; ///< Whether it was resumed from a checkpoint.
};

/// \brief One refused start of a task.
struct refusal_record
{
    std::string taskId;
    std::string attemptId;
    std::string reason; ///< Name of the rejection.
    std::int64_t atMs = 0; ///< Time of the refusal, since the Unix epoch.
    std::optional<std::int64_t> sinceDrainMs; ///< Time since the drain order; empty if not draining.
};
} // namespace standins
