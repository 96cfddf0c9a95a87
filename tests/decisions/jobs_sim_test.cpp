#include "jobs_sim_world.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

namespace
{
constexpr int histories = 60;
constexpr std::int64_t troubleMs = 30'000;
constexpr std::int64_t settleLimitMs = 60'000;
} // namespace

TEST_CASE("No task runs twice, too early or too often, and every acknowledged job ends", "[jobs][sim]")
{
    std::size_t takeovers = 0;
    std::size_t restarts = 0;
    for (int history = 0; history < histories; ++history) {
        const auto seed = tests::baseSeed() + static_cast<std::uint64_t>(history);
        INFO("seed " << seed);
        tests::jobs_sim::world world{seed};
        world.play(troubleMs, settleLimitMs);
        for (const auto &breach : world.breaches) {
            UNSCOPED_INFO(breach);
        }
        REQUIRE(world.breaches.empty());
        REQUIRE(world.settled);
        CHECK(world.submitted > 50);
        takeovers += world.takeovers;
        restarts += world.restarts;
    }
    CHECK(takeovers > histories);
    CHECK(restarts > histories);
}
