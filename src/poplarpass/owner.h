#pragma once

/// \file
/// \brief Election of the process that owns the pools.

#include <poplarpass/owner/claim_rank.h>
#include <poplarpass/owner/handover.h>
#include <poplarpass/owner/owner_monitor.h>
