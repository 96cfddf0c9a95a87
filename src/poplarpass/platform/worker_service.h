#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <cstdint>
#include <functional>
#include <string>

namespace poplarpass::platform
{
/// \brief What a worker says of itself when a lease is taken or renewed; the figures lag.
struct worker_report
{
    std::uint64_t leaseId = 0; ///< Grant that starts must name; every renewal gives a new one.
    core::duration leaseTerm{}; ///< The grant lapses this long after the worker gave it.
    std::uint64_t bootId = 0; ///< Changes when the worker restarts.
    core::pool_id pool; ///< Pool that the worker serves.
    std::uint64_t generation = 0; ///< Generation of that assignment.
    bool leaving = false; ///< Whether the worker is draining or going away.
    int usedSlots = 0; ///< Jobs running, as of some time ago.
    int usedConnections = 0; ///< Connections open, as of some time ago.
};

/// \brief Asks for, or renews, the right to start jobs on a worker.
struct lease_request
{
    core::member_id holder; ///< Process that asks.
    core::pool_id pool; ///< Pool that the holder believes the worker serves; refused when it does not.
    std::uint64_t generation = 0; ///< Generation of that assignment; refused when it is another.
};

/// \brief Starts one attempt of a job.
struct start_request
{
    std::string taskId; ///< Identifies the job; a worker starts one task once and refuses a second start.
    std::string attemptId; ///< Identifies the attempt; echoed in the answer.
    std::uint64_t leaseId = 0; ///< Grant under which it starts; refused when it has lapsed.
    core::pool_id pool; ///< Pool that the job is for.
    core::work_kind kind; ///< Kind of work.
    core::duration declaredRunTime{}; ///< Run time that the caller declared.
    int cores = 1; ///< Declared size.
    int memoryMb = 0; ///< Declared size.
    std::string payload; ///< The caller's input.
    std::string traceparent; ///< W3C trace context of this hop; empty when there is none.
};

/// \brief How a start ended.
enum class start_outcome {
    finished, ///< It ran; the answer is whole.
    failed, ///< It ran and failed.
    stopped, ///< It started and was stopped.
    not_started, ///< Sure sign that it did not start: refused connection, or rejected before the start.
    uncertain, ///< It may have started: the connection broke, or the answer was not this attempt's.
};

/// \brief Why a worker rejected a start before it began.
enum class rejection {
    none, ///< It was not rejected.
    unreachable, ///< The connection was refused.
    no_slot, ///< All slots or connections are taken.
    leaving, ///< It takes no new work.
    lease_lapsed, ///< The lease had lapsed.
    wrong_pool, ///< It serves another pool or generation.
    duplicate, ///< It has started this task before.
    too_small, ///< The declared size exceeds the worker.
};

/// \brief What a worker answered to a start.
struct start_answer
{
    start_outcome outcome = start_outcome::uncertain; ///< How it ended.
    rejection reason = rejection::none; ///< Set when the outcome is not_started.
    std::string taskId; ///< As echoed by the worker.
    std::string attemptId; ///< As echoed by the worker.
    std::string payload; ///< The job's output.
    core::duration runTime{}; ///< Time that the job took on the worker.
};

/// \brief State of a task on a worker.
enum class task_state {
    never_seen, ///< The worker has not started it since its boot.
    running, ///< It runs.
    finished, ///< It ran to its end.
    failed, ///< It ran and failed.
    stopped, ///< It was stopped.
};

/// \brief Answer to a query for one task.
struct task_report
{
    task_state state = task_state::never_seen; ///< Its state.
    std::uint64_t bootId = 0; ///< Boot that the answer speaks for.
    std::string payload; ///< The output when finished.
};

/// \brief Orders that control gives to a worker; each carries the epoch of the control role.
enum class worker_order {
    drain, ///< Take no new work.
    undrain, ///< Take work again.
    reboot, ///< Restart; refused while jobs run.
    assign, ///< Serve another pool; refused while jobs run. Revokes every lease.
};

/// \brief One order to a worker.
struct order_request
{
    worker_order order = worker_order::drain; ///< What to do.
    std::uint64_t controlEpoch = 0; ///< Refused when older than one that the worker has seen.
    core::pool_id pool; ///< For assign: the new pool.
    std::uint64_t generation = 0; ///< For assign: the new generation.
};

/// \brief Answer to an order.
struct order_answer
{
    int runningJobs = 0; ///< Jobs that still run.
    std::uint64_t bootId = 0; ///< Boot of the worker at the time of the answer.
    bool draining = false; ///< Whether it takes no new work.
    core::pool_id pool; ///< Pool that it serves.
    std::uint64_t generation = 0; ///< Generation of that assignment.
};

/// \brief How a running task is handled to make room.
enum class task_command {
    stop, ///< End it without a result.
    checkpoint, ///< Save its progress and free its slot; it can be started again and goes on from there.
    throttle, ///< Run it at a reduced rate.
    unthrottle, ///< Run it at the full rate.
};

/// \brief The workers, by "IP:port". Handlers are called exactly once, from the event loop, never inside the call.
struct worker_service
{
    std::function<void(std::string address, lease_request, std::function<void(core::result<worker_report>)>)> lease;
    std::function<void(std::string address, start_request, core::duration timeout, std::function<void(start_answer)>)>
        start;
    std::function<void(std::string address, std::string taskId, std::function<void(core::result<task_report>)>)> query;
    std::function<void(std::string address, std::string taskId, task_command,
                       std::function<void(core::result<task_report>)>)>
        command;
    std::function<void(std::string address, order_request, std::function<void(core::result<order_answer>)>)> order;
};
} // namespace poplarpass::platform
