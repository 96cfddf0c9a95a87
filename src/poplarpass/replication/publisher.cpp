#include <poplarpass/replication/publisher.h>

#include <cassert>
#include <utility>

namespace poplarpass::replication
{
namespace
{
auto revisionConflict(const fleet_state &state, std::uint64_t basedOn) -> std::optional<core::error>
{
    if (state.revision() <= basedOn) {
        return std::nullopt;
    }
    return core::error{core::error_kind::revision_conflict,
                       "based on revision " + std::to_string(basedOn) + ", in force is "
                           + std::to_string(state.revision()),
                       {}};
}

auto staleEpoch(const fleet_state &state, std::uint64_t epoch) -> std::optional<core::error>
{
    if (state.control().epoch <= epoch) {
        return std::nullopt;
    }
    return core::error{
        core::error_kind::stale_epoch, "control epoch in force is " + std::to_string(state.control().epoch), {}};
}

auto staleClaim(const fleet_state &state, const control_claim_record &claim) -> std::optional<core::error>
{
    const auto &control = state.control();
    if (control.epoch < claim.epoch && control.lastRenewal <= claim.lastRenewal) {
        return std::nullopt;
    }
    return core::error{core::error_kind::stale_epoch, control.holder.str() + " holds the control role", {}};
}
} // namespace

auto supersededCheckOf(const record &change) -> superseded_check
{
    if (const auto *revision = std::get_if<config_record>(&change)) {
        return [basedOn = revision->basedOn](const fleet_state &state) {
            return revisionConflict(state, basedOn);
        };
    }
    if (const auto *claim = std::get_if<control_claim_record>(&change)) {
        return [claim = *claim](const fleet_state &state) {
            return staleClaim(state, claim);
        };
    }
    if (const auto *renewal = std::get_if<control_renew_record>(&change)) {
        return [epoch = renewal->epoch](const fleet_state &state) {
            return staleEpoch(state, epoch);
        };
    }
    if (const auto *host = std::get_if<host_record>(&change)) {
        return [epoch = host->controlEpoch](const fleet_state &state) {
            return staleEpoch(state, epoch);
        };
    }
    return {};
}

publisher::publisher(core::record_id id, publish_options options, core::monotonic_time now)
    : m_id{std::move(id)}
    , m_options{std::move(options)}
    , m_startedAt{now}
{
}

auto publisher::id() const -> const core::record_id &
{
    return m_id;
}

auto publisher::shouldAppend(core::monotonic_time now) const -> bool
{
    if (m_outcome || m_inFlight || m_appendedAt || now >= m_options.deadline) {
        return false;
    }
    if (!m_sent) {
        return m_caughtUpSinceStart || !m_options.readFirst;
    }
    return !m_replacedAfterSend && m_caughtUpSinceFailure && m_failedAt && now - *m_failedAt >= resendDelay;
}

auto publisher::appendSent() -> void
{
    assert(!m_inFlight);
    m_sent = true;
    m_inFlight = true;
}

auto publisher::appendCompleted(const core::result<log_offset> &answer, core::monotonic_time now) -> void
{
    m_inFlight = false;
    if (answer) {
        m_appendedAt = *answer;
        return;
    }
    m_failedAt = now;
    m_caughtUpSinceFailure = false;
}

auto publisher::recordApplied(log_offset offset, const core::record_id &id, const applied &outcome) -> void
{
    // Duplicates are ignored: the first occurrence counts, and was passed here before or is found by checkReadBack().
    if (id != m_id || outcome.duplicate) {
        return;
    }
    finish(outcome.accepted ? publish_result::accepted : publish_result::refused, offset, outcome.refusal);
}

auto publisher::stateReplaced(const fleet_state &state) -> void
{
    // The skipped records may include this one: from now on only its id in the state proves the outcome.
    m_replacedAfterSend = m_replacedAfterSend || m_sent;
    checkReadBack(state);
}

auto publisher::observe(const log_follower &follower) -> void
{
    if (m_outcome || !follower.hasState()) {
        return;
    }
    checkReadBack(follower.state());
    const auto latestCatchUp = follower.caughtUpAt();
    m_caughtUpSinceStart = m_caughtUpSinceStart || (latestCatchUp && *latestCatchUp >= m_startedAt);
    m_caughtUpSinceFailure = m_caughtUpSinceFailure || (m_failedAt && latestCatchUp && *latestCatchUp > *m_failedAt);
    if (m_outcome || m_replacedAfterSend || !m_options.superseded) {
        return;
    }
    if (auto problem = m_options.superseded(follower.state())) {
        finish(publish_result::refused, 0, std::move(problem));
    }
}

auto publisher::tick(core::monotonic_time now) -> void
{
    if (m_outcome || now < m_options.deadline) {
        return;
    }
    if (!m_sent) {
        finish(publish_result::not_accepted, 0,
               core::error{
                   core::error_kind::log_unavailable, "log not read before the deadline; the record was not sent", {}});
        return;
    }
    finish(publish_result::unknown, 0,
           core::error{core::error_kind::log_unavailable,
                       "record " + m_id.str()
                           + " was sent but not read back before the deadline; it may still be accepted",
                       {}});
}

auto publisher::outcome() const -> const std::optional<publish_outcome> &
{
    return m_outcome;
}

auto publisher::finish(publish_result result, log_offset offset, std::optional<core::error> problem) -> void
{
    if (!m_outcome) {
        m_outcome = publish_outcome{result, offset, std::move(problem)};
    }
}

auto publisher::checkReadBack(const fleet_state &state) -> void
{
    const auto *seen = m_sent ? state.findRecord(m_id) : nullptr;
    if (seen != nullptr && seen->accepted) {
        finish(publish_result::accepted, seen->offset, std::nullopt);
    } else if (seen != nullptr) {
        finish(publish_result::refused, seen->offset,
               core::error{core::error_kind::internal, "record refused at offset " + std::to_string(seen->offset), {}});
    } else if (m_appendedAt && state.offset() >= *m_appendedAt && !m_replacedAfterSend) {
        finish(publish_result::refused, *m_appendedAt,
               core::error{core::error_kind::malformed_message, "record skipped as undecodable", {}});
    }
}

auto nameOf(publish_result result) -> std::string_view
{
    switch (result) {
    case publish_result::accepted:
        return "accepted";
    case publish_result::refused:
        return "refused";
    case publish_result::not_accepted:
        return "not_accepted";
    case publish_result::unknown:
        return "unknown";
    }
    return "unknown";
}
} // namespace poplarpass::replication
