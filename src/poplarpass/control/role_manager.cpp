#include <poplarpass/control/constants.h>
#include <poplarpass/control/role_manager.h>
#include <poplarpass/core/rendezvous.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace poplarpass::control
{
// At most one process acts as the holder. A renewal takes effect in the log no earlier than it was sent, and a standby
// reads it no earlier than it took effect. The standby sends its claim at least claimAfter after that read, and the
// replicated state rejects the claim if another renewal precedes it. An accepted claim is therefore sent more than
// roleLeaseDuration after the last accepted renewal; the difference of the two constants covers clocks that run at
// different rates.

role_manager::role_manager(core::member_id self, std::uint64_t incarnation)
    : m_self{std::move(self)}
    , m_incarnation{incarnation}
{
    assert(!m_self.empty());
}

auto role_manager::onApplied(const core::record_id &id, const replication::control_state &control,
                             core::monotonic_time now) -> void
{
    const bool epochChanged = control.epoch != m_control.epoch;
    const bool renewed = epochChanged || control.lastRenewal != m_control.lastRenewal;
    m_control = control;
    if (epochChanged) {
        m_leaseExpiry.reset();
    }
    const auto isThis = [&id](const sent_record &sent) {
        return sent.id == id;
    };
    if (renewed) {
        m_lastRenewalRead = now;
        const auto renewal = std::ranges::find_if(m_renewals, isThis);
        const bool isOwnClaim = m_claim && isThis(*m_claim);
        if (isHolder() && (isOwnClaim || renewal != m_renewals.end())) {
            const auto sent = isOwnClaim ? m_claim->firstSent : renewal->firstSent;
            m_leaseExpiry = std::max(m_leaseExpiry.value_or(sent + roleLeaseDuration), sent + roleLeaseDuration);
        }
        m_claim.reset();
    }
    if (m_claim && isThis(*m_claim)) {
        m_claim.reset();
    }
    std::erase_if(m_renewals, isThis);
    if (epochChanged) {
        m_renewals.clear();
    }
}

auto role_manager::onRejoined(std::uint64_t incarnation) -> void
{
    assert(incarnation >= m_incarnation);
    m_incarnation = incarnation;
    m_claim.reset();
}

auto role_manager::onReadToEnd(core::monotonic_time readStart) -> void
{
    m_readStart = std::max(m_readStart.value_or(readStart), readStart);
    if (!m_lastRenewalRead) {
        m_lastRenewalRead = readStart;
    }
}

auto role_manager::onAppendAnswered(const core::record_id &id, bool succeeded) -> void
{
    if (m_claim && m_claim->id == id) {
        m_claim->inFlight = false;
    }
    const auto renewal = std::ranges::find(m_renewals, id, &sent_record::id);
    if (renewal == m_renewals.end()) {
        return;
    }
    renewal->inFlight = false;
    if (!succeeded) {
        m_lastSend.reset();
    }
}

auto role_manager::next(std::span<const core::member_id> candidates, core::monotonic_time now)
    -> std::optional<append_request>
{
    return isHolder() ? renewal(now) : claim(candidates, now);
}

auto role_manager::mayAct(core::monotonic_time now) const -> bool
{
    return isHolder() && m_leaseExpiry && now < *m_leaseExpiry;
}

auto role_manager::isHolder() const -> bool
{
    return m_control.holder == m_self && m_control.incarnation == m_incarnation && m_control.epoch > 0;
}

auto role_manager::epoch() const -> std::uint64_t
{
    return m_control.epoch;
}

// A renewal whose answer was lost is followed by one with a new id: a retry with the same id would keep the old send
// time. A late duplicate only advances lastRenewal while the epoch is current, and is rejected after that.
auto role_manager::renewal(core::monotonic_time now) -> std::optional<append_request>
{
    std::erase_if(m_renewals, [now](const sent_record &sent) { return now - sent.firstSent >= roleLeaseDuration; });
    const bool anyInFlight = std::ranges::any_of(m_renewals, &sent_record::inFlight);
    const bool due = !m_lastSend || now - *m_lastSend >= renewInterval;
    const bool retryTooEarly = !m_renewals.empty() && now - m_renewals.back().firstSent < appendRetryInterval;
    if (!due || retryTooEarly || (anyInFlight && m_renewals.size() > 1)) {
        return std::nullopt;
    }
    auto request = send(replication::control_renew_record{m_control.epoch});
    m_renewals.push_back({request.id, request.change, now, now, true});
    m_lastSend = now;
    return request;
}

auto role_manager::claim(std::span<const core::member_id> candidates, core::monotonic_time now)
    -> std::optional<append_request>
{
    if (m_claim) {
        return repeatClaim(now);
    }
    const bool tooEarly = m_lastSend && now - *m_lastSend < appendRetryInterval;
    if (tooEarly || !claimDue(candidates)) {
        return std::nullopt;
    }
    const replication::control_claim_record change{m_self, m_incarnation, m_control.epoch + 1, m_control.lastRenewal};
    auto request = send(change);
    m_claim = sent_record{request.id, request.change, now, now, true};
    m_lastSend = now;
    return request;
}

auto role_manager::send(replication::record change) -> append_request
{
    const auto id = m_self.str() + "/" + std::to_string(m_incarnation) + "/role/" + std::to_string(++m_sequence);
    return {core::record_id{id}, std::move(change)};
}

auto role_manager::repeatClaim(core::monotonic_time now) -> std::optional<append_request>
{
    if (m_claim->inFlight || now - m_claim->lastSent < appendRetryInterval) {
        return std::nullopt;
    }
    m_claim->lastSent = now;
    m_claim->inFlight = true;
    return append_request{m_claim->id, m_claim->change};
}

// The read must start after the wait: a process suspended during the wait may have missed renewals.
auto role_manager::claimDue(std::span<const core::member_id> candidates) const -> bool
{
    if (!m_lastRenewalRead || !m_readStart) {
        return false;
    }
    const auto wait = m_control.epoch == 0 ? core::duration::zero() : claimAfter;
    const auto rank = std::min(rankAmong(candidates), claimMaxRank);
    return *m_readStart >= *m_lastRenewalRead + wait + claimRankDelay * static_cast<int>(rank);
}

auto role_manager::rankAmong(std::span<const core::member_id> candidates) const -> std::size_t
{
    const auto order = core::rendezvousOrder(std::to_string(m_control.epoch), candidates);
    std::size_t rank = 0;
    for (const auto &candidate : order) {
        if (candidate == m_self) {
            break;
        }
        if (candidate != m_control.holder) {
            ++rank;
        }
    }
    return rank;
}
} // namespace poplarpass::control
