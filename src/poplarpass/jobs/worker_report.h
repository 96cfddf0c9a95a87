#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::jobs
{
/// \brief What a worker publishes of itself.
struct worker_entry
{
    worker_id id; ///< This life of the worker, unless it restarted under the same identifier.
    std::int64_t born = 0; ///< When it started, Unix milliseconds.
    core::pool_id pool; ///< Pool that it serves.
    std::string address; ///< "IP:port".
    std::string zone; ///< Availability zone.
    bool draining = false; ///< Whether it is about to leave.
    resources capacity; ///< What it has.
    std::vector<std::string> labels; ///< Kind and rack.
    std::int64_t clockMs = 0; ///< Its own clock when it wrote this, milliseconds.
};

/// \brief One run that a worker has in progress.
struct running_run
{
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::string checkpoint; ///< Newest saved progress.
    std::uint32_t percent = 0; ///< Progress; 100 for a long-running task that is at work.
    std::int64_t load = 0; ///< Tail of response times in ms where it serves, else processor use.
};

/// \brief How a run ended.
enum class end_kind : std::uint8_t {
    done, ///< As it should.
    failed, ///< By its own fault or the worker's.
    stopped, ///< By an order.
    lapsed, ///< The worker's lease ran out.
    broken, ///< Another member of its gang ended.
    alone, ///< The other members of its gang did not come.
};

/// \brief One run that ended.
struct ended_run
{
    std::uint64_t number = 0; ///< Position in the worker's list of ends, from 1 in each life.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    end_kind how = end_kind::failed; ///< How it ended.
    std::string checkpoint; ///< Saved progress.
};

/// \brief A worker's answer to a lease renewal.
struct worker_report
{
    std::int64_t born = 0; ///< Life of the worker that answered; 0 when it does not say.
    std::int64_t clockMs = 0; ///< Its own clock, milliseconds.
    std::vector<running_run> running; ///< Everything that runs.
    std::vector<ended_run> ended; ///< Ends that were not acknowledged, the oldest first.
};

/// \brief A worker's answer to a start.
enum class start_answer : std::uint8_t {
    started, ///< It runs, or ran already.
    fenced, ///< Another owner of the pools gave orders with a greater fencing token.
    superseded, ///< A run that is not lower was stopped or ended there.
    too_late, ///< The lease in the start had lapsed on the worker's clock.
    no_room, ///< It does not fit.
    no_ticket, ///< The ticket is not good.
    malformed, ///< The worker could not read the start.
    unhealthy, ///< The worker did nothing.
    other_instance, ///< Another life of the worker answered.
    unreachable, ///< No byte of the start was sent.
    unknown, ///< No answer; it may have been carried out, or will be.
};

/// \brief A worker's answer to a stop.
enum class stop_answer : std::uint8_t {
    stopped, ///< The run ends, or will never start there.
    fenced, ///< Another owner of the pools gave orders with a greater fencing token.
    other_instance, ///< Another life of the worker answered.
    unknown, ///< No answer that says so.
};

/// \brief Name of \p answer in logs and metrics.
auto nameOf(start_answer answer) -> std::string_view;

/// \brief Name of \p answer in logs and metrics.
auto nameOf(stop_answer answer) -> std::string_view;

/// \brief An order to start a run; sent after its record is stored.
struct start_order
{
    worker_id worker; ///< Worker that is to run it.
    task_ref task; ///< What to run.
    std::uint32_t run = 0; ///< Number of the run.
    std::string payload; ///< From the job.
    std::string checkpoint; ///< Progress to go on from; empty for none.
    std::string ticket; ///< Advice that allows the start; empty for none.
    std::uint32_t attempt = 1; ///< How often this run was ordered, this order included.
};

/// \brief An order to stop a run.
struct stop_order
{
    worker_id worker; ///< Worker that may run it.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
};

/// \brief An order to let a run work at a share of its speed.
struct pace_order
{
    worker_id worker; ///< Worker that runs it.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::uint32_t percent = 100; ///< Share, percent.
};

/// \brief Everything that is to be sent to workers and advisers.
struct order_batch
{
    std::vector<start_order> starts; ///< Runs to start.
    std::vector<stop_order> stops; ///< Runs to stop.
    std::vector<pace_order> paces; ///< Runs to slow down or speed up.
};
} // namespace poplarpass::jobs
