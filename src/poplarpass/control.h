#pragma once

/// \file
/// \brief Decision logic of the control processes: role, membership, hosts, maintenance waves and moves between pools.

#include <poplarpass/control/constants.h>
#include <poplarpass/control/control_action.h>
#include <poplarpass/control/demand_forecast.h>
#include <poplarpass/control/host_controller.h>
#include <poplarpass/control/host_observations.h>
#include <poplarpass/control/host_tracker.h>
#include <poplarpass/control/liveness_view.h>
#include <poplarpass/control/membership_manager.h>
#include <poplarpass/control/move_planner.h>
#include <poplarpass/control/pending_appends.h>
#include <poplarpass/control/planning_view.h>
#include <poplarpass/control/role_manager.h>
#include <poplarpass/control/wave_planner.h>
