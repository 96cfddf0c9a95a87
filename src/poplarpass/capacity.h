#pragma once

/// \file
/// Capacity of the pools: maintenance waves, and moves of hosts to where the demand is.

#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_table.h>
#include <poplarpass/capacity/pool_demand.h>
