#include <poplarpass/control/constants.h>
#include <poplarpass/control/liveness_view.h>

#include <algorithm>

namespace poplarpass::control
{
auto liveness_view::onHeartbeat(const core::member_id &member, std::uint64_t incarnation,
                                std::span<const core::member_id> heardMembers, core::monotonic_time now) -> void
{
    registerMember(member, now);
    auto &entry = m_peers.at(member);
    const bool isTerminated = entry.terminatedAt && incarnation <= entry.terminatedIncarnation;
    if (incarnation < entry.incarnation || isTerminated) {
        return;
    }
    entry.incarnation = incarnation;
    entry.lastHeartbeat = now;
    entry.terminatedAt.reset();
    entry.heardMembers.assign(heardMembers.begin(), heardMembers.end());
}

auto liveness_view::onTerminated(const core::member_id &member, std::uint64_t incarnation, core::monotonic_time now)
    -> void
{
    registerMember(member, now);
    auto &entry = m_peers.at(member);
    if (incarnation < entry.incarnation) {
        return;
    }
    if (!entry.terminatedAt) {
        entry.terminatedAt = now;
    }
    entry.terminatedIncarnation = incarnation;
    entry.lastHeartbeat.reset();
    entry.heardMembers.clear();
}

auto liveness_view::registerMember(const core::member_id &member, core::monotonic_time now) -> void
{
    const auto [position, added] = m_peers.try_emplace(member);
    if (added) {
        position->second.registeredAt = now;
    }
}

auto liveness_view::hears(const core::member_id &member, core::monotonic_time now) const -> bool
{
    const auto *entry = find(member);
    return entry != nullptr && entry->lastHeartbeat && now - *entry->lastHeartbeat < heartbeatTimeout;
}

auto liveness_view::timeSinceHeartbeat(const core::member_id &member, core::monotonic_time now) const -> core::duration
{
    const auto *entry = find(member);
    return entry == nullptr ? core::duration::zero() : now - entry->lastHeartbeat.value_or(entry->registeredAt);
}

auto liveness_view::timeSinceTermination(const core::member_id &member, std::uint64_t incarnation,
                                         core::monotonic_time now) const -> std::optional<core::duration>
{
    const auto *entry = find(member);
    if (entry == nullptr) {
        return std::nullopt;
    }
    if (entry->terminatedAt && entry->terminatedIncarnation >= incarnation) {
        return now - *entry->terminatedAt;
    }
    if (entry->incarnation > incarnation) {
        return core::duration::max();
    }
    return std::nullopt;
}

auto liveness_view::reportsContact(const core::member_id &observer, const core::member_id &member,
                                   core::monotonic_time now) const -> bool
{
    const auto *entry = find(observer);
    return entry != nullptr && hears(observer, now)
        && std::ranges::find(entry->heardMembers, member) != entry->heardMembers.end();
}

auto liveness_view::heardAmong(std::span<const core::member_id> among, core::monotonic_time now) const
    -> std::vector<core::member_id>
{
    std::vector<core::member_id> heard;
    std::ranges::copy_if(among, std::back_inserter(heard),
                         [&](const core::member_id &member) { return hears(member, now); });
    return heard;
}

auto liveness_view::find(const core::member_id &member) const -> const peer *
{
    const auto position = m_peers.find(member);
    return position == m_peers.end() ? nullptr : &position->second;
}
} // namespace poplarpass::control
