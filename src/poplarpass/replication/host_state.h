#pragma once

#include <poplarpass/platform/host_list.h>

#include <cstdint>

namespace poplarpass::replication
{
/// \brief Phase of a host in a planned change.
enum class host_phase {
    serving, ///< Accepts work unless it is down.
    moving_out, ///< Leaving its pool; accepts no new work.
    drained, ///< Runs no work of its pool and has not joined the next pool.
    draining, ///< Draining for maintenance; accepts no new work.
    rebooting, ///< Rebooting for maintenance.
};

/// \brief One host in the replicated state.
struct host_state
{
    platform::listed_host description; ///< Size and location; its pool field is the pool at the time of the add record.
    core::pool_id pool; ///< Current pool.
    std::uint64_t generation = 0; ///< Offset of the record that moved it to its pool; 0 before the first move.
    host_phase phase = host_phase::serving; ///< Phase of the planned change.
    core::pool_id movingTo; ///< New pool during a move.
    bool down = false; ///< Down outside planned changes.
    core::wave_id wave; ///< Current or latest maintenance wave.
    std::uint64_t maintainedAt = 0; ///< Offset of its latest return from maintenance; 0 if never.
    std::uint64_t bootId = 0; ///< Latest known boot id.

    /// \brief Whether the host accepts new work.
    [[nodiscard]] auto serves() const -> bool
    {
        return phase == host_phase::serving && !down;
    }
};
} // namespace poplarpass::replication
