#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/control/host_observations.h>
#include <poplarpass/control/host_tracker.h>
#include <poplarpass/control/move_planner.h>
#include <poplarpass/control/pending_appends.h>
#include <poplarpass/control/wave_planner.h>
#include <poplarpass/replication/fleet_state.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarpass::control
{
/// \brief Policies of the host controller.
struct controller_hooks
{
    wave_policy chooseDrains; ///< Selects hosts whose maintenance starts now; empty starts none.
    move_policy chooseMoves; ///< Selects hosts whose move starts now; empty starts none.
    calendar_check calendarIsOpen; ///< Cancels drains in progress when it closes; empty never does.
};

/// \brief Decides which records, orders and reports the holder of the control role issues.
///
/// Everything that must survive a failover is in the replicated state. This class holds only observations and its
/// pending records and orders; a new holder starts without them.
/// \sa role_manager, which determines whether decide() may be called
class host_controller
{
public:
    /// \param self name of this process
    /// \param incarnation its incarnation, part of every record id
    host_controller(const core::member_id &self, std::uint64_t incarnation, controller_hooks hooks);

    /// \brief Handles that the record \p id was read back from the log, accepted or rejected.
    auto onApplied(const core::record_id &id) -> void;

    /// \brief Handles the loss of the role or of the right to act: discards pending records, orders and observations.
    auto onRoleLost() -> void;

    /// \brief Returns the actions to carry out now; each record and order carries the role epoch of \p state.
    ///
    /// Records are confirmed by onApplied(), orders by \p observations. A record that is not read back is retried with
    /// the same id. An order is sent only for a phase that the replicated state already shows.
    /// \pre this process may act as the holder until the actions have been carried out
    auto decide(const replication::fleet_state &state, const host_observations &observations, core::wall_time wallNow,
                core::monotonic_time now) -> std::vector<control_action>;

private:
    struct step; // State of one call of decide().

    auto applyObservations(step &current) -> void;
    auto applyHostList(step &current) -> void;
    auto addHost(step &current, const platform::listed_host &listed) -> void;
    auto checkLossPlausibility(step &current) -> void;
    auto prepareView(step &current) -> void;
    auto recordAvailability(step &current, const replication::host_state &host) -> bool;
    auto reconcileHost(step &current, const replication::host_state &host) -> void;
    auto reconcileServing(step &current, const replication::host_state &host) -> void;
    auto reconcileLeaving(step &current, const replication::host_state &host) -> void;
    auto reconcileDraining(step &current, const replication::host_state &host) -> void;
    auto reconcileRebooting(step &current, const replication::host_state &host) -> void;
    auto reconcileMove(step &current, const replication::host_state &host) -> void;
    auto startDrains(step &current) -> void;
    auto startMoves(step &current) -> void;
    auto finishWaves(step &current) -> void;

    [[nodiscard]] auto isUsable(const step &current, const replication::host_state &host) const -> bool;
    [[nodiscard]] auto mustCancel(const step &current, const replication::host_state &host) const -> bool;
    auto cancel(step &current, const replication::host_state &host) -> void;
    auto append(step &current, const replication::host_state &host, replication::host_record change) -> void;
    auto appendFor(step &current, const append_subject &subject, const replication::record &change) -> void;
    static auto emit(step &current, std::optional<append_request> request) -> void;
    auto order(step &current, const replication::host_state &host, platform::worker_order kind) -> void;
    auto orderAssign(step &current, const replication::host_state &host, const core::pool_id &pool,
                     std::uint64_t generation) -> void;
    auto sendOrder(step &current, const replication::host_state &host, platform::order_request request) -> void;
    auto reportOverdue(step &current, const replication::host_state &host, report_kind kind, core::duration limit)
        -> void;

    controller_hooks m_hooks;
    pending_appends m_pending;
    std::unordered_map<core::host_id, host_tracker> m_trackers;
    std::optional<core::monotonic_time> m_lastLossReport;
};
} // namespace poplarpass::control
