#pragma once

#include "sim_network.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief One job as its callers see it.
struct tracked_job
{
    jobs::multistep_job_spec spec; ///< Submitted specification.
    jobs::queue_policy queue; ///< Policy of its queue.
    bool maybeAccepted = false; ///< Whether any submission may have been accepted.
    std::optional<std::int64_t> acceptedAt; ///< Time of the acknowledgement, ms.
    std::optional<std::int64_t> cancelSentAt; ///< Time of the first cancellation request, ms.
    std::optional<std::int64_t> cancelledAt; ///< Time of the cancellation's acknowledgement, ms.
    bool started = false; ///< Whether a worker ever started one of its tasks.
};

/// \brief Checks the system's invariants against events of workers, machines and callers.
///
/// Only externally visible events are used.
class rule_checker
{
public:
    explicit rule_checker(sim_network &network);

    /// \brief Records that a caller submits \p job.
    auto onSubmitted(const std::string &job, const jobs::multistep_job_spec &spec, const jobs::queue_policy &queue)
        -> void;

    /// \brief Records the HTTP status of one submission; no status after a timeout.
    auto onSubmitAnswer(const std::string &job, std::optional<int> status) -> void;

    /// \brief Records that a caller cancels \p job.
    auto onCancelSent(const std::string &job) -> void;

    /// \brief Records that the cancellation of \p job was acknowledged.
    auto onCancelled(const std::string &job) -> void;

    /// \brief Checks a reported job state; empty for "no such job".
    /// \param healthy whether the host that answered was healthy
    auto onState(const std::string &job, const std::string &state, bool healthy) -> void;

    /// \brief Checks and records the start of a run.
    /// \param healthy whether the host that ordered the start was healthy
    auto onStart(const std::string &worker, const core::pool_id &pool, const std::string &task, bool healthy) -> void;

    /// \brief Records the end of a run; no \p how if the run was killed.
    auto onEnd(const std::string &worker, const std::string &task, std::uint32_t run, std::optional<jobs::end_kind> how)
        -> void;

    /// \brief Records that \p worker lost its state, even if it restarts under the same identifier.
    auto onWorkerStateLost(const std::string &worker) -> void;

    /// \brief Records that the end of a run was acknowledged durably.
    auto onEndAcknowledged(const jobs::ended_run &end) -> void;

    /// \brief Checks an order that will end \p task on an operational worker.
    auto onTaskStopOrdered(const std::string &task) -> void;

    /// \brief Records that \p task is available now.
    auto onAvailable(const std::string &task) -> void;

    /// \brief Checks the final state, after the recovery time.
    auto checkEnd() -> void;

    /// \brief Records a violation, once per rule and text.
    auto reportViolation(const std::string &rule, const std::string &what) -> void;

    /// \brief Whether no job is pending.
    [[nodiscard]] auto isSettled() const -> bool;

    /// \brief Returns all submitted jobs by identifier.
    [[nodiscard]] auto trackedJobs() const -> const std::map<std::string, tracked_job> &;

    /// \brief Whether all tasks of \p job ended as done.
    [[nodiscard]] auto isDone(const std::string &job) const -> bool;

    std::vector<std::string> violations; ///< Violations found so far.
    /// \brief Whether advice allows a step on some worker of a pool that has the resources of a task free.
    std::function<bool(const std::string &, const core::pool_id &, const jobs::resources &)> isAllowedAnywhere;

private:
    struct observed_end
    {
        std::uint32_t run = 0;
        jobs::end_kind how = jobs::end_kind::failed;
        std::size_t startsBefore = 0; ///< Number of runs of the task started before this end.
        bool acknowledged = false;
        std::string worker = {};
        bool reportLost = false; ///< Whether the worker lost its state before the end was acknowledged.
    };

    struct observed_task
    {
        std::set<std::string> runningOn;
        bool done = false;
        std::uint32_t failed = 0;
        std::size_t starts = 0;
        std::vector<observed_end> ends; ///< Ends with the result done or failed.
        std::optional<std::int64_t> lastAvailableAt;
        bool stopOrdered = false;
    };

    auto checkOrder(const tracked_job &job, const jobs::task_ref &task) -> void;
    auto checkEnds(const std::string &task) -> void;
    [[nodiscard]] auto isUnavailable(const observed_task &view, const tracked_job &job) const -> bool;
    [[nodiscard]] auto isFailed(const std::string &id, const tracked_job &job) const -> bool;
    [[nodiscard]] auto isBlockedByAdvice(const std::string &id, const tracked_job &job) const -> bool;
    [[nodiscard]] auto isPending(const std::string &id, const tracked_job &job) const -> bool;

    sim_network &m_network;
    std::map<std::string, tracked_job> m_jobs;
    std::map<std::string, observed_task> m_tasks;
    std::set<std::string> m_reported; ///< Violations already reported.
};
} // namespace tests::system_sim
