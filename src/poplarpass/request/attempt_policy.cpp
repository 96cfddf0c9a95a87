#include <poplarpass/request/attempt_policy.h>
#include <poplarpass/request/constants.h>

#include <string>
#include <utility>

namespace poplarpass::request
{
namespace
{
using platform::rejection;
using platform::start_outcome;
using platform::worker_task_state;

auto finishWith(core::error_kind kind, std::string detail = {}) -> attempt_decision
{
    return {attempt_step::finish, core::failure(kind, std::move(detail))};
}

auto stepOnly(attempt_step step) -> attempt_decision
{
    return {step, core::failure(core::error_kind::internal)};
}
} // namespace

attempt_policy::attempt_policy(retry_budget &budget)
    : m_budget{budget}
{
}

auto attempt_policy::recordFirstAttempt() -> void
{
    m_budget.recordFirstAttempt();
}

auto attempt_policy::afterAnswer(const attempt_history &history, const platform::start_response &answer)
    -> attempt_decision
{
    switch (answer.outcome) {
    case start_outcome::finished:
        return {attempt_step::finish, answer.payload};
    case start_outcome::failed:
        return history.idempotent ? retryOrElse(history, finishWith(core::error_kind::job_failed, answer.payload))
                                  : finishWith(core::error_kind::job_failed, answer.payload);
    case start_outcome::stopped:
        return finishWith(core::error_kind::stopped);
    case start_outcome::not_started:
        return afterNotStarted(history, answer.reason);
    case start_outcome::uncertain:
        return history.idempotent ? retryOrElse(history, finishWith(core::error_kind::outcome_unknown))
                                  : stepOnly(attempt_step::query_worker);
    }
    return finishWith(core::error_kind::internal);
}

// never_seen proves that the task did not start only if the worker has not rebooted since and the lease has expired:
// before the expiry, the start request may still arrive.
auto attempt_policy::afterReport(const attempt_history &history, const uncertain_attempt &attempt,
                                 const platform::task_report &report, core::monotonic_time now) -> attempt_decision
{
    switch (report.state) {
    case worker_task_state::finished:
        return {attempt_step::finish, report.payload};
    case worker_task_state::failed:
        return finishWith(core::error_kind::job_failed, report.payload);
    case worker_task_state::stopped:
        return finishWith(core::error_kind::stopped);
    case worker_task_state::running:
        return stepOnly(attempt_step::wait);
    case worker_task_state::never_seen:
        break;
    }
    if (report.bootId != attempt.bootId) {
        return afterNoReport(history);
    }
    if (now < attempt.leaseEnd) {
        return stepOnly(attempt_step::wait);
    }
    return afterNotStarted(history, rejection::lease_lapsed);
}

auto attempt_policy::afterNoReport(const attempt_history &history) -> attempt_decision
{
    const auto unknown = finishWith(core::error_kind::outcome_unknown, "the worker cannot say whether the job ran");
    return history.idempotent ? retryOrElse(history, unknown) : unknown;
}

auto attempt_policy::tryReserveHedge(const attempt_history &history) -> bool
{
    return history.idempotent && history.open == 1 && history.sent < maxAttempts && m_budget.tryConsume();
}

auto attempt_policy::hedgeDelay(const attempt_history &history, core::duration typicalRunTime)
    -> std::optional<core::duration>
{
    if (!history.idempotent || typicalRunTime <= core::duration::zero()) {
        return std::nullopt;
    }
    return typicalRunTime + typicalRunTime / 2;
}

// A job that the worker rejects for lack of capacity is requeued without using the retry budget, since the rejection
// costs the worker nothing. A refused connection uses the budget, since a whole zone may be down.
auto attempt_policy::afterNotStarted(const attempt_history &history, rejection reason) -> attempt_decision
{
    if (history.open > 0) {
        return stepOnly(attempt_step::wait);
    }
    switch (reason) {
    case rejection::duplicate:
        return stepOnly(attempt_step::query_worker);
    case rejection::no_slot:
    case rejection::leaving:
    case rejection::lease_lapsed:
    case rejection::wrong_pool:
        return stepOnly(attempt_step::requeue);
    case rejection::too_small:
    case rejection::unreachable:
    case rejection::none:
        break;
    }
    return retryOrElse(history, finishWith(core::error_kind::worker_unavailable));
}

auto attempt_policy::retryOrElse(const attempt_history &history, attempt_decision otherwise) -> attempt_decision
{
    if (history.open > 0) {
        return stepOnly(attempt_step::wait);
    }
    if (history.sent >= maxAttempts || !m_budget.tryConsume()) {
        return otherwise;
    }
    return stepOnly(attempt_step::resend);
}
} // namespace poplarpass::request
