#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <cstdint>
#include <functional>
#include <string>

namespace poplarpass::platform
{
/// \brief A worker's response to a lease request: the lease and the worker's state; the usage figures lag.
struct lease_response
{
    std::uint64_t leaseId = 0; ///< Lease under which starts are sent; each renewal has a new id.
    core::duration leaseTerm{}; ///< The lease expires this long after the worker granted it.
    std::uint64_t bootId = 0; ///< Changes when the worker restarts.
    core::pool_id pool; ///< Pool that the worker serves.
    std::uint64_t generation = 0; ///< Generation of the pool assignment.
    bool leaving = false; ///< Whether the worker is draining or about to leave.
    int usedSlots = 0; ///< Running jobs; lags.
    int usedConnections = 0; ///< Open connections; lags.
};

/// \brief Requests or renews a lease, which permits starting jobs on a worker.
struct lease_request
{
    core::member_id holder; ///< Requesting process.
    core::pool_id pool; ///< Pool that the holder assumes; rejected if the worker serves another.
    std::uint64_t generation = 0; ///< Generation of that assignment; rejected on a mismatch.
};

/// \brief Starts one attempt of a job.
struct start_request
{
    std::string taskId; ///< Identifies the job; a worker starts a task once and rejects a second start.
    std::string attemptId; ///< Identifies the attempt; echoed in the response.
    std::uint64_t leaseId = 0; ///< Lease under which the job starts; rejected if it has expired.
    core::pool_id pool; ///< Pool of the job.
    core::work_kind kind;
    core::duration declaredRunTime{}; ///< Run time declared by the caller.
    int cores = 1; ///< Declared number of CPU cores.
    int memoryMb = 0; ///< Declared memory in MB.
    std::string payload; ///< Input of the job.
    std::string traceparent; ///< W3C trace context of this hop, or empty.
};

/// \brief Outcome of a start.
enum class start_outcome {
    finished, ///< The job finished; the response is complete.
    failed, ///< The job ran and failed.
    stopped, ///< The job started and was stopped.
    not_started, ///< The job certainly did not start: connection refused, or start rejected.
    uncertain, ///< The job may have started: connection lost, or response to another attempt.
};

/// \brief Reason for which a start was rejected.
enum class rejection {
    none, ///< Not rejected.
    unreachable, ///< The connection was refused.
    no_slot, ///< All slots or connections are in use.
    leaving, ///< The worker accepts no new work.
    lease_lapsed, ///< The lease has expired.
    wrong_pool, ///< The worker serves another pool, or the generation differs.
    duplicate, ///< The worker has already started this task.
    too_small, ///< The declared size exceeds that of the worker.
};

/// \brief A worker's response to a start.
struct start_response
{
    start_outcome outcome = start_outcome::uncertain;
    rejection reason = rejection::none; ///< Set when the outcome is not_started.
    std::string taskId; ///< As echoed by the worker.
    std::string attemptId; ///< As echoed by the worker.
    std::string payload; ///< Output of the job.
    core::duration runTime{}; ///< Run time of the job on the worker.
};

/// \brief State of a task on a worker.
enum class worker_task_state {
    never_seen, ///< Not started since the worker's last boot.
    running,
    finished, ///< Ran to completion.
    failed, ///< Ran and failed.
    stopped,
};

/// \brief Response to a query or command for one task.
struct task_report
{
    worker_task_state state = worker_task_state::never_seen;
    std::uint64_t bootId = 0; ///< Boot of the worker to which the state refers.
    std::string payload; ///< Output of the job if finished.
};

/// \brief Orders from the control role to a worker; each carries the epoch of the control role.
enum class worker_order {
    drain, ///< Accept no new work.
    undrain, ///< Accept new work again.
    reboot, ///< Restart the worker; rejected while jobs run.
    assign, ///< Serve another pool; rejected while jobs run. Revokes all leases.
};

/// \brief One order to a worker.
struct order_request
{
    worker_order order = worker_order::drain;
    std::uint64_t controlEpoch = 0; ///< Rejected if older than the latest epoch received by the worker.
    core::pool_id pool; ///< For assign: the new pool.
    std::uint64_t generation = 0; ///< For assign: the new generation.
};

/// \brief Response to an order.
struct order_response
{
    int runningJobs = 0; ///< Number of running jobs.
    std::uint64_t bootId = 0; ///< Boot of the worker at the time of the response.
    bool draining = false; ///< Whether the worker accepts no new work.
    core::pool_id pool; ///< Pool that the worker serves.
    std::uint64_t generation = 0; ///< Generation of the pool assignment.
};

/// \brief Commands for a running task, to free capacity.
enum class task_command {
    stop, ///< Terminate without a result.
    checkpoint, ///< Save the progress and free the slot; a later start resumes from there.
    throttle, ///< Run at a reduced rate.
    unthrottle, ///< Run at the full rate.
};

/// \brief Interface to the workers, which are addressed by "IP:port".
///
/// A completion handler is called exactly once, from the event loop, never from inside the call.
struct worker_service
{
    std::function<void(std::string address, lease_request, std::function<void(core::result<lease_response>)>)> lease;
    std::function<void(std::string address, start_request, core::duration timeout, std::function<void(start_response)>)>
        start;
    std::function<void(std::string address, std::string taskId, std::function<void(core::result<task_report>)>)> query;
    std::function<void(std::string address, std::string taskId, task_command,
                       std::function<void(core::result<task_report>)>)>
        command;
    std::function<void(std::string address, order_request, std::function<void(core::result<order_response>)>)> order;
};
} // namespace poplarpass::platform
