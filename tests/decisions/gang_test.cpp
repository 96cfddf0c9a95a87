#include "jobs_fixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id jobId{"00000000000000aa"};
/// \brief Lets the leases of all workers end that run \p orders, and starts these runs again on the other workers.
auto replaceRuns(jobs::job_engine &engine, const std::vector<jobs::start_order> &orders)
    -> std::vector<jobs::start_order>
{
    for (const auto &order : orders) {
        auto running = report();
        running.running = {{jobs::nameOf(order.task), order.run, {}, 50, 0}};
        engine.onReport(order.worker, running, at(3000), at(3000));
    }
    for (auto &[id, slot] : engine.workers().all()) {
        if (slot.placed.empty()) {
            engine.onReport(id, report(), at(5000), at(5000));
        } else {
            engine.workers().find(id)->leaseEnd = at(5000);
            engine.onNoReport(id, at(4000));
        }
    }
    return startAll(engine, 5200);
}

/// \brief A gang of two that was lost with the leases of its workers and runs again on two others.
struct replaced_gang
{
    jobs::job_engine engine = engineWith({worker("a"), worker("b"), worker("c"), worker("d")});
    std::vector<jobs::start_order> first;
    std::vector<jobs::start_order> second;

    replaced_gang()
    {
        auto gang = step(2);
        gang.gang = true;
        gang.antiAffinity = 1;
        engine.submit(jobId, queue(), jobOf({gang}), wallAt(0));
        first = startAll(engine, 10);
        second = replaceRuns(engine, first);
    }

    /// \brief Reports the end of the first run of member \p index as done.
    auto reportLateEnd(std::size_t index) -> void
    {
        auto ends = report();
        ends.ended = {endOf(1, first[index], jobs::end_kind::done)};
        engine.onReport(first[index].worker, ends, at(5300), at(5310));
    }
};
} // namespace

// Guards against a gang that waits for ever: only the member with the late end was done, so the rest never started.
TEST_CASE("The late end of one member finishes the whole gang and stops its newer run", "[jobs]")
{
    const auto member = GENERATE(0U, 1U);
    replaced_gang gang;
    REQUIRE(gang.first.size() == 2);
    REQUIRE(gang.second.size() == 2);
    REQUIRE(gang.second[0].run == 2);
    gang.engine.drainOrders();
    gang.reportLateEnd(member);
    CHECK(gang.engine.find(jobId)->phase == jobs::multistep_job_phase::completed);
    const auto stops = gang.engine.drainOrders().stops;
    REQUIRE(stops.size() == 2);
    for (std::size_t index = 0; index < stops.size(); ++index) {
        CHECK(stops[index].worker == gang.second[index].worker);
        CHECK(stops[index].run == 2);
    }
}

// Guards against a gang that an earlier build left with one member done: it could never start again.
TEST_CASE("A gang that was stored with only some members done is finished when it is restored", "[jobs]")
{
    replaced_gang gang;
    auto stored = *gang.engine.find(jobId);
    stored.tasks[0].phase = jobs::task_phase::done;
    auto restored = jobs::makeJob(jobId, stored.queue, stored.spec, stored.acceptedAt);
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(stored)));
    jobs::job_engine next{nullptr};
    next.restore(std::move(restored), at(6000), at(6000));
    CHECK(next.find(jobId)->phase == jobs::multistep_job_phase::completed);
    CHECK(next.drainOrders().stops.size() == 1);
    CHECK(next.isChanged(jobId));
}

TEST_CASE("The late end of a superseded run does not finish a long-running task", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    auto serving = step(1, 9000);
    serving.longRunning = true;
    engine.submit(jobId, queue(), jobOf({serving}), wallAt(0));
    const auto first = startAll(engine, 10);
    REQUIRE(first.size() == 1);
    REQUIRE(replaceRuns(engine, first).size() == 1);
    auto ends = report();
    ends.ended = {endOf(1, first[0], jobs::end_kind::done)};
    engine.onReport(first[0].worker, ends, at(5300), at(5310));
    CHECK(engine.find(jobId)->phase == jobs::multistep_job_phase::active);
    CHECK(engine.find(jobId)->unfinished == 1);
}

// Guards against a gang that is given up after one attempt because each member's end counted (review case 5).
TEST_CASE("A gang fails when as many of its runs failed as the queue allows, however many members report it", "[jobs]")
{
    constexpr std::uint32_t maxAttempts = 3;
    const auto reporting = GENERATE(1U, 4U);
    auto engine = engineWith({worker("a"), worker("b")});
    auto gang = step(4, 1000);
    gang.gang = true;
    engine.submit(jobId, queue(maxAttempts), jobOf({gang}), wallAt(0));
    std::map<jobs::worker_id, std::uint64_t> ends;
    std::int64_t now = 0;
    for (std::uint32_t attempt = 1; attempt <= maxAttempts; ++attempt) {
        CHECK(engine.find(jobId)->phase == jobs::multistep_job_phase::active);
        std::vector<jobs::start_order> members;
        for (int tries = 0; tries < 200 && members.empty(); ++tries) {
            now += 100;
            engine.onReport(jobs::worker_id{"a"}, report(), at(now), at(now));
            engine.onReport(jobs::worker_id{"b"}, report(), at(now), at(now));
            members = startAll(engine, now);
        }
        REQUIRE(members.size() == 4);
        CHECK(members[0].run == attempt);
        now += 100;
        for (std::size_t index = 0; index < members.size(); ++index) {
            const auto how = index < reporting ? jobs::end_kind::failed : jobs::end_kind::broken;
            auto failure = report();
            failure.ended = {endOf(++ends[members[index].worker], members[index], how)};
            engine.onReport(members[index].worker, failure, at(now), at(now));
        }
    }
    CHECK(engine.find(jobId)->phase == jobs::multistep_job_phase::failed);
}
