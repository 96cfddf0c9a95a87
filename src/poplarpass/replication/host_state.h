#pragma once

#include <poplarpass/platform/host_list.h>

#include <cstdint>

namespace poplarpass::replication
{
/// \brief Where a host is in a planned change.
enum class host_phase {
    serving, ///< Takes work.
    moving_out, ///< Leaves its pool: takes no new work.
    drained, ///< Has left its pool's work; not yet joined to the next pool.
    draining, ///< Maintenance took it: takes no new work.
    rebooting, ///< In maintenance.
};

/// \brief One host in the agreed state.
struct host_state
{
    platform::listed_host description; ///< Size and place; its pool field is the pool that it was added with.
    core::pool_id pool; ///< The one pool that it belongs to.
    std::uint64_t generation = 0; ///< Offset of the record that put it there; 0 before the first move.
    host_phase phase = host_phase::serving; ///< Planned change under way.
    core::pool_id movingTo; ///< New pool while it moves.
    bool down = false; ///< Lost without a plan.
    core::wave_id wave; ///< Wave that has it, or that had it last.
    std::uint64_t maintainedAt = 0; ///< Offset of its last return from maintenance; 0 if never.
    std::uint64_t bootId = 0; ///< Last known boot.

    /// \brief Whether it takes new work.
    [[nodiscard]] auto serves() const -> bool
    {
        return phase == host_phase::serving && !down;
    }
};
} // namespace poplarpass::replication
