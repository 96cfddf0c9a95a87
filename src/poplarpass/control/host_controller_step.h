#pragma once

#include <poplarpass/control/host_controller.h>

namespace poplarpass::control
{
/// \brief What one call of decide() works on.
struct host_controller::step
{
    const replication::fleet_state &state; ///< The agreed state.
    const host_observations &observations; ///< What was seen since the previous step.
    core::wall_time wallNow; ///< Wall time.
    core::monotonic_time now; ///< Monotonic time.
    std::vector<control_action> actions{}; ///< What to do.
    planning_view view{}; ///< The fleet by pool, with everything that is not surely serving counted as out.
    std::vector<int> spareSlots{}; ///< By pool of the view: slots above the promise in the agreed state.
    std::size_t appends = 0; ///< Records among the actions.
    bool isLossPlausible = true; ///< Whether the losses seen are few enough to be believed.
};
} // namespace poplarpass::control
