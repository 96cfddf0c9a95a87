#pragma once

#include <poplarpass/control/planning_view.h>

/// Counts of hosts that are away from the pool that they were added with.
namespace poplarpass::control::internal
{
/// \brief Whether \p host is, or is on its way, in another pool than its own.
auto isOnLoan(const fold::host_state &host) -> bool;

/// \brief Hosts of \p pool that are away.
auto lentCount(const planning_view &view, const core::pool_id &pool) -> int;

/// \brief Hosts of other pools that are, or are on their way, in \p pool.
auto borrowedCount(const planning_view &view, const core::pool_id &pool) -> int;
} // namespace poplarpass::control::internal
