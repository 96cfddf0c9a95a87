#include <poplarpass/core/error.h>

#include <algorithm>

namespace poplarpass::core
{
namespace
{
using std::chrono::seconds;

constexpr auto notRun = run_state::not_run;
constexpr auto ran = run_state::ran;
constexpr auto unknown = run_state::unknown;

// A kind has run_state::not_run only if the code that raises it has proof that no endpoint started the job.
constexpr std::array<error_spec, errorKindCount> errorSpecs{{
    {error_kind::invalid_request, "invalid_request", 400, notRun, seconds{0}, "The request is malformed."},
    {error_kind::payload_too_large, "payload_too_large", 413, notRun, seconds{0}, "The request is too large."},
    {error_kind::request_timeout, "request_timeout", 408, notRun, seconds{1}, "The request was not sent in time."},
    {error_kind::overloaded, "overloaded", 503, notRun, seconds{1}, "The host holds too many requests."},
    {error_kind::unknown_pool, "unknown_pool", 404, notRun, seconds{0}, "There is no such pool or service."},
    {error_kind::unknown_team, "unknown_team", 403, notRun, seconds{0}, "There is no such team."},
    {error_kind::unknown_job, "unknown_job", 404, unknown, seconds{0}, "No job is known by this key."},
    {error_kind::key_conflict, "key_conflict", 409, unknown, seconds{0}, "The key was used with another request."},
    {error_kind::key_expired, "key_expired", 410, unknown, seconds{0}, "The key is older than keys are remembered."},
    {error_kind::unplaceable, "unplaceable", 422, notRun, seconds{0}, "No host of the pool can hold the job."},
    {error_kind::quota_exceeded, "quota_exceeded", 429, notRun, seconds{2}, "The team is over its quota."},
    {error_kind::queue_full, "queue_full", 503, notRun, seconds{2}, "The pool's queue is full."},
    {error_kind::deadline_unreachable, "deadline_unreachable", 503, notRun, seconds{5},
     "The job cannot be done before its deadline."},
    {error_kind::deadline_passed, "deadline_passed", 504, notRun, seconds{1}, "The deadline passed before a start."},
    {error_kind::cancelled, "cancelled", 409, notRun, seconds{0}, "The job was cancelled before it started."},
    {error_kind::stopped, "stopped", 409, ran, seconds{0}, "The job was stopped while it ran."},
    {error_kind::too_late, "too_late", 409, ran, seconds{0}, "The job had been answered before the cancellation."},
    {error_kind::job_failed, "job_failed", 502, ran, seconds{0}, "The job ran and failed."},
    {error_kind::worker_unavailable, "worker_unavailable", 503, notRun, seconds{1}, "No endpoint took the job."},
    {error_kind::outcome_unknown, "outcome_unknown", 504, unknown, seconds{5}, "The job may have run."},
    {error_kind::authority_lapsed, "authority_lapsed", 503, unknown, seconds{3},
     "This host may not start such work at present."},
    {error_kind::home_unreachable, "home_unreachable", 503, unknown, seconds{5},
     "Nobody who decides about this key can be reached."},
    {error_kind::shutting_down, "shutting_down", 503, notRun, seconds{1}, "This host is stopping."},
    {error_kind::log_unavailable, "log_unavailable", 503, unknown, seconds{5}, "The log service did not answer."},
    {error_kind::log_trimmed, "log_trimmed", 500, unknown, seconds{0}, "The log no longer holds these records."},
    {error_kind::revision_conflict, "revision_conflict", 409, notRun, seconds{0},
     "Another revision was accepted first."},
    {error_kind::revision_rejected, "revision_rejected", 422, notRun, seconds{0}, "The revision cannot be kept."},
    {error_kind::budget_exceeded, "budget_exceeded", 409, notRun, seconds{30},
     "The availability budget does not allow this."},
    {error_kind::stale_epoch, "stale_epoch", 409, notRun, seconds{1}, "The order is from an older epoch."},
    {error_kind::not_holder, "not_holder", 503, notRun, seconds{1}, "This host does not hold the control role."},
    {error_kind::malformed_message, "malformed_message", 502, unknown, seconds{0}, "A message could not be read."},
    {error_kind::unauthorised, "unauthorised", 401, notRun, seconds{0}, "The sender is not known."},
    {error_kind::peer_unreachable, "peer_unreachable", 503, unknown, seconds{1}, "A peer did not answer."},
    {error_kind::internal, "internal", 500, unknown, seconds{0}, "A defect of this program."},
}};

constexpr auto isInEnumerationOrder() -> bool
{
    for (std::size_t index = 0; index < errorSpecs.size(); ++index) {
        if (static_cast<std::size_t>(errorSpecs[index].kind) != index) {
            return false;
        }
    }
    return true;
}
static_assert(isInEnumerationOrder());
} // namespace

auto errorTable() -> std::span<const error_spec, errorKindCount>
{
    return errorSpecs;
}

auto errorSpecOf(error_kind kind) -> const error_spec &
{
    return errorSpecs[static_cast<std::size_t>(kind)];
}

auto errorKindFromName(std::string_view name) -> std::optional<error_kind>
{
    const auto *const found = std::ranges::find(errorSpecs, name, &error_spec::name);
    if (found == errorSpecs.end()) {
        return std::nullopt;
    }
    return found->kind;
}

auto nameOf(run_state state) -> std::string_view
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

auto retryAfterOf(const error &problem) -> core::duration
{
    return problem.retryAfter.value_or(errorSpecOf(problem.kind).retryAfter);
}
} // namespace poplarpass::core
