#pragma once

/// \file
/// \brief Replicated fleet state built from the log, its budget rules, and reading and publishing of records.

#include <poplarpass/replication/budget.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/host_state.h>
#include <poplarpass/replication/log_follower.h>
#include <poplarpass/replication/publisher.h>
#include <poplarpass/replication/record.h>
#include <poplarpass/replication/snapshot_policy.h>
