#include "jobs_sim_world.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

namespace
{
constexpr int scenarioCount = 60;
constexpr std::int64_t faultPhaseMs = 30'000;
constexpr std::int64_t settleLimitMs = 60'000;
} // namespace

TEST_CASE(
    "Simulated faults cause no concurrent, premature or excess runs or runs above a cap, and every acknowledged job "
    "ends",
    "[jobs][sim]")
{
    std::size_t takeovers = 0;
    std::size_t restarts = 0;
    std::size_t capsReached = 0;
    std::size_t crashes = 0;
    for (int scenario = 0; scenario < scenarioCount; ++scenario) {
        const auto seed = tests::baseSeed() + static_cast<std::uint64_t>(scenario);
        INFO("seed " << seed);
        tests::jobs_sim::world world{seed};
        world.run(faultPhaseMs, settleLimitMs);
        for (const auto &violation : world.violations) {
            UNSCOPED_INFO(violation);
        }
        REQUIRE(world.violations.empty());
        REQUIRE(world.settled);
        CHECK(world.submitted > 50);
        takeovers += world.takeovers;
        restarts += world.restarts;
        capsReached += world.capsReached;
        crashes += world.crashes;
    }
    CHECK(takeovers > scenarioCount);
    CHECK(restarts > scenarioCount);
    CHECK(capsReached > scenarioCount);
    CHECK(crashes > scenarioCount);
}
