#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/time.h>
#include <poplarpass/platform/worker_service.h>
#include <poplarpass/request/job.h>
#include <poplarpass/request/retry_budget.h>

#include <cstdint>
#include <optional>

namespace poplarpass::request
{
/// \brief What was sent for one job so far.
struct attempt_history
{
    bool idempotent = false; ///< Whether the job may run twice.
    int sent = 0; ///< Attempts sent, hedges included.
    int open = 0; ///< Attempts without an answer.
    int failures = 0; ///< Attempts that ran and failed.
};

/// \brief What follows from the end of an attempt.
enum class attempt_step {
    finish, ///< Answer the caller.
    resend, ///< Send another attempt, to another worker if there is one.
    requeue, ///< Put the job back to the head of its queue: the worker had no room for it.
    wait, ///< Another attempt is still open.
    ask_worker, ///< Ask the worker for the task's state before anything else.
};

/// \brief The step, and the answer when it is finish.
struct attempt_decision
{
    attempt_step step = attempt_step::finish; ///< What to do.
    job_answer answer; ///< Set for finish.
};

/// \brief Why a worker is asked about a task, and since when.
struct uncertain_attempt
{
    core::monotonic_time sentAt; ///< When the start was sent.
    core::monotonic_time leaseEnd; ///< When its lease lapses; no start can arrive in time after that.
    std::uint64_t bootId = 0; ///< Boot of the worker under whose lease it was sent.
};

/// \brief Decides whether a job is sent again.
class attempt_policy
{
public:
    /// \param budget retries and hedges of the whole host; outlives this object
    explicit attempt_policy(retry_budget &budget);

    /// \brief Notes the first attempt of a job.
    auto firstAttempt() -> void;
    /// \brief What follows from \p answer; \p history already counts that attempt as ended.
    auto afterAnswer(const attempt_history &history, const platform::start_answer &answer) -> attempt_decision;
    /// \brief What follows from a worker's report on a task whose attempt ended without an answer.
    auto afterReport(const attempt_history &history, const uncertain_attempt &attempt,
                     const platform::task_report &report, core::monotonic_time now) -> attempt_decision;
    /// \brief What follows when the worker cannot be asked any more.
    auto afterSilence(const attempt_history &history) -> attempt_decision;
    /// \brief Whether a second attempt of an idempotent job may be sent while the first is open.
    auto mayHedge(const attempt_history &history) -> bool;
    /// \brief When a hedge is due after the start of an attempt; none for work that may not run twice.
    /// \param typicalRunTime run time that nearly all jobs of the kind stay under; zero if not known
    static auto hedgeDelay(const attempt_history &history, core::duration typicalRunTime)
        -> std::optional<core::duration>;

private:
    auto afterNotStarted(const attempt_history &history, platform::rejection reason) -> attempt_decision;
    auto retryOr(const attempt_history &history, attempt_decision otherwise) -> attempt_decision;

    retry_budget &m_budget;
};
} // namespace poplarpass::request
