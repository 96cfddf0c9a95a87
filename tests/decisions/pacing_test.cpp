#include "jobs_fixture.h"

#include <poplarpass/jobs/pacing.h>

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id servingId{"00000000000000aa"};
const jobs::job_id bestEffortId{"00000000000000bb"};

auto servingStep() -> jobs::step_spec
{
    auto spec = step(1, 1000, 0);
    spec.longRunning = true;
    spec.target = std::chrono::milliseconds{40};
    return spec;
}

auto bestEffortStep() -> jobs::step_spec
{
    auto spec = step(1, hostCpu, 1000);
    spec.bestEffort = true;
    return spec;
}

/// \brief Reports the serving task's tail latency in milliseconds and returns the pace orders that follow.
auto pacesAfter(jobs::job_engine &engine, std::int64_t tail, std::int64_t now) -> std::vector<jobs::pace_order>
{
    auto answer = report();
    answer.running = {{jobs::nameOf({servingId, 0, 0, 0}), 1, {}, 100, tail},
                      {jobs::nameOf({bestEffortId, 0, 0, 0}), 1, {}, 10, 3}};
    engine.onReport(jobs::worker_id{"a"}, answer, at(now), at(now));
    return engine.drainOrders().paces;
}
} // namespace

TEST_CASE("Best-effort tasks pause when a tail latency nears its target, and resume in steps", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(servingId, queue(), jobOf({servingStep()}), wallAt(0));
    engine.submit(bestEffortId, queue(), jobOf({bestEffortStep()}), wallAt(0));
    REQUIRE(startAll(engine, 10).size() == 2);
    CHECK(pacesAfter(engine, 20, 500).empty());
    const auto down = pacesAfter(engine, 41, 1000);
    REQUIRE(down.size() == 1);
    CHECK(down[0].percent == 0);
    CHECK(pacesAfter(engine, 20, 1500).empty());
    const auto up = pacesAfter(engine, 20, 2100);
    REQUIRE(up.size() == 1);
    CHECK(up[0].percent == 25);
    CHECK(pacesAfter(engine, 30, 4000).empty());
}

TEST_CASE("Pace drops to zero at once and returns to 100 percent in four steps", "[jobs]")
{
    std::uint32_t pace = 100;
    pace = jobs::internal::nextPace(pace, 1.2, std::chrono::seconds{0});
    CHECK(pace == 0);
    for (const std::uint32_t expected : {25U, 50U, 75U, 100U, 100U}) {
        pace = jobs::internal::nextPace(pace, 0.3, std::chrono::seconds{1});
        CHECK(pace == expected);
    }
    CHECK(jobs::internal::nextPace(50, 0.75, std::chrono::seconds{9}) == 50);
}

TEST_CASE("Best-effort tasks are placed on a worker without serving tasks, if there is one", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(servingId, queue(), jobOf({servingStep()}), wallAt(0));
    const auto first = startAll(engine, 10);
    REQUIRE(first.size() == 1);
    engine.submit(bestEffortId, queue(), jobOf({bestEffortStep()}), wallAt(0));
    const auto second = startAll(engine, 20);
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker != first[0].worker);
}
