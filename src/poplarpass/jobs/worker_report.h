#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::jobs
{
/// \brief Entry that a worker publishes about itself.
struct worker_entry
{
    worker_id id; ///< Identifier of the worker; unchanged when it restarts in place.
    std::int64_t incarnation = 0; ///< Its incarnation: start time in Unix milliseconds.
    core::pool_id pool; ///< Pool that it serves.
    std::string address; ///< Address, "IP:port".
    std::string zone; ///< Availability zone.
    bool draining = false; ///< Whether it is draining before it leaves.
    resources capacity; ///< Total resources.
    std::vector<std::string> labels; ///< Kind and rack.
    std::int64_t clockMs = 0; ///< Its clock when it wrote the entry, milliseconds.
};

/// \brief One run that a worker has in progress.
struct running_run
{
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::string checkpoint; ///< Newest checkpoint.
    std::uint32_t percent = 0; ///< Progress; 100 for a long-running task that is ready.
    std::int64_t load = 0; ///< Tail latency in ms for serving tasks, else processor use.
};

/// \brief How a run ended.
enum class end_kind : std::uint8_t {
    done, ///< It completed.
    failed, ///< Through a fault of its own or of the worker.
    stopped, ///< By a stop order.
    lapsed, ///< The worker's lease ran out.
    broken, ///< Another member of its gang ended.
    alone, ///< The other members of its gang did not start.
};

/// \brief One run that ended.
struct ended_run
{
    std::uint64_t number = 0; ///< Sequence number in the worker's list of ends, from 1 in each incarnation.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    end_kind how = end_kind::failed; ///< Kind of its end.
    std::string checkpoint; ///< Last checkpoint.
};

/// \brief A worker's answer to a lease renewal.
struct renewal_report
{
    std::int64_t incarnation = 0; ///< Incarnation of the worker that answered; 0 when the answer does not contain it.
    std::int64_t clockMs = 0; ///< Its clock, milliseconds.
    std::vector<running_run> running; ///< Runs in progress.
    std::vector<ended_run> ended; ///< Unacknowledged ends, oldest first.
};

/// \brief A worker's answer to a start.
enum class run_start_answer : std::uint8_t {
    started, ///< The run was started now or is already running.
    fenced, ///< An order with a greater fencing token, from another owner, came before.
    superseded, ///< A run of the same task with the same or a higher number has ended or been stopped there, or another
                ///< one runs.
    too_late, ///< The lease in the order had expired on the worker's clock.
    no_room, ///< The worker lacks the resources.
    no_ticket, ///< The ticket is not valid.
    malformed, ///< The worker could not parse the order.
    unhealthy, ///< The worker is unhealthy and did nothing.
    other_instance, ///< Another instance answered at the worker's address.
    unreachable, ///< No byte of the order was sent.
    unknown, ///< No answer; the order may have been executed, or may still be.
};

/// \brief A worker's answer to a stop.
enum class stop_answer : std::uint8_t {
    stopped, ///< The run has ended, is ending, or will never start there.
    fenced, ///< An order with a greater fencing token, from another owner, came before.
    other_instance, ///< Another instance answered at the worker's address.
    unknown, ///< No usable answer.
};

/// \brief Returns the name of \p answer in logs and metrics.
auto nameOf(run_start_answer answer) -> std::string_view;

/// \brief Returns the name of \p answer in logs and metrics.
auto nameOf(stop_answer answer) -> std::string_view;

/// \brief An order to start a run; sent after its record is stored.
struct start_order
{
    worker_id worker; ///< Worker that is to run it.
    task_ref task; ///< Task to run.
    std::uint32_t run = 0; ///< Number of the run.
    std::string payload; ///< Payload of the job.
    std::string checkpoint; ///< Checkpoint to resume from; empty for none.
    std::string ticket; ///< Ticket that permits the start; empty for none.
    std::uint32_t attempt = 1; ///< Number of start orders for this run, including this one.
};

/// \brief An order to stop a run.
struct stop_order
{
    worker_id worker; ///< Worker that may run it.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
};

/// \brief An order to run at a share of full speed.
struct pace_order
{
    worker_id worker; ///< Worker that runs it.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::uint32_t percent = 100; ///< Share of full speed, percent.
};

/// \brief Orders to be sent to workers.
struct order_batch
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces; ///< Changes in the speed of runs.
};
} // namespace poplarpass::jobs
