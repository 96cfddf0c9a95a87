#include "jobs_fixture.h"

#include <poplarpass/jobs/stragglers.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id jobId{"00000000000000aa"};

/// \brief Returns an engine with one job of three tasks running on three workers, and a fourth, idle worker.
auto engineWithRuns(jobs::step_spec spec) -> jobs::job_engine
{
    auto engine = engineWith({worker("a"), worker("b"), worker("c"), worker("d")});
    spec.antiAffinity = 1;
    engine.submit(jobId, queue(), jobOf({std::move(spec)}), wallAt(0));
    engine.plan(at(0), wallAt(0));
    for (const auto &order : engine.drainOrders().starts) {
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(0));
    }
    return engine;
}

auto reportProgress(jobs::job_engine &engine, std::uint32_t index, std::uint32_t percent, std::int64_t now) -> void
{
    const auto &state = engine.find(jobId)->tasks[index];
    auto answer = report();
    answer.running = {{jobs::nameOf({jobId, 0, 0, index}), state.run, {}, percent, 0}};
    engine.onReport(state.worker, answer, at(now), at(now));
}

auto stopsAfter(jobs::job_engine &engine, std::int64_t now) -> std::vector<jobs::stop_order>
{
    (void)engine.drainOrders();
    engine.plan(at(now), wallAt(now));
    return engine.drainOrders().stops;
}
} // namespace

TEST_CASE("A run that stalls while the others of its step advance is stopped", "[jobs]")
{
    auto engine = engineWithRuns(step(3, 1000, 1000));
    reportProgress(engine, 0, 80, 800);
    reportProgress(engine, 1, 85, 800);
    reportProgress(engine, 2, 4, 800);
    const auto stops = stopsAfter(engine, 1000);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == jobs::nameOf({jobId, 0, 0, 2}));
    CHECK(engine.workers().find(stops[0].worker)->pausedUntil > at(1000));
}

TEST_CASE("Runs with equal progress are not stopped, however wrong the estimate", "[jobs]")
{
    auto engine = engineWithRuns(step(3, 1000, 100));
    for (std::uint32_t index = 0; index < 3; ++index) {
        reportProgress(engine, index, 20, 900);
    }
    CHECK(stopsAfter(engine, 1000).empty());
}

TEST_CASE("A straggler is not stopped when no other worker has the resources", "[jobs]")
{
    auto engine = engineWithRuns(step(3, hostCpu, 1000));
    engine.onNoReport(jobs::worker_id{"d"}, at(0));
    reportProgress(engine, 0, 80, 800);
    reportProgress(engine, 1, 85, 800);
    reportProgress(engine, 2, 4, 800);
    for (const auto *id : {"a", "b", "c", "d"}) {
        if (engine.workers().find(jobs::worker_id{id})->placed.empty()) {
            engine.onNoReport(jobs::worker_id{id}, at(800));
        }
    }
    CHECK(stopsAfter(engine, 1000).empty());
}

TEST_CASE("A long-running task that does not become ready is stopped to start elsewhere", "[jobs]")
{
    auto longRunningStep = step(3, 1000, 0);
    longRunningStep.longRunning = true;
    auto engine = engineWithRuns(longRunningStep);
    for (const std::int64_t time : {1000, 2500, 4000}) {
        reportProgress(engine, 0, 100, time);
        reportProgress(engine, 1, 100, time);
        reportProgress(engine, 2, 30, time);
        for (const auto *id : {"a", "b", "c", "d"}) {
            if (engine.workers().find(jobs::worker_id{id})->placed.empty()) {
                engine.onReport(jobs::worker_id{id}, report(), at(time), at(time));
            }
        }
    }
    const auto stops = stopsAfter(engine, 4100);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == jobs::nameOf({jobId, 0, 0, 2}));
}
