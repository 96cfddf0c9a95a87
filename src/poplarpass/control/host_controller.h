#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/control/host_observations.h>
#include <poplarpass/control/host_tracker.h>
#include <poplarpass/control/move_planner.h>
#include <poplarpass/control/pending_appends.h>
#include <poplarpass/control/wave_planner.h>
#include <poplarpass/fold/fleet_state.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarpass::control
{
/// \brief Policies of the holder.
struct controller_hooks
{
    wave_policy chooseDrains; ///< Hosts whose maintenance starts now; none when empty.
    move_policy chooseMoves; ///< Hosts whose move starts now; none when empty.
    calendar_check calendarIsOpen; ///< Drains under way are cancelled when it closes; never when empty.
};

/// \brief The step function of the holder of the control role.
///
/// Everything that must survive the holder is in the agreed state; what this class remembers is only what it saw and
/// which of its records and orders are under way, and a new holder starts without it.
/// \sa role_keeper, which says whether decide() may be called
class host_controller
{
public:
    /// \param self name of this process
    /// \param incarnation its incarnation, part of every record id
    host_controller(const core::member_id &self, std::uint64_t incarnation, controller_hooks hooks);

    /// \brief Takes in that the record \p id was read back, accepted or not.
    auto onApplied(const core::record_id &id) -> void;

    /// \brief Takes in that this process lost the role or its right to act: records and orders under way are forgotten.
    auto onRoleLost() -> void;

    /// \brief What to do now. Every record and order carries the epoch that \p state has in force.
    ///
    /// Records come back by onApplied(), orders by observations.outcomes. A record that is not read back is repeated
    /// with its id. An order is given only for what the agreed state already shows.
    /// \pre this process may act as the holder until the actions have been carried out
    auto decide(const fold::fleet_state &state, const host_observations &observations, core::wall_time wallNow,
                core::monotonic_time now) -> std::vector<control_action>;

private:
    struct step; // State of one call of decide().

    auto applyObservations(step &current) -> void;
    auto applyHostList(step &current) -> void;
    auto addHost(step &current, const platform::listed_host &listed) -> void;
    auto checkLossPlausibility(step &current) -> void;
    auto prepareView(step &current) -> void;
    auto recordAvailability(step &current, const fold::host_state &host) -> bool;
    auto driveHost(step &current, const fold::host_state &host) -> void;
    auto driveServing(step &current, const fold::host_state &host) -> void;
    auto driveLeaving(step &current, const fold::host_state &host) -> void;
    auto driveDraining(step &current, const fold::host_state &host) -> void;
    auto driveRebooting(step &current, const fold::host_state &host) -> void;
    auto driveMove(step &current, const fold::host_state &host) -> void;
    auto driveWaves(step &current) -> void;
    auto driveMoves(step &current) -> void;
    auto finishWaves(step &current) -> void;

    [[nodiscard]] auto isUsable(const step &current, const fold::host_state &host) const -> bool;
    [[nodiscard]] auto mustCancel(const step &current, const fold::host_state &host) const -> bool;
    auto cancel(step &current, const fold::host_state &host) -> void;
    auto append(step &current, const fold::host_state &host, fold::host_record change) -> void;
    auto appendFor(step &current, const append_subject &subject, const fold::record &change) -> void;
    static auto emit(step &current, std::optional<append_request> request) -> void;
    auto order(step &current, const fold::host_state &host, platform::worker_order kind) -> void;
    auto orderAssign(step &current, const fold::host_state &host, const core::pool_id &pool, std::uint64_t generation)
        -> void;
    auto sendOrder(step &current, const fold::host_state &host, platform::order_request request) -> void;
    auto reportOverdue(step &current, const fold::host_state &host, report_kind kind, core::duration limit) -> void;

    controller_hooks m_hooks;
    pending_appends m_pending;
    std::unordered_map<core::host_id, host_tracker> m_trackers;
    std::optional<core::monotonic_time> m_lastLossReport;
};
} // namespace poplarpass::control
