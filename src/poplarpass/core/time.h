#pragma once

#include <chrono>
#include <cstdint>

namespace poplarpass::core
{
/// \brief Duration type of the decision code, with microsecond resolution.
using duration = std::chrono::microseconds;

/// \brief Clock type of the process's monotonic time. Has no now(), as adapters pass the time in.
struct monotonic_clock
{
    using duration = core::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by std::chrono
};

/// \brief Clock type of Unix wall time. Has no now(), as adapters pass the time in.
struct wall_clock
{
    using duration = core::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming): required by std::chrono
};

/// \brief Time point of the process's monotonic clock.
using monotonic_time = monotonic_clock::time_point;

/// \brief Time point of Unix wall time.
using wall_time = wall_clock::time_point;

/// \brief Returns \p time as milliseconds since the Unix epoch.
constexpr auto toUnixMilliseconds(wall_time time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// \brief Returns the wall time \p milliseconds after the Unix epoch.
constexpr auto fromUnixMilliseconds(std::int64_t milliseconds) -> wall_time
{
    return wall_time{std::chrono::milliseconds{milliseconds}};
}
} // namespace poplarpass::core
