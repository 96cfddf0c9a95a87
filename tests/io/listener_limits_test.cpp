#include <poplarpass/host/listener_limits.h>

#include <catch2/catch.hpp>

// Guards against shares that together exceed what the process has, or that one request does not fit into.
TEST_CASE("What clients may take of a host leaves room for its own work, and each server has a share", "[host]")
{
    const auto [memoryBytes, maxDescriptors] =
        GENERATE(table<std::size_t, std::size_t>({{64'000'000, 256}, {256'000'000, 4096}, {8'000'000'000, 65536}}));
    const auto limits = poplarpass::host::divideAmongListeners(memoryBytes, maxDescriptors);
    CHECK(limits.callers.memoryBytes + limits.peers.memoryBytes + 2 * limits.status.memoryBytes <= memoryBytes / 3);
    CHECK(limits.callers.maxConnections + limits.peers.maxConnections + 2 * limits.status.maxConnections
          <= maxDescriptors / 4 * 3);
    constexpr std::size_t largestBody = 262'144;
    CHECK(limits.callers.memoryBytes >= 8 * largestBody);
    CHECK(limits.peers.memoryBytes >= 8 * largestBody);
    CHECK(limits.status.memoryBytes >= 900'000);
    CHECK(limits.status.maxConnections >= 8);
}
