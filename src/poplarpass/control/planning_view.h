#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/replication/budget.h>
#include <poplarpass/replication/fleet_state.h>

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace poplarpass::control
{
/// \brief Returns whether maintenance is open in a calendar at a given time.
using calendar_check = std::function<bool(const config::calendar &, core::wall_time)>;

/// \brief One pool with its profile, calendar and hosts.
struct pool_view
{
    config::pool pool;
    config::profile profile;
    std::optional<config::calendar> calendar; ///< Calendar of the profile; none if it is not configured.
    std::vector<replication::host_state> hosts; ///< Without addresses; may be modified to evaluate a step.
    int incomingSlots = 0; ///< Slots of hosts that are moving to the pool.

    /// \brief Returns the budget of the pool for \c hosts.
    [[nodiscard]] auto budget() const -> replication::budget_view;

    /// \brief Returns the limit that forbids taking \p host out of service; none if it may be taken out.
    [[nodiscard]] auto limitOf(const replication::host_state &host) const -> replication::budget_limit;

    /// \brief Returns whether the pool may be maintained at \p now; a profile without a calendar permits any time.
    [[nodiscard]] auto isOpen(const calendar_check &check, core::wall_time now) const -> bool;
};

/// \brief Copy of the fleet by pool on which steps can be evaluated.
struct planning_view
{
    std::vector<pool_view> pools; ///< In configuration order.
    config::planning_weights weights;

    /// \brief Returns the pool by name, or null.
    [[nodiscard]] auto findPool(const core::pool_id &pool) -> pool_view *;
    /// \brief Returns the pool by name, or null.
    [[nodiscard]] auto findPool(const core::pool_id &pool) const -> const pool_view *;
};

/// \brief Returns the planning view of \p hosts under \p config; pools without a profile are skipped.
auto makePlanningView(const config::fleet_config &config, std::span<const replication::host_state> hosts)
    -> planning_view;
} // namespace poplarpass::control
