#pragma once

#include <poplarpass/core/time.h>

namespace poplarpass::app
{
/// \brief Returns the current monotonic time; the clock also advances while the host is suspended.
auto monotonicNow() -> core::monotonic_time;

/// \brief Returns the current Unix wall time.
auto wallNow() -> core::wall_time;
} // namespace poplarpass::app
