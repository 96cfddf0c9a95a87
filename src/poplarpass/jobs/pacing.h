#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>

namespace poplarpass::jobs::internal
{
/// \brief Returns the next share of full speed for the best-effort tasks of a worker, percent.
///
/// Best-effort tasks slow down serving tasks on the same worker. They are therefore paused at once when a tail latency
/// nears its target, and sped up in steps while all tail latencies are well below.
/// \param pace current share
/// \param worstTail highest tail latency of a serving task on the worker, as a share of its target
/// \param sinceChange time since the share was last changed
auto nextPace(std::uint32_t pace, double worstTail, core::duration sinceChange) -> std::uint32_t;
} // namespace poplarpass::jobs::internal
