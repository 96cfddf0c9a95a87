#pragma once

/// \file
/// \brief Capacity planning for pools: maintenance waves and demand-driven moves of hosts.

#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/ended_workers.h>
#include <poplarpass/capacity/host_table.h>
#include <poplarpass/capacity/pool_demand.h>
