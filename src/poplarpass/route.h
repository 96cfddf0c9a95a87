#pragma once

/// \file
/// Umbrella header of the module route.

#include <poplarpass/route/route_table.h>
