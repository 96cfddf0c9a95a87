#include <poplarpass/config/config_check.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/state_digest.h>

#include <algorithm>
#include <cassert>

namespace poplarpass::replication
{
namespace
{
template <class item, class key, class projection>
auto findSorted(const std::vector<item> &items, const key &wanted, projection keyOf) -> const item *
{
    const auto position = std::ranges::lower_bound(items, wanted, {}, keyOf);
    return position != items.end() && std::invoke(keyOf, *position) == wanted ? &*position : nullptr;
}

template <class item, class key, class projection>
auto findAny(const std::vector<item> &items, const key &wanted, projection keyOf) -> const item *
{
    const auto position = std::ranges::find(items, wanted, keyOf);
    return position != items.end() ? &*position : nullptr;
}

auto hostNameOf(const host_state &host) -> const core::host_id &
{
    return host.description.host;
}

auto memberNameOf(const member_state &member) -> const core::member_id &
{
    return member.joined.member;
}

template <class item, class projection>
auto isSortedUnique(const std::vector<item> &items, projection keyOf) -> bool
{
    return std::ranges::adjacent_find(items, std::ranges::greater_equal{}, keyOf) == items.end();
}

auto isWellFormed(const state_parts &parts) -> bool
{
    return isSortedUnique(parts.members, memberNameOf) && isSortedUnique(parts.hosts, hostNameOf)
        && isSortedUnique(parts.recentIds, &recent_record::offset) && parts.revision <= parts.offset
        && parts.recentIds.size() <= maxRecentIds
        && (parts.recentIds.empty() || parts.recentIds.back().offset <= parts.offset)
        && config::checkConfig(parts.config).empty();
}
} // namespace

fleet_state::fleet_state()
{
    refreshDigests();
}

auto fleet_state::fromParts(state_parts parts) -> core::result<fleet_state>
{
    if (!isWellFormed(parts)) {
        return core::failure(core::error_kind::malformed_message,
                             "state rejected: its parts are unsorted, inconsistent or refer to missing items");
    }
    fleet_state state;
    state.m_offset = parts.offset;
    state.m_config = std::move(parts.config);
    state.m_configText = std::move(parts.configText);
    state.m_revision = parts.revision;
    state.m_memberEpoch = parts.memberEpoch;
    state.m_members = std::move(parts.members);
    state.m_entries = std::move(parts.entries);
    state.m_control = std::move(parts.control);
    state.m_hosts = std::move(parts.hosts);
    state.m_waves = std::move(parts.waves);
    for (auto &seen : parts.recentIds) {
        if (state.m_recentIds.find(seen.id) != nullptr) {
            return core::failure(core::error_kind::malformed_message, "state rejected: duplicate record id");
        }
        state.m_recentIds.add(std::move(seen));
    }
    state.refreshDigests();
    return state;
}

auto fleet_state::parts() const -> state_parts
{
    const auto &ids = m_recentIds.all();
    return {m_offset,  m_config,  m_configText, m_revision, m_memberEpoch,           m_members,
            m_entries, m_control, m_hosts,      m_waves,    {ids.begin(), ids.end()}};
}

auto fleet_state::apply(log_offset offset, const core::record_id &id, const record &change) -> applied
{
    assert(offset > m_offset);
    m_offset = offset;
    if (const auto *first = m_recentIds.find(id)) {
        return {false, true,
                core::error{core::error_kind::key_conflict, "first at " + std::to_string(first->offset), {}}};
    }
    auto outcome = std::visit([this, offset](const auto &typed) { return applyChange(offset, typed); }, change);
    // Ids of refused records are retained too: a duplicate of a refused record must not be accepted later.
    m_recentIds.add({offset, id, outcome.accepted});
    return outcome;
}

auto fleet_state::skip(log_offset offset) -> void
{
    assert(offset > m_offset);
    m_offset = offset;
}

auto fleet_state::offset() const -> log_offset
{
    return m_offset;
}

auto fleet_state::digest() const -> std::uint64_t
{
    return internal::digestOf({m_offset, m_configDigest, m_memberEpoch, m_memberDigest, internal::digestOf(m_entries),
                               internal::digestOf(m_control), m_hosts.size(), m_hostDigest, m_waveDigest,
                               m_recentIds.digest()});
}

auto fleet_state::config() const -> const config::fleet_config &
{
    return m_config;
}

auto fleet_state::revision() const -> std::uint64_t
{
    return m_revision;
}

auto fleet_state::configText() const -> const std::string &
{
    return m_configText;
}

auto fleet_state::entries() const -> const entry_history &
{
    return m_entries;
}

auto fleet_state::memberEpoch() const -> std::uint64_t
{
    return m_memberEpoch;
}

auto fleet_state::members() const -> std::span<const member_state>
{
    return m_members;
}

auto fleet_state::control() const -> const control_state &
{
    return m_control;
}

auto fleet_state::hosts() const -> std::span<const host_state>
{
    return m_hosts;
}

auto fleet_state::waves() const -> std::span<const wave_state>
{
    return m_waves;
}

auto fleet_state::findHost(const core::host_id &host) const -> const host_state *
{
    return findSorted(m_hosts, host, hostNameOf);
}

auto fleet_state::findPool(const core::pool_id &pool) const -> const config::pool *
{
    return findAny(m_config.pools, pool, &config::pool::name);
}

auto fleet_state::findProfile(const core::profile_id &profile) const -> const config::profile *
{
    return findAny(m_config.profiles, profile, &config::profile::name);
}

auto fleet_state::findRecord(const core::record_id &id) const -> const recent_record *
{
    return m_recentIds.find(id);
}

auto fleet_state::refreshDigests() -> void
{
    m_configDigest = internal::digestOf(m_config, m_configText, m_revision);
    m_memberDigest = internal::digestOf(std::span<const member_state>{m_members});
    m_waveDigest = internal::digestOf(std::span<const wave_state>{m_waves});
    m_hostDigest = 0;
    for (const auto &host : m_hosts) {
        m_hostDigest += internal::digestOf(host);
    }
}
} // namespace poplarpass::replication
