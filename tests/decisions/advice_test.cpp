#include "jobs_fixture.h"

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id jobId{"00000000000000aa"};

auto advisedQueue() -> jobs::queue_policy
{
    auto policy = queue();
    policy.advice = jobs::advice_policy{std::chrono::milliseconds{5}, std::chrono::milliseconds{2},
                                        std::chrono::milliseconds{3000}};
    return policy;
}

/// \brief Plans and returns the advice requests that were created.
auto adviceRequestsAt(jobs::job_engine &engine, std::int64_t now) -> std::vector<jobs::advice_request>
{
    for (const auto *id : {"a", "b"}) {
        auto answer = report();
        for (const auto &task : engine.workers().find(jobs::worker_id{id})->placed) {
            answer.running.push_back({jobs::nameOf(task), 1, {}, 5, 0});
        }
        engine.onReport(jobs::worker_id{id}, answer, at(now), at(now));
    }
    engine.plan(at(now), wallAt(now));
    return engine.drainAdviceRequests();
}
} // namespace

TEST_CASE("A start on a queue with advice waits for a ticket and contains it", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(jobId, advisedQueue(), jobOf({step(2)}), wallAt(0));
    const auto requests = adviceRequestsAt(engine, 10);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].step == "00000000000000aa.0.0");
    CHECK(requests[0].workers.size() == 2);
    CHECK(engine.drainOrders().starts.empty());
    CHECK(adviceRequestsAt(engine, 20).empty());

    engine.onAdvice(requests[0], std::vector<jobs::advice_ticket>{{jobs::worker_id{"b"}, "t-b"}}, at(10), at(30));
    CHECK(adviceRequestsAt(engine, 40).empty());
    const auto starts = engine.drainOrders().starts;
    REQUIRE(starts.size() == 2);
    for (const auto &start : starts) {
        CHECK(start.worker.str() == "b");
        CHECK(start.ticket == "t-b");
    }
}

TEST_CASE("Advice is requested again after it expired or was not answered", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(jobId, advisedQueue(), jobOf({step(1, hostCpu + 1)}), wallAt(0));
    const auto requests = adviceRequestsAt(engine, 10);
    REQUIRE(requests.size() == 1);
    engine.onAdvice(requests[0], std::nullopt, at(10), at(500));
    CHECK(adviceRequestsAt(engine, 510).empty());
    const auto again = adviceRequestsAt(engine, 900);
    REQUIRE(again.size() == 1);
    engine.onAdvice(again[0], std::vector<jobs::advice_ticket>{{jobs::worker_id{"a"}, "t-a"}}, at(900), at(910));
    CHECK(adviceRequestsAt(engine, 3000).empty());
    const auto renewed = adviceRequestsAt(engine, 3950);
    REQUIRE(renewed.size() == 1);
    CHECK(renewed[0].workers == std::vector{jobs::worker_id{"a"}});
}

TEST_CASE("An answer holds for the incarnation in its request, whatever was requested since", "[jobs]")
{
    jobs::advice_cache cache;
    jobs::worker_slot slot;
    slot.entry = worker("a", 1);
    std::vector<jobs::worker_slot *> workers{&slot};
    const auto policy = *advisedQueue().advice;
    const auto first = cache.makeRequest("step-1", policy, workers, at(0));
    REQUIRE(first);
    slot.entry.incarnation = 2;
    REQUIRE(cache.makeRequest("step-2", policy, workers, at(10)));
    const std::vector<jobs::advice_ticket> tickets{{jobs::worker_id{"a"}, "t-a"}};
    cache.storeAnswer(*first, tickets, at(0));
    CHECK(cache.allowed("step-1", workers, at(20)).empty());
    const auto again = cache.makeRequest("step-1", policy, workers, at(20));
    REQUIRE(again);
    cache.storeAnswer(*again, tickets, at(20));
    CHECK(cache.allowed("step-1", workers, at(30)).size() == 1);
}

TEST_CASE("A long-running step that advice permits on no worker of its pool is reported as a mismatch", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    auto longRunning = step(1);
    longRunning.longRunning = true;
    engine.submit(jobId, advisedQueue(), jobOf({longRunning}), wallAt(0));
    const auto requests = adviceRequestsAt(engine, 10);
    REQUIRE(requests.size() == 1);
    engine.drainMismatches();
    engine.onAdvice(requests[0], std::vector<jobs::advice_ticket>{}, at(10), at(30));
    adviceRequestsAt(engine, 40);
    CHECK(engine.drainMismatches().contains(core::pool_id{"pool"}));
}
