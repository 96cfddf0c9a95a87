#include <poplarpass/request/authority.h>
#include <poplarpass/request/constants.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace poplarpass::request
{
namespace
{
constexpr std::size_t maxStoredPings = 64;

auto isFresh(const std::optional<core::monotonic_time> &event, core::monotonic_time now) -> bool
{
    return event && now - *event < freshnessTerm;
}

auto removesMembers(const std::vector<member_ref> &before, const membership &next) -> bool
{
    return std::ranges::any_of(before, [&next](const member_ref &member) { return !contains(next, member); });
}

auto hasName(const membership &list, const core::member_id &name) -> bool
{
    return std::ranges::find(list.members, name, &member_ref::member) != list.members.end();
}
} // namespace

auto contains(const membership &list, const member_ref &member) -> bool
{
    return std::ranges::find(list.members, member) != list.members.end();
}

authority::authority(member_ref self)
    : m_self{std::move(self)}
{
}

// A process that starts during a removal must verify by itself that the removed members have stopped.
auto authority::foldMembership(const membership &next, instant at) -> void
{
    assert(next.epoch > foldedEpoch());
    pending_membership pending{next, {}, std::nullopt};
    if (foldedEpoch() == 0) {
        pending.removals = next.unsettled;
        std::ranges::copy_if(next.losses, std::back_inserter(m_losses), [&next](const auto &loss) {
            return std::ranges::find(next.unsettled, loss.epoch, &unsettled_removal::epoch) == next.unsettled.end();
        });
    } else if (removesMembers(newestMembership().members, next)) {
        pending.removals.push_back({next.epoch, newestMembership().members});
    }
    m_pending.push_back(std::move(pending));
    advance(at);
}

auto authority::foldSettled(std::uint64_t epoch) -> void
{
    const auto settle = [epoch](membership &list) {
        std::erase_if(list.unsettled, [epoch](const auto &removal) { return removal.epoch <= epoch; });
    };
    settle(m_active);
    for (auto &pending : m_pending) {
        settle(pending.list);
        std::erase_if(pending.removals, [epoch](const auto &removal) { return removal.epoch <= epoch; });
    }
}

auto authority::epochToSettle() const -> std::optional<std::uint64_t>
{
    return m_active.unsettled.empty() ? std::nullopt : std::optional{m_active.epoch};
}

auto authority::logReadToEnd(core::monotonic_time startedAt) -> void
{
    if (!m_logReadAt || *m_logReadAt < startedAt) {
        m_logReadAt = startedAt;
    }
}

auto authority::pingSent(const core::member_id &to, std::uint64_t sequence, core::monotonic_time at) -> void
{
    auto &pings = m_peers[to].pings;
    pings[sequence] = at;
    if (pings.size() > maxStoredPings) {
        pings.erase(pings.begin());
    }
}

// The echo proves that the heartbeat was written after the echoed one was sent, so its age is measured from that time:
// an answer that was buffered while this process was suspended is no evidence of the present state.
auto authority::heartbeatReceived(const heartbeat &beat, instant at) -> void
{
    auto &peer = m_peers[beat.from.member];
    if (peer.incarnation != beat.from.incarnation) {
        auto pings = std::move(peer.pings);
        peer = peer_state{};
        peer.incarnation = beat.from.incarnation;
        peer.pings = std::move(pings);
    }
    peer.foldedEpoch = std::max(peer.foldedEpoch, beat.epoch);
    peer.actingEpoch = std::max(peer.actingEpoch, beat.actingEpoch);
    if (!peer.actsSince && peer.actingEpoch >= m_active.epoch && m_active.epoch > 0) {
        peer.actsSince = at.wall;
    }
    const auto ping = peer.pings.find(beat.echo);
    if (beat.echoIncarnation != m_self.incarnation || ping == peer.pings.end()) {
        return;
    }
    if (beat.epoch < peer.freshEpoch) {
        return;
    }
    if (beat.epoch > peer.freshEpoch || !peer.freshAt || *peer.freshAt < ping->second) {
        peer.freshEpoch = beat.epoch;
        peer.freshAt = ping->second;
    }
}

auto authority::connectionRefused(const core::member_id &member, core::monotonic_time triedAt) -> void
{
    m_peers[member].refusedAt = triedAt;
}

auto authority::memberLeft(const member_ref &member) -> void
{
    if (!hasAnnouncedStop(member)) {
        m_stopped.push_back(member);
    }
}

auto authority::advance(instant at) -> bool
{
    bool changed = false;
    while (!m_pending.empty() && isDue(m_pending.front(), at.now)) {
        activate(m_pending.front().list, at.wall);
        m_pending.pop_front();
        changed = true;
    }
    return changed;
}

auto authority::mayAct(core::monotonic_time now) const -> bool
{
    if (!contains(m_active, m_self) || !contains(newestMembership(), m_self)) {
        return false;
    }
    return logFresh(now) || peersFresh(now);
}

auto authority::mayGrantWithoutClaim(core::monotonic_time now) const -> bool
{
    return mayAct(now) && establishedAt().has_value();
}

auto authority::logFresh(core::monotonic_time now) const -> bool
{
    return isFresh(m_logReadAt, now);
}

// More than half must answer: a list that removes this process becomes active elsewhere only after half of the members
// of the previous list have folded it, so at least one of the answers would have contained the newer epoch.
auto authority::peersFresh(core::monotonic_time now) const -> bool
{
    const auto &members = newestMembership().members;
    std::size_t answered = 0;
    for (const auto &member : members) {
        if (member == m_self || answeredRecently(member, now)) {
            ++answered;
        } else if (!isKnownStopped(member, now)) {
            return false;
        }
    }
    return answered >= 2 && 2 * answered > members.size();
}

auto authority::activeMembership() const -> const membership &
{
    return m_active;
}

auto authority::newestMembership() const -> const membership &
{
    return m_pending.empty() ? m_active : m_pending.back().list;
}

auto authority::foldedEpoch() const -> std::uint64_t
{
    return newestMembership().epoch;
}

auto authority::self() const -> const member_ref &
{
    return m_self;
}

auto authority::activeMember(const core::member_id &member) const -> std::optional<member_ref>
{
    const auto found = std::ranges::find(m_active.members, member, &member_ref::member);
    if (found == m_active.members.end()) {
        return std::nullopt;
    }
    return *found;
}

auto authority::actsSince(const core::member_id &member) const -> std::optional<core::wall_time>
{
    const auto peer = m_peers.find(member);
    const auto listed = activeMember(member);
    if (peer == m_peers.end() || !listed) {
        return std::nullopt;
    }
    if (*listed != m_self && listed->incarnation != peer->second.incarnation) {
        return std::nullopt;
    }
    return peer->second.actsSince;
}

auto authority::establishedAt() const -> std::optional<core::wall_time>
{
    core::wall_time latest{};
    for (const auto &member : m_active.members) {
        const auto since = actsSince(member.member);
        if (!since) {
            return std::nullopt;
        }
        latest = std::max(latest, *since);
    }
    return latest;
}

// Two processes have a record of every dispatched key, except for periods with a single member.
auto authority::recordCoverageOf(core::wall_time minted) const -> record_coverage
{
    const auto from = minted - mintMargin;
    const auto lost = std::ranges::count_if(m_losses, [from](const auto &loss) { return loss.at >= from; });
    if (lost == 0) {
        return record_coverage::complete;
    }
    return lost == 1 && m_active.singleMemberUntil < from - freshnessTerm ? record_coverage::one_copy_left
                                                                          : record_coverage::incomplete;
}

auto authority::activate(const membership &list, core::wall_time wall) -> void
{
    recordLosses(list, wall);
    m_active = list;
    for (auto &[name, peer] : m_peers) {
        peer.actsSince.reset();
        if (peer.actingEpoch >= list.epoch) {
            peer.actsSince = wall;
        }
    }
    m_peers[m_self.member].actsSince = wall;
}

// A removed member may have acted until the removal became active, long after the log record of it, and its key records
// up to that time are lost with it.
auto authority::recordLosses(const membership &list, core::wall_time wall) -> void
{
    for (auto loss : list.losses) {
        const bool recorded = std::ranges::find(m_losses, loss.member, &member_loss::member) != m_losses.end();
        if (recorded) {
            continue;
        }
        loss.at = std::max(loss.at, wall);
        m_losses.push_back(std::move(loss));
    }
    std::erase_if(m_losses, [wall](const auto &loss) { return loss.at + keyRetention + mintMargin < wall; });
}

auto authority::isDue(pending_membership &pending, core::monotonic_time now) -> bool
{
    if (pending.removals.empty() || isActiveAtPeer(pending.list.epoch)) {
        return true;
    }
    const auto excluded = [this, now](const unsettled_removal &removal) {
        return isExcluded(removal, now);
    };
    if (!pending.excludedAt && std::ranges::all_of(pending.removals, excluded)) {
        pending.excludedAt = now;
    }
    return pending.excludedAt && now - *pending.excludedAt >= removalDelay;
}

// Enough members of the previous list must have folded the removal that the others cannot be fresh through peers alone.
auto authority::isExcluded(const unsettled_removal &removal, core::monotonic_time now) const -> bool
{
    if (removal.before.size() < 2) {
        return true;
    }
    const auto stopped = std::ranges::count_if(removal.before, [&](const member_ref &member) {
        return hasFolded(member, removal.epoch) || isKnownStopped(member, now);
    });
    return 2 * static_cast<std::size_t>(stopped) >= removal.before.size();
}

// A replacement with the same name has bound the address of its predecessor, so the predecessor has stopped.
auto authority::hasFolded(const member_ref &member, std::uint64_t epoch) const -> bool
{
    if (member == m_self) {
        return true;
    }
    if (!contains(newestMembership(), member) && hasName(newestMembership(), member.member)) {
        return true;
    }
    const auto peer = m_peers.find(member.member);
    return peer != m_peers.end() && peer->second.incarnation == member.incarnation && peer->second.foldedEpoch >= epoch;
}

// A member with this active epoch has already waited for removalDelay.
auto authority::isActiveAtPeer(std::uint64_t epoch) const -> bool
{
    return std::ranges::any_of(m_peers, [this, epoch](const auto &entry) {
        const auto &[name, peer] = entry;
        return name != m_self.member && peer.actingEpoch >= epoch;
    });
}

auto authority::hasAnnouncedStop(const member_ref &member) const -> bool
{
    return std::ranges::find(m_stopped, member) != m_stopped.end();
}

auto authority::answeredRecently(const member_ref &member, core::monotonic_time now) const -> bool
{
    const auto peer = m_peers.find(member.member);
    return peer != m_peers.end() && peer->second.incarnation == member.incarnation
        && peer->second.freshEpoch == foldedEpoch() && isFresh(peer->second.freshAt, now);
}

auto authority::isKnownStopped(const member_ref &member, core::monotonic_time now) const -> bool
{
    const auto peer = m_peers.find(member.member);
    return hasAnnouncedStop(member) || (peer != m_peers.end() && isFresh(peer->second.refusedAt, now));
}
} // namespace poplarpass::request
