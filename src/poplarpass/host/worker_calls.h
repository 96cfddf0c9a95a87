#pragma once

#include <poplarpass/jobs/worker_report.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief Worker to call, and the fencing token of the caller.
struct worker_target
{
    jobs::worker_id id; ///< Worker that is expected to answer.
    std::string address; ///< "IP:port".
    std::uint64_t fencingToken = 0; ///< Epoch of the owner of the pools.
};

/// \brief Renewal of the lease that covers all runs on a worker.
struct renewal_call
{
    worker_target target; ///< Worker to call.
    std::uint64_t acknowledgedEnd = 0; ///< Ends up to this number are stored; the worker may discard them.
    std::optional<std::int64_t>
        deadlineMs; ///< New end of the lease on the worker's clock, milliseconds; unset to leave it.
    std::chrono::milliseconds wait{0}; ///< The worker answers when a run ends, at the latest after this.
};

/// \brief Outcome of a renewal.
enum class renewal_outcome : std::uint8_t {
    reported, ///< The worker answered.
    fenced, ///< The worker has received a greater fencing token from another owner.
    other_instance, ///< Another incarnation of the worker answered.
    failed, ///< No valid answer.
};

/// \brief Result of a renewal.
struct renewal_answer
{
    renewal_outcome outcome = renewal_outcome::failed;
    jobs::renewal_report report; ///< The worker's runs; set if outcome is reported.
};

/// \brief Result of a start order.
struct start_result
{
    // Most results have no clock.
    start_result(jobs::run_start_answer result, std::optional<std::int64_t> clock = std::nullopt)
        : answer{result}
        , clockMs{clock}
    {
    }

    jobs::run_start_answer answer; ///< The worker's answer.
    std::optional<std::int64_t> clockMs; ///< Its clock when it answered, milliseconds; empty without an answer.
};

/// \brief Client interface of workers; completions run on the event loop.
struct worker_calls
{
    /// \brief Renews the lease and returns the worker's runs.
    std::function<void(const renewal_call &, std::function<void(renewal_answer)>)> renew;
    /// \brief Starts a run under a lease that ends at the given time on the worker's clock, milliseconds.
    std::function<void(const worker_target &, const jobs::start_order &, std::int64_t,
                       std::function<void(start_result)>)>
        start;
    /// \brief Stops a run.
    std::function<void(const worker_target &, const jobs::stop_order &, std::function<void(jobs::stop_answer)>)> stop;
    /// \brief Limits a run to a share of its speed; completes with whether the worker accepted.
    std::function<void(const worker_target &, const jobs::pace_order &, std::function<void(bool)>)> pace;
};
} // namespace poplarpass::host
