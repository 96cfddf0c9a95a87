#include "jobs_fixture.h"

#include <poplarpass/jobs/unanswered_starts.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests::jobs_fixture;

// A start without an answer may reach a later incarnation of its worker, which does not know that the run was stopped
// or has ended at an earlier one.
namespace
{
const jobs::job_id jobId{"00000000000000aa"};
const std::string taskName = "00000000000000aa.0.0.0";
const jobs::worker_id workerId{"a"};

auto notCurrent(const jobs::stop_order & /*order*/) -> bool
{
    return false;
}

/// Starts without an answer, one of which was sent to the first incarnation of a worker.
struct starts_fixture
{
    jobs::internal::unanswered_starts starts;

    starts_fixture()
    {
        jobs::start_order order;
        order.worker = workerId;
        order.task = {jobId, 0, 0, 0};
        order.run = 1;
        order.incarnation = 1;
        starts.add(order, at(0));
    }

    auto stopsAt(std::int64_t now, std::int64_t incarnation) -> std::vector<jobs::stop_order>
    {
        return starts.stopsFor(workerId, incarnation, notCurrent, at(now));
    }
};

/// An engine with a task that was done on worker "b" after its first start, on "a", had no answer and was given up.
struct given_up_fixture
{
    jobs::job_engine engine = engineWith({worker("a"), worker("b")});
    jobs::start_order first;

    given_up_fixture()
    {
        engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
        engine.plan(at(10), wallAt(10));
        first = engine.drainOrders().starts.at(0);
        engine.workers().extendLease(*engine.workers().find(first.worker), at(10));
        auto order = first;
        for (std::int64_t now = 910; now <= 2710; now += 900) {
            engine.onReport(first.worker, report(), at(now - 2), at(now - 1));
            engine.onStartAnswer(order, jobs::run_start_answer::unknown, at(now));
            engine.plan(at(now), wallAt(now));
            const auto orders = engine.drainOrders();
            if (!orders.starts.empty()) {
                order = orders.starts.at(0);
            }
        }
        engine.onStopAnswer({first.worker, taskName, 1}, jobs::stop_answer::stopped, at(2720));
        engine.onReport(first.worker, report(), at(2730), at(2731));
        engine.workers().find(first.worker)->pausedUntil = at(60'000);
        finishElsewhere(2740);
    }

    auto finishElsewhere(std::int64_t now) -> void
    {
        engine.onReport(other(), report(), at(now), at(now));
        const auto starts = startAll(engine, now);
        REQUIRE(starts.size() == 1);
        REQUIRE(starts[0].worker == other());
        auto answer = report();
        answer.ended = {endOf(1, starts[0], jobs::end_kind::done)};
        engine.onReport(other(), answer, at(now + 500), at(now + 501));
        REQUIRE(engine.find(jobId)->phase == jobs::multistep_job_phase::completed);
    }

    [[nodiscard]] auto other() const -> jobs::worker_id
    {
        return jobs::worker_id{first.worker.str() == "a" ? "b" : "a"};
    }

    /// \brief Reports a life of the first worker and returns the stops that this orders.
    auto stopsAfterReport(std::int64_t incarnation, std::int64_t now) -> std::vector<jobs::stop_order>
    {
        engine.onReport(first.worker, report(incarnation), at(now), at(now + 1));
        return engine.drainOrders().stops;
    }
};
} // namespace

// Guards against a late start that the next incarnation of its worker carries out because it knows of no stop.
TEST_CASE("Each later incarnation of a worker is ordered to stop a run whose start had no answer", "[jobs]")
{
    starts_fixture fixture;
    CHECK(fixture.stopsAt(100, 1).empty());
    const auto stops = fixture.stopsAt(200, 2);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == taskName);
    CHECK(stops[0].run == 1);
    CHECK(fixture.stopsAt(300, 2).empty());
    CHECK(fixture.stopsAt(800, 2).size() == 1);
    fixture.starts.onStopped(stops[0]);
    CHECK(fixture.stopsAt(2000, 2).empty());
    CHECK(fixture.stopsAt(3000, 3).size() == 1);
}

// Guards against orders without end for a start that can no longer arrive.
TEST_CASE("A start without an answer is forgotten once it can no longer be carried out", "[jobs]")
{
    starts_fixture fixture;
    CHECK(fixture.stopsAt(11'900, 2).size() == 1);
    CHECK(fixture.stopsAt(12'500, 2).empty());
    fixture.starts.removeExpired(at(12'500));
    CHECK(fixture.stopsAt(3000, 3).empty());
}

// Guards against a second run of a task that is done: its first start, which was given up, reaches a restarted worker.
TEST_CASE("A restarted worker is ordered to stop a run that was given up and finished elsewhere", "[jobs]")
{
    given_up_fixture fixture;
    const auto isFirstRun = [](const jobs::stop_order &order) {
        return order.task == taskName && order.run == 1;
    };
    CHECK(std::ranges::none_of(fixture.stopsAfterReport(1, 3500), isFirstRun));
    const auto stops = fixture.stopsAfterReport(2, 4000);
    CHECK(std::ranges::count_if(stops, isFirstRun) == 1);
    fixture.engine.onStopAnswer({fixture.first.worker, taskName, 1}, jobs::stop_answer::stopped, at(4010));
    CHECK(fixture.stopsAfterReport(2, 4600).empty());
    const auto repeated = fixture.stopsAfterReport(3, 5000);
    CHECK(std::ranges::count_if(repeated, isFirstRun) == 1);
}

// Guards against a stop of the task's only run: a restarted worker carried out the start and reports the run.
TEST_CASE("A run that a restarted worker began from a start without an answer goes on", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    const auto order = engine.drainOrders().starts.at(0);
    engine.workers().extendLease(*engine.workers().find(workerId), at(10));
    engine.onNoReport(workerId, at(500));
    auto answer = report(2);
    answer.running.push_back({taskName, 1, {}, 50, 0});
    engine.onReport(workerId, answer, at(700), at(705));
    engine.onStartAnswer(order, jobs::run_start_answer::unknown, at(910));
    engine.onReport(workerId, answer, at(1000), at(1005));
    CHECK(engine.find(jobId)->tasks[0].phase == jobs::task_phase::running);
    CHECK(engine.drainOrders().stops.empty());
}
