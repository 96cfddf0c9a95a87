#include <poplarpass/request/authority.h>
#include <poplarpass/request/constants.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace poplarpass::request
{
namespace
{
constexpr std::size_t maxRememberedPings = 64;

auto within(const std::optional<core::monotonic_time> &event, core::monotonic_time now) -> bool
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

// The first list that a process sees is in force at once, unless a member was removed so recently that it may still
// act.
auto authority::foldEpoch(const membership &next, instant at) -> void
{
    assert(next.epoch > foldedEpoch());
    const bool first = foldedEpoch() == 0;
    pending_list pending{next, folded().members, false, at.now, std::nullopt};
    if (first) {
        const auto recent = at.wall - removalDelay - memberClockSkew;
        pending.removes = std::ranges::any_of(next.losses, [recent](const auto &loss) { return loss.at > recent; });
        pending.before.clear();
    } else {
        pending.removes = removesMembers(pending.before, next);
    }
    m_pending.push_back(std::move(pending));
    advance(at);
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
    if (pings.size() > maxRememberedPings) {
        pings.erase(pings.begin());
    }
}

// The echo proves that the heartbeat was written after the ping was sent, so its age counts from that sending: an
// answer that lay in a buffer while this process was frozen proves nothing about the present.
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
    if (!peer.actsSince && peer.actingEpoch >= m_acting.epoch && m_acting.epoch > 0) {
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
    if (!hasLeft(member)) {
        m_left.push_back(member);
    }
}

auto authority::advance(instant at) -> bool
{
    bool changed = false;
    while (!m_pending.empty() && isDue(m_pending.front(), at.now)) {
        putInForce(m_pending.front().list, at.wall);
        m_pending.pop_front();
        changed = true;
    }
    return changed;
}

auto authority::mayAct(core::monotonic_time now) const -> bool
{
    if (!contains(m_acting, m_self) || !contains(folded(), m_self)) {
        return false;
    }
    return logFresh(now) || peersFresh(now);
}

auto authority::mayGrantAlone(core::monotonic_time now) const -> bool
{
    return mayAct(now) && establishedAt().has_value();
}

auto authority::logFresh(core::monotonic_time now) const -> bool
{
    return within(m_logReadAt, now);
}

// More than half must answer: a list that removes this process is put in force elsewhere only after half of the members
// of the list before have folded it, so one of those who answered would have named the newer epoch.
auto authority::peersFresh(core::monotonic_time now) const -> bool
{
    const auto &members = folded().members;
    std::size_t answered = 0;
    for (const auto &member : members) {
        if (member == m_self || answeredLately(member, now)) {
            ++answered;
        } else if (!knownGone(member, now)) {
            return false;
        }
    }
    return answered >= 2 && 2 * answered > members.size();
}

auto authority::acting() const -> const membership &
{
    return m_acting;
}

auto authority::foldedEpoch() const -> std::uint64_t
{
    return folded().epoch;
}

auto authority::self() const -> const member_ref &
{
    return m_self;
}

auto authority::actingMember(const core::member_id &member) const -> std::optional<member_ref>
{
    const auto found = std::ranges::find(m_acting.members, member, &member_ref::member);
    if (found == m_acting.members.end()) {
        return std::nullopt;
    }
    return *found;
}

auto authority::actsSince(const core::member_id &member) const -> std::optional<core::wall_time>
{
    const auto known = m_peers.find(member);
    const auto listed = actingMember(member);
    if (known == m_peers.end() || !listed) {
        return std::nullopt;
    }
    if (*listed != m_self && listed->incarnation != known->second.incarnation) {
        return std::nullopt;
    }
    return known->second.actsSince;
}

auto authority::establishedAt() const -> std::optional<core::wall_time>
{
    core::wall_time latest{};
    for (const auto &member : m_acting.members) {
        const auto since = actsSince(member.member);
        if (!since) {
            return std::nullopt;
        }
        latest = std::max(latest, *since);
    }
    return latest;
}

// Two processes know of every dispatched key, but for the time in which there was only one.
auto authority::knowledgeOf(core::wall_time minted) const -> knowledge
{
    const auto from = minted - mintMargin;
    const auto lost = std::ranges::count_if(m_acting.losses, [from](const auto &loss) { return loss.at >= from; });
    if (lost == 0) {
        return knowledge::complete;
    }
    return lost == 1 && m_acting.aloneUntil < from ? knowledge::held_once : knowledge::lost;
}

auto authority::putInForce(const membership &list, core::wall_time wall) -> void
{
    m_acting = list;
    for (auto &[name, peer] : m_peers) {
        peer.actsSince.reset();
        if (peer.actingEpoch >= list.epoch) {
            peer.actsSince = wall;
        }
    }
    m_peers[m_self.member].actsSince = wall;
}

auto authority::isDue(pending_list &pending, core::monotonic_time now) -> bool
{
    if (!pending.removes || peerVouches(pending.list.epoch)) {
        return true;
    }
    if (!pending.excludedAt && isExcluded(pending)) {
        pending.excludedAt = now;
    }
    return pending.excludedAt && now - *pending.excludedAt >= removalDelay && now - pending.foldedAt >= removalDelay;
}

// Enough members of the list before must have folded the removal that the others cannot be fresh by their peers alone.
auto authority::isExcluded(const pending_list &pending) const -> bool
{
    if (pending.before.size() < 2) {
        return true;
    }
    std::size_t folded = 0;
    for (const auto &member : pending.before) {
        if (hasFolded(member, pending.list)) {
            ++folded;
        }
    }
    return 2 * folded >= pending.before.size();
}

// A replacement under the same name has bound the address of the process before it, so that one is gone.
auto authority::hasFolded(const member_ref &member, const membership &list) const -> bool
{
    if (member == m_self || hasLeft(member)) {
        return true;
    }
    if (!contains(list, member) && hasName(list, member.member)) {
        return true;
    }
    const auto peer = m_peers.find(member.member);
    return peer != m_peers.end() && peer->second.incarnation == member.incarnation
        && peer->second.foldedEpoch >= list.epoch;
}

// A member that acts in the epoch has done the waiting already.
auto authority::peerVouches(std::uint64_t epoch) const -> bool
{
    return std::ranges::any_of(m_peers, [this, epoch](const auto &entry) {
        const auto &[name, peer] = entry;
        return name != m_self.member && peer.actingEpoch >= epoch;
    });
}

auto authority::folded() const -> const membership &
{
    return m_pending.empty() ? m_acting : m_pending.back().list;
}

auto authority::hasLeft(const member_ref &member) const -> bool
{
    return std::ranges::find(m_left, member) != m_left.end();
}

auto authority::answeredLately(const member_ref &member, core::monotonic_time now) const -> bool
{
    const auto peer = m_peers.find(member.member);
    return peer != m_peers.end() && peer->second.incarnation == member.incarnation
        && peer->second.freshEpoch == foldedEpoch() && within(peer->second.freshAt, now);
}

auto authority::knownGone(const member_ref &member, core::monotonic_time now) const -> bool
{
    const auto peer = m_peers.find(member.member);
    return hasLeft(member) || (peer != m_peers.end() && within(peer->second.refusedAt, now));
}
} // namespace poplarpass::request
