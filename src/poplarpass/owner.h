#pragma once

/// \file
/// \brief Election of the process that owns the pools.

#include <poplarpass/owner/owner_monitor.h>
