#include <poplarpass/app/clock.h>

#include <chrono>
#include <ctime>

namespace poplarpass::app
{
auto monotonicNow() -> core::monotonic_time
{
    // CLOCK_BOOTTIME advances while the host is suspended, so leases expire during a suspend; CLOCK_MONOTONIC stops.
    std::timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    return core::monotonic_time{std::chrono::duration_cast<core::duration>(sinceBoot)};
}

auto wallNow() -> core::wall_time
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return core::wall_time{std::chrono::duration_cast<core::duration>(sinceEpoch)};
}
} // namespace poplarpass::app
