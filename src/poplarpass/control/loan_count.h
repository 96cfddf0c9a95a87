#pragma once

#include <poplarpass/control/planning_view.h>

/// Counts of hosts on loan, that is, outside the pool that they were added with.
namespace poplarpass::control::internal
{
/// \brief Returns whether \p host is in, or is moving to, a pool other than its own.
auto isOnLoan(const replication::host_state &host) -> bool;

/// \brief Returns the number of hosts of \p pool that are on loan.
auto lentCount(const planning_view &view, const core::pool_id &pool) -> int;

/// \brief Returns the number of hosts of other pools that are in, or are moving to, \p pool.
auto borrowedCount(const planning_view &view, const core::pool_id &pool) -> int;
} // namespace poplarpass::control::internal
