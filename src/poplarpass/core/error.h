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
/// \brief Closed list of error kinds; the table in error.cpp maps each kind to its HTTP response.
enum class error_kind {
    invalid_request, ///< Malformed or contradictory input.
    payload_too_large, ///< Input larger than the permitted limit.
    request_timeout, ///< The caller did not complete its request in time.
    overloaded, ///< The host holds too much for its callers already.
    unknown_pool, ///< No such pool or service.
    unknown_team, ///< No such team.
    unknown_job, ///< No job exists for the key.
    key_conflict, ///< The key was used before with another body.
    key_expired, ///< The key is older than the retention period of keys.
    unplaceable, ///< No host of the pool is large enough for the job.
    quota_exceeded, ///< The team is over its quota.
    queue_full, ///< The pool's queue is at its limit.
    deadline_unreachable, ///< The job could not be completed before its deadline.
    deadline_passed, ///< The job's deadline passed before it was started.
    cancelled, ///< The caller cancelled the job before it started.
    stopped, ///< The caller cancelled the job while it ran, and it was stopped.
    too_late, ///< A cancellation arrived after the job had been answered.
    job_failed, ///< The job ran and failed.
    worker_unavailable, ///< No endpoint accepted the job, and none started it.
    outcome_unknown, ///< The job may or may not have run.
    authority_lapsed, ///< The authority of this process to start non-idempotent work has lapsed.
    home_unreachable, ///< No member that may decide about the key can be reached.
    shutting_down, ///< The process is stopping.
    log_unavailable, ///< The platform's log service is unreachable or did not answer.
    log_trimmed, ///< The requested records have been trimmed from the log.
    revision_conflict, ///< Another revision was accepted after the base revision of this one.
    revision_rejected, ///< The revision failed validation.
    budget_exceeded, ///< The availability budget does not permit the operation.
    stale_epoch, ///< The order carries an older epoch than the one in force.
    not_holder, ///< This process does not hold the control role.
    malformed_message, ///< A peer message, log record or worker answer could not be decoded.
    unauthorised, ///< The sender did not prove that it belongs to the deployment.
    peer_unreachable, ///< A peer did not answer.
    internal, ///< A defect of this program.
};

inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(error_kind::internal) + 1;

/// \brief Whether the job is known to have run.
enum class run_state {
    not_run, ///< It did not run and will not run for this request.
    ran, ///< It ran.
    unknown, ///< It may have run.
};

/// \brief HTTP response and caller guidance for one error kind.
struct error_spec
{
    error_kind kind; ///< Error kind.
    std::string_view name; ///< Name on the wire and in logs.
    int httpStatus; ///< HTTP status code.
    run_state ran; ///< Whether the caller may conclude that the job ran.
    std::chrono::seconds retryAfter; ///< Retry delay; zero if a retry cannot succeed.
    std::string_view meaning; ///< One-sentence description for callers.
};

/// \brief Returns the table of all error kinds, in the order of the enumeration.
auto errorTable() -> std::span<const error_spec, errorKindCount>;

/// \brief Returns the row of errorTable() for \p kind.
auto errorSpecOf(error_kind kind) -> const error_spec &;

/// \brief Returns the kind with the wire name \p name; none if there is no such kind.
auto errorKindFromName(std::string_view name) -> std::optional<error_kind>;

/// \brief Returns the wire name of \p state.
auto nameOf(run_state state) -> std::string_view;

/// \brief Error with details and an optional retry delay.
struct error
{
    error_kind kind = error_kind::internal; ///< Error kind.
    std::string detail; ///< Details for people; never parsed.
    std::optional<core::duration> retryAfter; ///< Overrides the retry delay of errorTable() when set.
};

/// \brief Value or error.
template <class value_type>
using result = tl::expected<value_type, error>;

/// \brief Returns a failed result.
inline auto failure(error_kind kind, std::string detail = {}) -> tl::unexpected<error>
{
    return tl::make_unexpected(error{kind, std::move(detail), std::nullopt});
}

/// \brief Returns the delay before the caller should retry after \p problem; zero if a retry cannot succeed.
auto retryAfterOf(const error &problem) -> core::duration;
} // namespace poplarpass::core
