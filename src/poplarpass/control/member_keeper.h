#pragma once

#include <poplarpass/control/liveness_view.h>
#include <poplarpass/replication/fleet_state.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace poplarpass::control
{
/// \brief Decides which member records this process appends: its own, and removals when it holds the control role.
///
/// The records that it names are wanted until the agreed state shows them; the caller appends each with one id.
/// \sa liveness_view, role_keeper
class member_keeper
{
public:
    /// \param self how this process joins; its incarnation grows when the holder removed it
    explicit member_keeper(replication::member_join_record self);

    /// \brief How this process joins, with its present incarnation.
    [[nodiscard]] auto self() const -> const replication::member_join_record &;

    /// \brief Join to append when \p state does not hold this process; a removed one joins with a greater incarnation.
    auto ownJoin(const replication::fleet_state &state) -> std::optional<replication::member_join_record>;

    /// \brief Leave to append at a graceful shutdown while \p state still holds this process.
    [[nodiscard]] auto ownLeave(const replication::fleet_state &state) const
        -> std::optional<replication::member_leave_record>;

    /// \brief Removals that the holder of epoch \p controlEpoch can justify at \p now.
    ///
    /// A member that surely ended is removed after a short wait. A silent one is removed only when this process hears
    /// more than half of the members that have not ended, none of them hears the silent one, and no more than a share
    /// of the members is removed for silence within a window.
    /// \param view what this process hears; \p state's members are watched from here on
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
