#pragma once

#include <poplarpass/jobs/worker_report.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief The worker that a call is meant for, and by what right it is made.
struct worker_target
{
    jobs::worker_id id; ///< Intended life of the worker.
    std::string address; ///< "IP:port".
    std::uint64_t fencingToken = 0; ///< Epoch of the owner.
};

/// \brief A renewal of the lease of everything that runs on a worker.
struct renewal_call
{
    worker_target target; ///< Which worker.
    std::uint64_t acknowledgedEnd = 0; ///< Ends up to this number are stored and may be forgotten.
    std::optional<std::int64_t> deadlineMs; ///< New end of the lease on the worker's clock; none to leave it.
    std::chrono::milliseconds wait{0}; ///< The worker answers at the next end, or after this.
};

/// \brief What became of a renewal.
enum class renewal_outcome : std::uint8_t {
    reported, ///< The worker answered.
    fenced, ///< Another owner gave orders with a greater fencing token.
    other_instance, ///< Another life of the worker answered.
    failed, ///< No usable answer.
};

/// \brief Answer to a renewal.
struct renewal_answer
{
    renewal_outcome outcome = renewal_outcome::failed; ///< What became of it.
    jobs::renewal_report report; ///< The worker's lists, if it reported.
};

/// \brief Calls of workers; completions run on the event loop.
struct worker_calls
{
    /// \brief Renews a lease and reads the runs.
    std::function<void(const renewal_call &, std::function<void(renewal_answer)>)> renew;
    /// \brief Starts a run with a lease until the given time on the worker's clock, milliseconds.
    std::function<void(const worker_target &, const jobs::start_order &, std::int64_t,
                       std::function<void(jobs::run_start_answer)>)>
        start;
    /// \brief Stops a run.
    std::function<void(const worker_target &, const jobs::stop_order &, std::function<void(jobs::stop_answer)>)> stop;
    /// \brief Sets the share at which a run may work.
    std::function<void(const worker_target &, const jobs::pace_order &, std::function<void(bool)>)> pace;
};
} // namespace poplarpass::host
