#pragma once

#include <poplarpass/core/time.h>

namespace poplarpass::app
{
/// \brief Present time of the process's monotonic clock, which counts while the host is suspended.
auto monotonicNow() -> core::monotonic_time;

/// \brief Present Unix wall time.
auto wallNow() -> core::wall_time;
} // namespace poplarpass::app
