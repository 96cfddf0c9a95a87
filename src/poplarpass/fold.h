#pragma once

/// \file
/// \brief The agreed state as a fold of the log, its budget rules, and how processes read and publish records.

#include <poplarpass/fold/budget.h>
#include <poplarpass/fold/fleet_state.h>
#include <poplarpass/fold/host_state.h>
#include <poplarpass/fold/log_follower.h>
#include <poplarpass/fold/publisher.h>
#include <poplarpass/fold/record.h>
#include <poplarpass/fold/snapshot_policy.h>
