#include "jobs_fixture.h"

#include <poplarpass/core/wall_clock_filter.h>

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;
using namespace std::chrono_literals;

TEST_CASE("A step of the time of day that is taken back changes no wall time", "[core][clock]")
{
    for (const auto step : {-30s, -2s, 2s, 30s}) {
        CAPTURE(step.count());
        core::wall_clock_filter filter;
        CHECK(filter.update(at(0), wallAt(0)) == wallAt(0));
        for (int second = 1; second <= 50; ++second) {
            const auto elapsed = second * 1000;
            const bool isStepped = second >= 10 && second < 40;
            const auto wall = filter.update(at(elapsed), wallAt(elapsed) + (isStepped ? step : 0s));
            CHECK(wall == wallAt(elapsed));
            CHECK(filter.step() == (isStepped ? step : 0s));
        }
    }
}

TEST_CASE("A step of the time of day that lasts is accepted as a correction", "[core][clock]")
{
    core::wall_clock_filter filter;
    filter.update(at(0), wallAt(0));
    const auto corrected = [&](core::duration elapsed) {
        return filter.update(at(0) + elapsed, wallAt(0) + elapsed + 5s) == wallAt(0) + elapsed + 5s;
    };
    CHECK_FALSE(corrected(1s));
    CHECK_FALSE(corrected(core::clockStepAcceptance));
    CHECK(corrected(core::clockStepAcceptance + 1s));
    CHECK(filter.step() == 0s);
    CHECK(corrected(core::clockStepAcceptance + 2s));
}

TEST_CASE("Small deviations of the time of day are followed", "[core][clock]")
{
    core::wall_clock_filter filter;
    for (std::int64_t reading = 0; reading < 100; ++reading) {
        const auto time = wallAt(reading * 1000) + reading * core::minClockStep / 2;
        CHECK(filter.update(at(reading * 1000), time) == time);
    }
}
