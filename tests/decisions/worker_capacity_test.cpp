#include "jobs_fixture.h"

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
const jobs::worker_id workerA{"a"};
const jobs::worker_id workerB{"b"};
const jobs::job_id firstJob{"00000000000000aa"};
const jobs::job_id secondJob{"00000000000000bb"};

auto planAt(jobs::job_engine &engine, std::int64_t now) -> jobs::order_batch
{
    engine.plan(at(now), wallAt(now));
    auto orders = engine.drainOrders();
    for (const auto &order : orders.starts) {
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(now));
    }
    return orders;
}

auto listing(const jobs::start_order &order) -> jobs::renewal_report
{
    auto result = report();
    result.running = {{jobs::nameOf(order.task), order.run, {}, 10, 0}};
    return result;
}
} // namespace

TEST_CASE("A worker is not overcommitted while a superseded run is still being stopped there", "[jobs][capacity]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(firstJob, queue(), jobOf({step(1, hostCpu)}), wallAt(0));
    const auto first = planAt(engine, 10).starts.at(0);
    const auto &other = first.worker == workerA ? workerB : workerA;
    engine.workers().extendLease(*engine.workers().find(first.worker), at(10));
    engine.onNoReport(first.worker, at(100));
    engine.onReport(other, report(), at(6000), at(6000));
    const auto second = planAt(engine, 6010).starts.at(0);
    REQUIRE(second.worker == other);

    // The first worker was only cut off: its run is done, so the second run is stopped.
    auto ends = report();
    ends.ended = {{1, jobs::nameOf(first.task), first.run, jobs::end_kind::done, {}}};
    engine.onReport(first.worker, ends, at(6100), at(6100));
    engine.workers().find(first.worker)->leaving = true;
    REQUIRE(engine.find(firstJob)->phase == jobs::multistep_job_phase::completed);
    engine.submit(secondJob, queue(), jobOf({step(1, hostCpu)}), wallAt(6100));
    const auto orders = planAt(engine, 6110);
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.starts.empty());

    engine.onReport(other, listing(second), at(6200), at(6200));
    CHECK(planAt(engine, 6210).starts.empty());
    engine.onStopAnswer(orders.stops[0], jobs::stop_answer::stopped, at(6220));
    engine.onReport(other, report(), at(6900), at(6900));
    CHECK(planAt(engine, 6910).starts.size() == 1);
}

TEST_CASE("A worker is not overcommitted while it runs what a former owner started in vain", "[jobs][capacity]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(firstJob, queue(), jobOf({step(1, hostCpu)}), wallAt(0));
    auto stray = report();
    stray.running = {{firstJob.str() + ".0.0.0", 7, {}, 10, 0}};
    engine.onReport(workerA, stray, at(5), at(5));
    const auto orders = planAt(engine, 10);
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.starts.empty());
    engine.onStopAnswer(orders.stops[0], jobs::stop_answer::stopped, at(20));
    engine.onReport(workerA, report(), at(700), at(700));
    CHECK(planAt(engine, 710).starts.size() == 1);
}

TEST_CASE("A worker whose capacity shrinks gets no starts until its runs fit again", "[jobs][capacity]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(firstJob, queue(), jobOf({step(2, hostCpu / 2)}), wallAt(0));
    const auto starts = planAt(engine, 10).starts;
    REQUIRE(starts.size() == 2);
    auto shrunk = worker("a");
    shrunk.capacity.cpu = hostCpu / 2;
    engine.updateWorkers({{shrunk}}, at(20));
    engine.submit(secondJob, queue(), jobOf({step(1, 1000)}), wallAt(20));
    auto ends = listing(starts[1]);
    ends.ended = {{1, jobs::nameOf(starts[0].task), starts[0].run, jobs::end_kind::done, {}}};
    engine.onReport(workerA, ends, at(30), at(30));
    CHECK(planAt(engine, 40).starts.empty());
    engine.updateWorkers({{worker("a")}}, at(50));
    CHECK(planAt(engine, 60).starts.size() == 1);
}

TEST_CASE("A pool whose workers' capacity is not known gets no starts, a suspected task included", "[jobs][capacity]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(firstJob, queue(), jobOf({step(1)}), wallAt(0));
    const auto first = planAt(engine, 10).starts.at(0);
    engine.onNoReport(first.worker, at(100));
    engine.onOtherInstance(first.worker, at(100));
    engine.submit(secondJob, queue(), jobOf({step(1)}), wallAt(100));
    engine.setHeldPools({core::pool_id{"pool"}});
    CHECK(planAt(engine, 110).starts.empty());
    engine.setHeldPools({});
    CHECK(planAt(engine, 120).starts.size() == 1);
    CHECK(planAt(engine, 1000).starts.size() == 1);
}
