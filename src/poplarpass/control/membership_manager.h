#pragma once

#include <poplarpass/control/liveness_view.h>
#include <poplarpass/replication/fleet_state.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace poplarpass::control
{
/// \brief Decides which member records this process appends: its own and, while it holds the control role, removals.
///
/// A record is returned until the replicated state shows it; the caller appends each with one id.
/// \sa liveness_view, role_manager
class membership_manager
{
public:
    /// \param self join record of this process; its incarnation is incremented after a removal by the holder
    explicit membership_manager(replication::member_join_record self);

    /// \brief Returns the join record of this process with its current incarnation.
    [[nodiscard]] auto self() const -> const replication::member_join_record &;

    /// \brief Returns the join to append if \p state does not contain this process; a removal increments the
    /// incarnation.
    auto ownJoin(const replication::fleet_state &state) -> std::optional<replication::member_join_record>;

    /// \brief Returns the leave to append at a graceful shutdown while \p state still contains this process.
    [[nodiscard]] auto ownLeave(const replication::fleet_state &state) const
        -> std::optional<replication::member_leave_record>;

    /// \brief Returns the removals that the holder of epoch \p controlEpoch may append at \p now.
    ///
    /// A member known to have terminated is removed after removeAfterTermination. A silent one is removed only if this
    /// process hears more than half of the members that have not terminated, none of those hears the silent one, and
    /// at most one in removalDivisor members is removed for missing heartbeats within removalWindow.
    /// \param view liveness as observed by this process; the members of \p state are registered in it
    auto removals(const replication::fleet_state &state, liveness_view &view, std::uint64_t controlEpoch,
                  core::monotonic_time now) -> std::vector<replication::member_leave_record>;

private:
    struct silent_removal
    {
        core::member_id member;
        std::uint64_t incarnation = 0;
        core::monotonic_time at;
    };

    [[nodiscard]] auto isSelf(const replication::member_state &member) const -> bool;
    auto mayRemoveSilent(const replication::member_state &member, std::size_t memberCount, core::monotonic_time now)
        -> bool;

    replication::member_join_record m_self;
    bool m_wasMember = false;
    std::deque<silent_removal> m_silentRemovals; ///< Within the window, oldest first.
};
} // namespace poplarpass::control
