#pragma once

#include <poplarpass/core/time.h>

#include <functional>

namespace poplarpass::core
{
/// \brief Clocks and timer of a process, as callbacks, so that tests can run a whole process on simulated time.
struct time_source
{
    std::function<monotonic_time()> now; ///< Current monotonic time.
    std::function<wall_time()> wallNow; ///< Current Unix wall time.
    std::function<void(duration, std::function<void()>)>
        callAfter; ///< Invokes a callback once after a delay, never within the call itself.
};
} // namespace poplarpass::core
