#include <poplarpass/config/config_check.h>
#include <poplarpass/core/invariant.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/refusal.h>
#include <poplarpass/replication/state_digest.h>

#include <algorithm>

namespace poplarpass::replication
{
using core::error_kind;
using internal::accepted;
using internal::refused;

auto fleet_state::applyChange(log_offset offset, const config_record &change) -> applied
{
    if (change.basedOn != m_revision) {
        return refused(error_kind::revision_conflict,
                       "based on revision " + std::to_string(change.basedOn) + ", in force is "
                           + std::to_string(m_revision));
    }
    const auto problems = config::checkRevision(change.config, m_config, m_hosts);
    if (!problems.empty()) {
        return refused(error_kind::revision_rejected, config::textOf(problems));
    }
    core::requireInvariant(offset > m_revision, core::invariant_kind::configuration_never_reverts, [&] {
        return "revision " + std::to_string(offset) + " is not newer than " + std::to_string(m_revision);
    });
    m_config = change.config;
    m_configText = change.text;
    m_revision = offset;
    m_configDigest = internal::digestOf(m_config, m_configText, m_revision);
    return accepted();
}

auto fleet_state::applyChange(log_offset offset, const member_join_record &change) -> applied
{
    if (change.member.empty()) {
        return refused(error_kind::invalid_request, "a member needs a name");
    }
    const auto nameOf = [](const member_state &member) -> const core::member_id & {
        return member.joined.member;
    };
    auto position = std::ranges::lower_bound(m_members, change.member, {}, nameOf);
    const bool present = position != m_members.end() && position->joined.member == change.member;
    if (present && change.incarnation <= position->joined.incarnation) {
        return refused(error_kind::stale_epoch,
                       change.member.str() + " has joined with incarnation "
                           + std::to_string(position->joined.incarnation));
    }
    const auto before = entryIncarnations();
    if (present) {
        *position = {change, offset};
    } else {
        m_members.insert(position, {change, offset});
    }
    recordMemberChange(offset, before, true, change.atUnixMs);
    return accepted();
}

auto fleet_state::entryIncarnations() const -> std::vector<entry_incarnation>
{
    std::vector<entry_incarnation> incarnations;
    for (const auto &member : m_members) {
        if (member.joined.kind == member_kind::entry) {
            incarnations.push_back({member.joined.member, member.joined.incarnation});
        }
    }
    return incarnations;
}

auto fleet_state::recordMemberChange(log_offset offset, std::span<const entry_incarnation> before, bool lost,
                                     std::uint64_t atUnixMs) -> void
{
    ++m_memberEpoch;
    m_memberDigest = internal::digestOf(std::span<const member_state>{m_members});
    const auto after = entryIncarnations();
    if (!std::ranges::equal(before, after)) {
        m_entries.recordChange(offset, before, after, lost, atUnixMs);
    }
}

auto fleet_state::applyChange(log_offset /*offset*/, const removal_settled_record &change) -> applied
{
    if (!m_entries.settle(change.epoch, change.atUnixMs)) {
        return refused(error_kind::stale_epoch, "settled up to " + std::to_string(m_entries.settledEpoch));
    }
    return accepted();
}

auto fleet_state::applyChange(log_offset offset, const member_leave_record &change) -> applied
{
    if (change.controlEpoch != 0 && change.controlEpoch != m_control.epoch) {
        return refused(error_kind::stale_epoch, "control epoch in force is " + std::to_string(m_control.epoch));
    }
    const auto isLeaving = [&change](const member_state &member) {
        return member.joined.member == change.member && member.joined.incarnation == change.incarnation;
    };
    const auto position = std::ranges::find_if(m_members, isLeaving);
    if (position == m_members.end()) {
        return refused(error_kind::invalid_request, "no member " + change.member.str() + " with this incarnation");
    }
    const auto before = entryIncarnations();
    m_members.erase(position);
    recordMemberChange(offset, before, !change.handedOver, change.atUnixMs);
    return accepted();
}

auto fleet_state::applyChange(log_offset offset, const control_claim_record &change) -> applied
{
    if (change.holder.empty()) {
        return refused(error_kind::invalid_request, "a claim needs a holder");
    }
    if (change.epoch != m_control.epoch + 1) {
        return refused(error_kind::stale_epoch, "control epoch in force is " + std::to_string(m_control.epoch));
    }
    if (change.lastRenewal != m_control.lastRenewal) {
        return refused(error_kind::stale_epoch, "renewed at " + std::to_string(m_control.lastRenewal));
    }
    m_control = {change.holder, change.incarnation, change.epoch, offset};
    return accepted();
}

auto fleet_state::applyChange(log_offset offset, const control_renew_record &change) -> applied
{
    if (change.epoch == 0 || change.epoch != m_control.epoch) {
        return refused(error_kind::stale_epoch, "control epoch in force is " + std::to_string(m_control.epoch));
    }
    m_control.lastRenewal = offset;
    return accepted();
}

// A snapshot repeats the state at its offset. A follower that applied the log compares the digest and ignores the rest.
auto fleet_state::applyChange(log_offset offset, const snapshot_record &change) -> applied
{
    if (change.stateOffset >= offset || change.part >= change.parts) {
        return refused(error_kind::malformed_message, "a snapshot of a later offset or with a part too many");
    }
    return accepted();
}
} // namespace poplarpass::replication
