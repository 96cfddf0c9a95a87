#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>

namespace poplarpass::jobs::internal
{
/// \brief Share at which the tasks that fill a worker may work, percent.
///
/// Answers tasks that fill beside tasks that serve: they stop at once when a tail of response times is over its
/// target, and come back in steps while all tails are well below.
/// \param pace share in force
/// \param worstTail greatest tail of a serving task on the worker as a share of its target
/// \param sinceChange time since the share was last changed
auto nextPace(std::uint32_t pace, double worstTail, core::duration sinceChange) -> std::uint32_t;
} // namespace poplarpass::jobs::internal
