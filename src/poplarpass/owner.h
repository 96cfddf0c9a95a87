#pragma once

/// \file
/// Umbrella header of the module owner.

#include <poplarpass/owner/owner_monitor.h>
