#pragma once

#include <poplarpass/core/string_id.h>

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpass::config
{
/// \brief Set of hosts that may fail together.
enum class loss_domain {
    host, ///< Single hosts.
    rack, ///< All of the pool's hosts in one rack.
    zone, ///< All of the pool's hosts in one availability zone.
};

/// \brief Weekly recurring maintenance window, in local time.
struct calendar_window
{
    std::uint8_t weekdays = 0; ///< Days on which the window opens: bit 0 is Monday, bit 6 Sunday.
    int startMinute = 0; ///< Minutes after local midnight.
    int lengthMinutes = 0; ///< Length; the window may run past midnight.

    auto operator==(const calendar_window &) const -> bool = default;
};

/// \brief Named set of maintenance windows with a UTC offset.
struct calendar
{
    std::string name; ///< Calendar name.
    int utcOffsetMinutes = 0; ///< Local time minus UTC.
    std::vector<calendar_window> windows; ///< Windows; a calendar without windows never opens.

    auto operator==(const calendar &) const -> bool = default;
};

/// \brief Capacity guarantees and limits that pools and services select by name.
struct profile
{
    core::profile_id name; ///< Profile name.
    double headroom = 0.0; ///< Capacity kept free above the pool's demand, as a share of the demand.
    loss_domain lossDomain = loss_domain::host; ///< Unit of loss that the guarantee tolerates.
    int maxLost = 1; ///< Number of loss domains that may be lost at once, unplanned, within the guarantee.
    int maxOut = 1; ///< Maximum number of hosts out of service at once for planned reasons.
    std::string calendar; ///< Calendar in which maintenance is permitted.
    int maxLent = 0; ///< Maximum number of hosts that the pool lends at once.
    int maxBorrowed = 0; ///< Maximum number of hosts that the pool borrows at once.

    auto operator==(const profile &) const -> bool = default;
};

/// \brief Pool of hosts.
struct pool
{
    core::pool_id name; ///< Pool name.
    core::profile_id profile; ///< Profile whose guarantees apply to the pool.
    int demandSlots = 0; ///< Declared mean demand, in slots.
    bool spare = false; ///< Whether the pool lends hosts before other pools do.

    auto operator==(const pool &) const -> bool = default;
};

/// \brief Service that requests may name in place of a pool.
struct service
{
    core::service_id name; ///< Service name.
    core::pool_id pool; ///< Pool that runs the service.
    core::profile_id profile; ///< Selected profile; the pool's profile must guarantee at least as much.

    auto operator==(const service &) const -> bool = default;
};

/// \brief Team with a quota.
struct team
{
    core::team_id name; ///< Team name.
    int quotaSlots = 0; ///< Maximum number of slots that the team uses at once in the deployment.
    double weight = 1.0; ///< Relative share among teams with waiting jobs.

    auto operator==(const team &) const -> bool = default;
};

/// \brief Cost weights for capacity planning.
struct planning_weights
{
    double bufferCost = 1.0; ///< Cost of keeping one idle slot in reserve for an hour.
    double moves = 1.0; ///< Cost of moving one host.

    auto operator==(const planning_weights &) const -> bool = default;
};

/// \brief Complete configuration as published by operators.
struct fleet_config
{
    std::vector<calendar> calendars;
    std::vector<profile> profiles;
    std::vector<pool> pools;
    std::vector<service> services;
    std::vector<team> teams;
    planning_weights weights;

    auto operator==(const fleet_config &) const -> bool = default;
};

/// \brief Returns the slots that \p pool guarantees under \p profile: its demand plus headroom, rounded up.
auto requiredSlots(const pool &pool, const profile &profile) -> int;
} // namespace poplarpass::config
