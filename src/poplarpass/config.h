#pragma once

/// \file
/// \brief Operator configuration: types, validation, differences and calendars.

#include <poplarpass/config/calendar.h>
#include <poplarpass/config/config_check.h>
#include <poplarpass/config/config_diff.h>
#include <poplarpass/config/fleet_config.h>
