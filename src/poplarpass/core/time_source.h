#pragma once

#include <poplarpass/core/time.h>

#include <functional>

namespace poplarpass::core
{
/// \brief Clocks and timer of a process, as hooks: where time is stepped, a whole process can be played.
struct time_source
{
    std::function<monotonic_time()> now; ///< Present time of the monotonic clock.
    std::function<wall_time()> wallNow; ///< Present Unix wall time.
    std::function<void(duration, std::function<void()>)> callAfter; ///< Calls back once after a delay, never from
                                                                    ///< inside the call.
};
} // namespace poplarpass::core
