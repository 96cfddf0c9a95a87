#pragma once

#include <poplarpass/core/string_id.h>

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpass::config
{
/// \brief Set of hosts that fails as one.
enum class loss_domain {
    host, ///< Single hosts.
    rack, ///< All of the pool's hosts in one rack.
    zone, ///< All of the pool's hosts in one availability zone.
};

/// \brief Recurring time in which maintenance may touch a pool, in local time.
struct calendar_window
{
    std::uint8_t weekdays = 0; ///< Bit 0 is Monday, bit 6 Sunday: days on which it opens.
    int startMinute = 0; ///< Minutes after local midnight.
    int lengthMinutes = 0; ///< How long it stays open; it may run past midnight.

    auto operator==(const calendar_window &) const -> bool = default;
};

/// \brief Named set of windows with its time zone.
struct calendar
{
    std::string name; ///< Its name.
    int utcOffsetMinutes = 0; ///< Local time minus UTC.
    std::vector<calendar_window> windows; ///< Windows; none means never.

    auto operator==(const calendar &) const -> bool = default;
};

/// \brief Capacity profile that services pick.
struct profile
{
    core::profile_id name; ///< Its name.
    double headroom = 0.0; ///< Share kept free above the pool's demand.
    loss_domain lossDomain = loss_domain::host; ///< What may be lost at once.
    int maxLost = 1; ///< How many of those may be lost at once, unplanned, without breaking the promise.
    int maxOut = 1; ///< How many hosts may be out for planned reasons at once.
    std::string calendar; ///< When maintenance may touch it.
    int maxLent = 0; ///< Hosts that the pool may lend at once.
    int maxBorrowed = 0; ///< Hosts that the pool may borrow at once.

    auto operator==(const profile &) const -> bool = default;
};

/// \brief Pool of hosts.
struct pool
{
    core::pool_id name; ///< Its name.
    core::profile_id profile; ///< Profile that it keeps.
    int demandSlots = 0; ///< Slots that its work needs at its declared mean.
    bool spare = false; ///< Whether it lends before other pools do.

    auto operator==(const pool &) const -> bool = default;
};

/// \brief Service, which callers may name in place of a pool.
struct service
{
    core::service_id name; ///< Its name.
    core::pool_id pool; ///< Pool that runs it.
    core::profile_id profile; ///< Profile that it picked; the pool must promise no less.

    auto operator==(const service &) const -> bool = default;
};

/// \brief Team with a quota.
struct team
{
    core::team_id name; ///< Its name.
    int quotaSlots = 0; ///< Slots that it may use at once in the deployment.
    double weight = 1.0; ///< Share among teams that wait.

    auto operator==(const team &) const -> bool = default;
};

/// \brief What the deployment weighs when planning.
struct planning_weights
{
    double bufferCost = 1.0; ///< Cost of one idle slot held back for an hour.
    double moves = 1.0; ///< Cost of one move of a host.

    auto operator==(const planning_weights &) const -> bool = default;
};

/// \brief Everything that operators publish, as a whole.
struct fleet_config
{
    std::vector<calendar> calendars; ///< Calendars, by name.
    std::vector<profile> profiles; ///< Profiles, by name.
    std::vector<pool> pools; ///< Pools, by name.
    std::vector<service> services; ///< Services, by name.
    std::vector<team> teams; ///< Teams, by name.
    planning_weights weights; ///< Planning weights.

    auto operator==(const fleet_config &) const -> bool = default;
};

/// \brief Slots that \p pool promises under \p profile: its demand and the headroom above it, rounded up.
auto requiredSlots(const pool &pool, const profile &profile) -> int;
} // namespace poplarpass::config
