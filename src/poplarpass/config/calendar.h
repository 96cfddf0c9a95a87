#pragma once

#include <poplarpass/config/fleet_config.h>
#include <poplarpass/core/time.h>

#include <optional>

namespace poplarpass::config
{
inline constexpr int minutesPerDay = 24 * 60;

inline constexpr int minutesPerWeek = 7 * minutesPerDay;

/// \brief Returns whether \p calendar is open at \p now.
auto isOpen(const calendar &calendar, core::wall_time now) -> bool;

/// \brief Returns the earliest time not before \p now at which \p calendar is open; none when it never opens.
auto nextOpening(const calendar &calendar, core::wall_time now) -> std::optional<core::wall_time>;

/// \brief Returns how long \p calendar stays open from \p now; zero when it is closed, at most one week.
auto openFor(const calendar &calendar, core::wall_time now) -> core::duration;
} // namespace poplarpass::config
