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
/// \brief Whether maintenance is open in a calendar at a moment.
using calendar_check = std::function<bool(const config::calendar &, core::wall_time)>;

/// \brief One pool with its profile, its calendar and its hosts, for planning.
struct pool_view
{
    config::pool pool; ///< The pool.
    config::profile profile; ///< Profile that it keeps.
    std::optional<config::calendar> calendar; ///< Its profile's calendar; none when it isn't configured.
    std::vector<replication::host_state>
        hosts; ///< Hosts that belong to it, without addresses; may be changed to try a step.
    int incomingSlots = 0; ///< Slots of hosts that are on their way to it.

    /// \brief Budget of the pool with its hosts as they are here.
    [[nodiscard]] auto budget() const -> replication::budget_view;

    /// \brief Which promise forbids taking \p host out; none when it may be taken.
    [[nodiscard]] auto limitOf(const replication::host_state &host) const -> replication::budget_limit;

    /// \brief Whether maintenance may touch the pool at \p now; a profile that names no calendar permits any time.
    [[nodiscard]] auto isOpen(const calendar_check &check, core::wall_time now) const -> bool;
};

/// \brief The fleet by pool: a copy on which steps can be tried.
struct planning_view
{
    std::vector<pool_view> pools; ///< In the order of the configuration.
    config::planning_weights weights; ///< Planning weights of the deployment.

    /// \brief Pool by name, if there is one.
    [[nodiscard]] auto findPool(const core::pool_id &pool) -> pool_view *;
    /// \brief Pool by name, if there is one.
    [[nodiscard]] auto findPool(const core::pool_id &pool) const -> const pool_view *;
};

/// \brief Planning view of \p hosts under \p config; pools without a profile are passed over.
auto makePlanningView(const config::fleet_config &config, std::span<const replication::host_state> hosts)
    -> planning_view;
} // namespace poplarpass::control
