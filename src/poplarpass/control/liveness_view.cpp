#include <poplarpass/control/constants.h>
#include <poplarpass/control/liveness_view.h>

#include <algorithm>

namespace poplarpass::control
{
auto liveness_view::onHeartbeat(const core::member_id &member, std::uint64_t incarnation,
                                std::span<const core::member_id> hears, core::monotonic_time now) -> void
{
    watch(member, now);
    auto &known = m_peers.at(member);
    const bool hasEnded = known.gone && incarnation <= known.goneIncarnation;
    if (incarnation < known.incarnation || hasEnded) {
        return;
    }
    known.incarnation = incarnation;
    known.heard = now;
    known.gone.reset();
    known.hears.assign(hears.begin(), hears.end());
}

auto liveness_view::onGone(const core::member_id &member, std::uint64_t incarnation, core::monotonic_time now) -> void
{
    watch(member, now);
    auto &known = m_peers.at(member);
    if (incarnation < known.incarnation) {
        return;
    }
    if (!known.gone) {
        known.gone = now;
    }
    known.goneIncarnation = incarnation;
    known.heard.reset();
    known.hears.clear();
}

auto liveness_view::watch(const core::member_id &member, core::monotonic_time now) -> void
{
    const auto [position, added] = m_peers.try_emplace(member);
    if (added) {
        position->second.since = now;
    }
}

auto liveness_view::hears(const core::member_id &member, core::monotonic_time now) const -> bool
{
    const auto *known = find(member);
    return known != nullptr && known->heard && now - *known->heard < heartbeatTimeout;
}

auto liveness_view::silence(const core::member_id &member, core::monotonic_time now) const -> core::duration
{
    const auto *known = find(member);
    return known == nullptr ? core::duration::zero() : now - known->heard.value_or(known->since);
}

auto liveness_view::timeSinceTermination(const core::member_id &member, std::uint64_t incarnation,
                                         core::monotonic_time now) const -> std::optional<core::duration>
{
    const auto *known = find(member);
    if (known == nullptr) {
        return std::nullopt;
    }
    if (known->gone && known->goneIncarnation >= incarnation) {
        return now - *known->gone;
    }
    if (known->incarnation > incarnation) {
        return core::duration::max();
    }
    return std::nullopt;
}

auto liveness_view::reportsContact(const core::member_id &observer, const core::member_id &member,
                                   core::monotonic_time now) const -> bool
{
    const auto *known = find(observer);
    return known != nullptr && hears(observer, now) && std::ranges::find(known->hears, member) != known->hears.end();
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
