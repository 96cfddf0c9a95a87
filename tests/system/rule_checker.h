#pragma once

#include "sim_network.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief What callers did with one job.
struct known_job
{
    jobs::multistep_job_spec spec; ///< What was submitted.
    jobs::queue_policy queue; ///< Rules of its queue.
    bool maybeAccepted = false; ///< Whether some attempt was not refused for sure.
    std::optional<std::int64_t> acceptedAt; ///< When the acknowledgement arrived, ms.
    std::optional<std::int64_t> cancelSentAt; ///< When its cancellation was first sent, ms.
    std::optional<std::int64_t> cancelledAt; ///< When its cancellation was acknowledged, ms.
    bool started = false; ///< Whether a worker ever began a task.
};

/// \brief Watches workers, machines and callers, and lists every broken rule.
///
/// It sees only what those outside the system see.
class rule_checker
{
public:
    explicit rule_checker(sim_network &network);

    /// \brief A caller hands a job in.
    auto onSubmitted(const std::string &job, const jobs::multistep_job_spec &spec, const jobs::queue_policy &queue)
        -> void;

    /// \brief What became of one attempt to hand a job in; no status when no answer came.
    auto onSubmitAnswer(const std::string &job, std::optional<int> status) -> void;

    /// \brief A caller cancels a job.
    auto onCancelSent(const std::string &job) -> void;

    /// \brief The cancellation was acknowledged.
    auto onCancelled(const std::string &job) -> void;

    /// \brief A state was shown; empty for "no such job".
    /// \param inTouch whether the host that answered was in touch
    auto onState(const std::string &job, const std::string &state, bool inTouch) -> void;

    /// \brief A worker begins a run.
    /// \param inTouch whether the host that ordered it was in touch
    auto onStart(const std::string &worker, const core::pool_id &pool, const std::string &task, bool inTouch) -> void;

    /// \brief A run ended; also when its worker died.
    auto onEnd(const std::string &worker, const std::string &task, std::uint32_t run, std::optional<jobs::end_kind> how)
        -> void;

    /// \brief \p worker died: it knows nothing of before, also when it starts again under its identifier.
    auto onWorkerDied(const std::string &worker) -> void;

    /// \brief The end of a run was acknowledged for good.
    auto onAcknowledged(const jobs::ended_run &end) -> void;

    /// \brief An order of the system is about to end \p task, which is at work on a sound worker.
    auto onOrderedAway(const std::string &task) -> void;

    /// \brief A long-running task was seen at work.
    auto onAtWork(const std::string &task) -> void;

    /// \brief What is broken at the end, after a long calm.
    auto checkEnd() -> void;

    /// \brief Notes a broken rule, once.
    auto broken(const std::string &rule, const std::string &what) -> void;

    /// \brief Whether everything that is owed to callers is done.
    [[nodiscard]] auto isSettled() const -> bool;

    /// \brief All jobs by identifier.
    [[nodiscard]] auto all() const -> const std::map<std::string, known_job> &;

    /// \brief Whether all tasks of \p job ended as done.
    [[nodiscard]] auto isDone(const std::string &job) const -> bool;

    std::vector<std::string> breaches; ///< Broken rules.
    /// \brief Whether advice allows a step on some worker of a pool that has what a task takes.
    std::function<bool(const std::string &, const core::pool_id &, const jobs::resources &)> isAllowedAnywhere;

private:
    struct end_view
    {
        std::uint32_t run = 0;
        jobs::end_kind how = jobs::end_kind::failed;
        std::size_t startsBefore = 0; ///< Runs of the task that had begun by then.
        bool noted = false;
        std::string worker = {};
        bool lost = false; ///< Its worker died before it was noted, so it never will be.
    };

    struct task_view
    {
        std::set<std::string> runningOn;
        bool done = false;
        std::uint32_t failed = 0;
        std::size_t starts = 0;
        std::vector<end_view> ends; ///< Ends as done and as failed.
        std::optional<std::int64_t> lastAtWork;
        bool orderedAway = false;
    };

    auto checkOrder(const known_job &job, const jobs::task_ref &task) -> void;
    auto checkEnds(const std::string &task) -> void;
    [[nodiscard]] auto isAway(const task_view &view, const known_job &job) const -> bool;
    [[nodiscard]] auto isFailed(const std::string &id, const known_job &job) const -> bool;
    [[nodiscard]] auto isHeldUpByAdvice(const std::string &id, const known_job &job) const -> bool;
    [[nodiscard]] auto isOwed(const std::string &id, const known_job &job) const -> bool;

    sim_network &m_network;
    std::map<std::string, known_job> m_jobs;
    std::map<std::string, task_view> m_tasks;
    std::set<std::string> m_said; ///< Breaches that were listed before.
};
} // namespace tests::system_sim
