#pragma once

#include <poplarpass/core/time.h>

#include <tl/expected.hpp>

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace poplarpass::core
{
/// \brief Closed list of everything that can go wrong; the table in error.cpp maps each kind to its answer.
enum class error_kind {
    invalid_request, ///< Malformed or contradictory input.
    payload_too_large, ///< Input larger than the stated limit.
    request_timeout, ///< The caller did not finish sending its request in time.
    unknown_pool, ///< No such pool or service.
    unknown_team, ///< No such team.
    unknown_job, ///< No job is known by that key.
    key_conflict, ///< The key was used before with another body.
    key_expired, ///< The key was minted longer ago than keys are remembered.
    unplaceable, ///< No host of the pool could ever hold the job.
    quota_exceeded, ///< The team is over its quota.
    queue_full, ///< The pool's queue is at its limit.
    deadline_unreachable, ///< The job could not be done before its deadline.
    deadline_passed, ///< The job's deadline passed before it was started.
    cancelled, ///< The caller cancelled the job before it started.
    stopped, ///< The caller cancelled the job while it ran, and it was stopped.
    too_late, ///< A cancellation came after the job's answer.
    job_failed, ///< The job ran and failed.
    worker_unavailable, ///< No endpoint accepted the job, and none started it.
    outcome_unknown, ///< The job may or may not have run.
    authority_lapsed, ///< This process may not start non-idempotent work at present.
    home_unreachable, ///< Nobody who may decide about the key can be reached.
    shutting_down, ///< The process is stopping.
    log_unavailable, ///< The platform's log service cannot be reached or did not answer.
    log_trimmed, ///< The log no longer holds the records that were asked for.
    revision_conflict, ///< Another revision was accepted after the one that this was based on.
    revision_rejected, ///< The revision as a whole cannot be kept.
    budget_exceeded, ///< The availability budget does not allow the step.
    stale_epoch, ///< The order carries an older epoch than the one in force.
    not_holder, ///< This process does not hold the control role.
    malformed_message, ///< A peer message, log record or worker answer could not be decoded.
    unauthorised, ///< The sender did not prove that it belongs to the deployment.
    peer_unreachable, ///< A peer did not answer.
    internal, ///< A defect of this program.
};

/// \brief Number of error kinds.
inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(error_kind::internal) + 1;

/// \brief What is known about whether the job ran.
enum class run_state {
    not_run, ///< It did not run and will not run for this request.
    ran, ///< It ran.
    unknown, ///< It may have run.
};

/// \brief How one error kind is answered.
struct error_answer
{
    error_kind kind; ///< The kind.
    std::string_view name; ///< Name on the wire and in logs.
    int httpStatus; ///< Status of the HTTP answer.
    run_state ran; ///< What the caller may conclude.
    std::chrono::seconds retryAfter; ///< When to come back; zero says that a repeat cannot help.
    std::string_view meaning; ///< One sentence for callers.
};

/// \brief Answers of all error kinds, in the order of the enumeration.
auto errorTable() -> std::span<const error_answer, errorKindCount>;

/// \brief Row of errorTable() for \p kind.
auto answerOf(error_kind kind) -> const error_answer &;

/// \brief Kind with the wire name \p name, if there is one.
auto errorKindNamed(std::string_view name) -> std::optional<error_kind>;

/// \brief Wire name of \p state.
auto nameOf(run_state state) -> std::string_view;

/// \brief One failure: its kind, the evidence, and a better estimate of when to come back than the table's.
struct error
{
    error_kind kind = error_kind::internal; ///< What went wrong.
    std::string detail; ///< Evidence for people; never parsed.
    std::optional<core::duration> retryAfter; ///< Overrides the table when set.
};

/// \brief A value, or the error that stands in its place.
template <class value_type>
using result = tl::expected<value_type, error>;

/// \brief Shorthand for a failed result.
inline auto failure(error_kind kind, std::string detail = {}) -> tl::unexpected<error>
{
    return tl::make_unexpected(error{kind, std::move(detail), std::nullopt});
}

/// \brief When the caller should come back after \p problem; zero if never.
auto retryAfterOf(const error &problem) -> core::duration;
} // namespace poplarpass::core
