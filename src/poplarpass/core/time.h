#pragma once

#include <chrono>
#include <cstdint>

namespace poplarpass::core
{
/// \brief Resolution of every time in the decision code.
using duration = std::chrono::microseconds;

/// \brief Tag of the process's monotonic time; it has no now(): adapters pass the time in.
struct monotonic_clock
{
    using duration = core::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by std::chrono
};

/// \brief Tag of Unix wall time; it has no now(): adapters pass the time in.
struct wall_clock
{
    using duration = core::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming): required by std::chrono
};

/// \brief Instant on the process's monotonic clock.
using monotonic_time = monotonic_clock::time_point;

/// \brief Instant of Unix wall time.
using wall_time = wall_clock::time_point;

/// \brief Milliseconds since the Unix epoch of \p time.
constexpr auto toUnixMilliseconds(wall_time time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// \brief Wall time that is \p milliseconds after the Unix epoch.
constexpr auto fromUnixMilliseconds(std::int64_t milliseconds) -> wall_time
{
    return wall_time{std::chrono::milliseconds{milliseconds}};
}
} // namespace poplarpass::core
