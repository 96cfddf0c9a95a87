#pragma once

#include <poplarpass/control/host_controller.h>

namespace poplarpass::control
{
/// \brief Inputs, intermediate results and actions of one call of decide().
struct host_controller::step
{
    const replication::fleet_state &state; ///< The replicated state.
    const host_observations &observations; ///< Observations since the previous step.
    core::wall_time wallNow;
    core::monotonic_time now;
    std::vector<control_action> actions{};
    planning_view view{}; ///< The fleet by pool; hosts not confirmed as serving count as out.
    std::vector<int> spareSlots{}; ///< Slots above the required capacity in the replicated state, by pool of the view.
    std::size_t appends = 0; ///< Number of records among the actions.
    bool isLossPlausible = true; ///< Whether so few hosts are lost that the losses may be recorded.
};
} // namespace poplarpass::control
