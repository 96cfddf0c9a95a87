#include <poplarpass/control/constants.h>
#include <poplarpass/control/membership_manager.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace poplarpass::control
{
namespace
{
auto terminationAge(const replication::member_state &member, const liveness_view &view, core::monotonic_time now)
    -> std::optional<core::duration>
{
    return view.timeSinceTermination(member.joined.member, member.joined.incarnation, now);
}
} // namespace

membership_manager::membership_manager(replication::member_join_record self)
    : m_self{std::move(self)}
{
    assert(!m_self.member.empty());
}

auto membership_manager::self() const -> const replication::member_join_record &
{
    return m_self;
}

auto membership_manager::ownJoin(const replication::fleet_state &state)
    -> std::optional<replication::member_join_record>
{
    const auto members = state.members();
    const auto own =
        std::ranges::find_if(members, [this](const replication::member_state &member) { return isSelf(member); });
    if (own != members.end() && own->joined.incarnation == m_self.incarnation) {
        m_wasMember = true;
        return std::nullopt;
    }
    if (own != members.end() && own->joined.incarnation > m_self.incarnation) {
        return std::nullopt;
    }
    if (m_wasMember) {
        ++m_self.incarnation;
        m_wasMember = false;
    }
    return m_self;
}

auto membership_manager::ownLeave(const replication::fleet_state &state) const
    -> std::optional<replication::member_leave_record>
{
    const bool isMember = std::ranges::any_of(state.members(), [this](const replication::member_state &member) {
        return isSelf(member) && member.joined.incarnation == m_self.incarnation;
    });
    if (!isMember) {
        return std::nullopt;
    }
    return replication::member_leave_record{m_self.member, m_self.incarnation, 0};
}

// A holder in the minority of a network partition does not hear a majority. One in the majority additionally requires
// that no member it hears receives heartbeats from the silent one. Members known to have terminated are not counted.
auto membership_manager::removals(const replication::fleet_state &state, liveness_view &view,
                                  std::uint64_t controlEpoch, core::monotonic_time now)
    -> std::vector<replication::member_leave_record>
{
    std::vector<replication::member_leave_record> removed;
    std::vector<const replication::member_state *> silent;
    std::vector<core::member_id> heard;
    std::size_t notTerminated = 0;
    for (const auto &member : state.members()) {
        if (isSelf(member)) {
            ++notTerminated;
            continue;
        }
        view.registerMember(member.joined.member, now);
        if (const auto terminated = terminationAge(member, view, now)) {
            if (*terminated >= removeAfterTermination) {
                removed.push_back({member.joined.member, member.joined.incarnation, controlEpoch});
            }
            continue;
        }
        ++notTerminated;
        if (view.hears(member.joined.member, now)) {
            heard.push_back(member.joined.member);
        } else if (view.timeSinceHeartbeat(member.joined.member, now) >= removeAfterMissedHeartbeats) {
            silent.push_back(&member);
        }
    }
    const bool hearsMajority = 2 * (heard.size() + 1) > notTerminated;
    if (!hearsMajority) {
        return removed;
    }
    for (const auto *member : silent) {
        const bool heardByOther = std::ranges::any_of(heard, [&](const core::member_id &observer) {
            return view.reportsContact(observer, member->joined.member, now);
        });
        if (!heardByOther && mayRemoveSilent(*member, state.members().size(), now)) {
            removed.push_back({member->joined.member, member->joined.incarnation, controlEpoch});
        }
    }
    return removed;
}

auto membership_manager::isSelf(const replication::member_state &member) const -> bool
{
    return member.joined.member == m_self.member;
}

auto membership_manager::mayRemoveSilent(const replication::member_state &member, std::size_t memberCount,
                                         core::monotonic_time now) -> bool
{
    while (!m_silentRemovals.empty() && now - m_silentRemovals.front().at >= removalWindow) {
        m_silentRemovals.pop_front();
    }
    const auto isSame = [&](const silent_removal &earlier) {
        return earlier.member == member.joined.member && earlier.incarnation == member.joined.incarnation;
    };
    if (std::ranges::any_of(m_silentRemovals, isSame)) {
        return true;
    }
    if (m_silentRemovals.size() >= std::max<std::size_t>(1, memberCount / removalDivisor)) {
        return false;
    }
    m_silentRemovals.push_back({member.joined.member, member.joined.incarnation, now});
    return true;
}
} // namespace poplarpass::control
