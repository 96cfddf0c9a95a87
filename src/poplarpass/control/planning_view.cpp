#include <poplarpass/control/planning_view.h>

#include <algorithm>
#include <unordered_map>

namespace poplarpass::control
{
namespace
{
auto findPoolIn(auto &pools, const core::pool_id &pool)
{
    const auto position =
        std::ranges::find_if(pools, [&pool](const pool_view &view) { return view.pool.name == pool; });
    return position == pools.end() ? nullptr : &*position;
}

auto calendarOf(const config::fleet_config &config, const config::profile &profile) -> std::optional<config::calendar>
{
    const auto position = std::ranges::find(config.calendars, profile.calendar, &config::calendar::name);
    return position == config.calendars.end() ? std::nullopt : std::optional{*position};
}

// Addresses exceed the small-string buffer, so copying them would allocate; planning does not need them.
auto withoutAddress(const replication::host_state &host) -> replication::host_state
{
    replication::host_state copy;
    copy.description.host = host.description.host;
    copy.description.region = host.description.region;
    copy.description.zone = host.description.zone;
    copy.description.rack = host.description.rack;
    copy.description.pool = host.description.pool;
    copy.description.slots = host.description.slots;
    copy.description.leaving = host.description.leaving;
    copy.pool = host.pool;
    copy.generation = host.generation;
    copy.phase = host.phase;
    copy.movingTo = host.movingTo;
    copy.down = host.down;
    copy.wave = host.wave;
    copy.maintainedAt = host.maintainedAt;
    copy.bootId = host.bootId;
    return copy;
}
} // namespace

auto pool_view::budget() const -> replication::budget_view
{
    return replication::evaluateBudget(pool, profile, hosts);
}

auto pool_view::limitOf(const replication::host_state &host) const -> replication::budget_limit
{
    return replication::limitForPlannedOutage(host, pool, profile, hosts);
}

auto pool_view::isOpen(const calendar_check &check, core::wall_time now) const -> bool
{
    return profile.calendar.empty() || (calendar && check(*calendar, now));
}

auto planning_view::findPool(const core::pool_id &pool) -> pool_view *
{
    return findPoolIn(pools, pool);
}

auto planning_view::findPool(const core::pool_id &pool) const -> const pool_view *
{
    return findPoolIn(pools, pool);
}

auto makePlanningView(const config::fleet_config &config, std::span<const replication::host_state> hosts)
    -> planning_view
{
    planning_view view;
    view.weights = config.weights;
    std::unordered_map<core::pool_id, std::size_t> indexOf;
    for (const auto &pool : config.pools) {
        const auto profile = std::ranges::find(config.profiles, pool.profile, &config::profile::name);
        if (profile == config.profiles.end()) {
            continue;
        }
        indexOf.emplace(pool.name, view.pools.size());
        view.pools.push_back({pool, *profile, calendarOf(config, *profile), {}, 0});
    }
    for (const auto &host : hosts) {
        const auto index = indexOf.find(host.pool);
        if (index != indexOf.end()) {
            view.pools[index->second].hosts.push_back(withoutAddress(host));
        }
        const auto target = host.movingTo.empty() ? indexOf.end() : indexOf.find(host.movingTo);
        if (target != indexOf.end() && !host.down) {
            view.pools[target->second].incomingSlots += host.description.slots;
        }
    }
    return view;
}
} // namespace poplarpass::control
