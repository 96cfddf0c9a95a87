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
/// \brief Attempts made for one job so far.
struct attempt_history
{
    bool idempotent = false; ///< Whether the job may run more than once.
    int sent = 0; ///< Attempts sent, hedges included.
    int open = 0; ///< Attempts that have not ended yet.
    int failures = 0; ///< Attempts that ran and failed.
};

/// \brief Next step of a job after an event of one of its attempts.
enum class attempt_step {
    finish, ///< Send the answer to the caller.
    resend, ///< Send another attempt, preferably to another worker.
    requeue, ///< Return the job to the head of its queue; the worker did not accept it.
    wait, ///< Wait: an attempt is still open, or the job may still start or run.
    query_worker, ///< Query the worker for the task's state before any other step.
};

/// \brief Next step, with the answer if the step is finish.
struct attempt_decision
{
    attempt_step step = attempt_step::finish;
    job_answer answer; ///< Set for finish.
};

/// \brief Attempt that ended without an answer, about which its worker is queried.
struct uncertain_attempt
{
    core::monotonic_time sentAt; ///< When the start was sent.
    core::monotonic_time leaseEnd; ///< Expiry of its lease; the worker accepts no start from then on.
    std::uint64_t bootId = 0; ///< Boot ID of the worker that granted the lease.
};

/// \brief Decides after each attempt whether a job is answered, retried, requeued or queried.
class attempt_policy
{
public:
    /// \param budget retry budget of the whole host; must outlive this object
    explicit attempt_policy(retry_budget &budget);

    /// \brief Records the first attempt of a job, which adds to the retry budget.
    auto recordFirstAttempt() -> void;
    /// \brief Returns the next step after \p answer; \p history already counts that attempt as ended.
    auto afterAnswer(const attempt_history &history, const platform::start_response &answer) -> attempt_decision;
    /// \brief Returns the next step after a worker's report on a task whose attempt ended without an answer.
    auto afterReport(const attempt_history &history, const uncertain_attempt &attempt,
                     const platform::task_report &report, core::monotonic_time now) -> attempt_decision;
    /// \brief Returns the next step when no report on the task can be obtained any more.
    auto afterNoReport(const attempt_history &history) -> attempt_decision;
    /// \brief Consumes a token of the retry budget for a second attempt of an idempotent job while the first is open.
    /// \returns false if no such attempt may be sent; no token is consumed then
    auto tryReserveHedge(const attempt_history &history) -> bool;
    /// \brief Returns the delay from an attempt's start to its hedge; none if not idempotent or of unknown run time.
    /// \param typicalRunTime run time that nearly all jobs of the kind stay below; zero if unknown
    static auto hedgeDelay(const attempt_history &history, core::duration typicalRunTime)
        -> std::optional<core::duration>;

private:
    auto afterNotStarted(const attempt_history &history, platform::rejection reason) -> attempt_decision;
    auto retryOrElse(const attempt_history &history, attempt_decision otherwise) -> attempt_decision;

    retry_budget &m_budget;
};
} // namespace poplarpass::request
