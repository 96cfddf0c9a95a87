#pragma once

#include <poplarpass/control/planning_view.h>

#include <functional>
#include <vector>

namespace poplarpass::control
{
/// \brief One host to move to another pool.
struct host_move
{
    core::host_id host; ///< Which host.
    core::pool_id from; ///< Pool that it leaves.
    core::pool_id to; ///< Pool that it joins.

    auto operator==(const host_move &) const -> bool = default;
};

/// \brief What a policy chooses moves from.
struct move_query
{
    const planning_view &view; ///< The fleet by pool.
    std::span<const fold::wave_state> waves; ///< Waves in order of their start.
    core::wall_time wallNow; ///< Wall time, for calendars.
    core::monotonic_time now; ///< Monotonic time, for hysteresis.
    std::function<bool(const fold::host_state &)> isUsable; ///< Whether a serving host may be taken at all.
};

/// \brief Chooses the moves that start now.
using move_policy = std::function<std::vector<host_move>(const move_query &)>;
} // namespace poplarpass::control
