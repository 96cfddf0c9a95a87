#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;

namespace
{
auto makeWorker(int index) -> request::worker_view
{
    request::worker_view worker;
    worker.host = core::host_id{"w" + std::to_string(index)};
    worker.zone = core::zone_id{"z" + std::to_string(index % 3)};
    worker.slots = 8;
    worker.connections = 64;
    worker.cores = 16;
    worker.memoryMb = 32'768;
    return worker;
}

auto makePool(int count, request::placement_policy policy) -> request::worker_pool
{
    request::worker_pool pool{std::move(policy)};
    for (int index = 0; index < count; ++index) {
        pool.addOrUpdate(makeWorker(index));
    }
    return pool;
}

constexpr std::array policyNames{"random", "round_robin", "least_outstanding", "two_choices"};
} // namespace

TEST_CASE("every policy chooses a worker if and only if one can accept the job", "[placement]")
{
    std::mt19937_64 random{baseSeed()};
    for (const auto *name : policyNames) {
        const auto policy = *request::placementByName(name);
        for (int round = 0; round < 500; ++round) {
            std::vector<request::worker_view> workers;
            for (std::uint64_t index = 0; index < random() % 20; ++index) {
                auto worker = makeWorker(static_cast<int>(index));
                worker.otherSlots = random() % 4 == 0 ? 3.0 : 8.0;
                worker.open = random() % 3 != 0;
                worker.cores = random() % 2 == 0 ? 4 : 16;
                workers.push_back(worker);
            }
            request::placement_query query;
            query.cores = 8;
            const auto chosen = policy(query, workers, random);
            const bool anyAccepts =
                std::ranges::any_of(workers, [&](const auto &w) { return request::canAccept(w, query); });
            CHECK(chosen.has_value() == anyAccepts);
            CHECK((!chosen || request::canAccept(workers[*chosen], query)));
        }
    }
    CHECK_FALSE(request::placementByName("best_of_all"));
}

TEST_CASE("used slots are this entry's open jobs plus the reported usage of other entries", "[placement]")
{
    auto pool = makePool(1, request::twoChoicesPlacement());
    std::mt19937_64 random{baseSeed()};
    const core::host_id host{"w0"};
    const auto at = startInstant().now;
    pool.sent(host, at - 1s);
    for (int job = 0; job < 3; ++job) {
        pool.sent(host, at + 1s);
    }
    platform::lease_response report;
    report.usedSlots = 4;
    pool.report(host, report, at);
    CHECK(pool.find(host)->usedSlots() == 7);
    CHECK(pool.freeSlots() == 1);
    pool.ended(host, at + 1s);
    CHECK(pool.find(host)->usedSlots() == 6);
    for (int round = 0; round < 20; ++round) {
        report.usedSlots = 3 + (round % 2) * 2;
        pool.report(host, report, at + 2s);
    }
    CHECK(pool.find(host)->usedSlots() == 4);
    report.usedSlots = 8;
    pool.report(host, report, at + 1s);
    CHECK(pool.find(host)->usedSlots() == 4);
    pool.rejectedNoSlot(host);
    CHECK(pool.choose({}, random) == nullptr);
    pool.ended(host, at + 1s);
    CHECK(pool.choose({}, random) != nullptr);
}

TEST_CASE("open and free slot totals of a pool match its workers under random changes", "[placement]")
{
    std::mt19937_64 random{baseSeed()};
    auto pool = makePool(20, request::twoChoicesPlacement());
    auto at = startInstant().now;
    for (int step = 0; step < 5000; ++step) {
        at += 1ms;
        const core::host_id host{"w" + std::to_string(random() % 25)};
        switch (random() % 6) {
        case 0:
            pool.setOpen(host, random() % 2 == 0);
            break;
        case 1:
            pool.ended(host, at - std::chrono::milliseconds{random() % 50});
            break;
        case 2: {
            platform::lease_response report;
            report.usedSlots = static_cast<int>(random() % 9);
            pool.report(host, report, at);
            break;
        }
        case 3:
            if (random() % 4 == 0) {
                pool.remove(host);
            }
            break;
        case 4:
            pool.addOrUpdate(makeWorker(static_cast<int>(random() % 25)));
            break;
        default:
            pool.sent(host, at);
        }
        int free = 0;
        int open = 0;
        for (const auto &worker : pool.workers()) {
            free += worker.open ? worker.freeSlots() : 0;
            open += worker.open ? worker.slots : 0;
        }
        CHECK(pool.freeSlots() == free);
        CHECK(pool.openSlots() == open);
    }
}

TEST_CASE("a job too large for every worker is distinguished from a full pool", "[placement]")
{
    std::mt19937_64 random{baseSeed()};
    auto pool = makePool(3, request::twoChoicesPlacement());
    request::placement_query largeJob;
    largeJob.cores = 17;
    CHECK_FALSE(pool.fitsAnyWorker(largeJob));
    platform::lease_response full;
    full.usedSlots = 8;
    for (int index = 0; index < 3; ++index) {
        pool.report(core::host_id{"w" + std::to_string(index)}, full, startInstant().now);
    }
    CHECK(pool.fitsAnyWorker({}));
    CHECK(pool.choose({}, random) == nullptr);
}

TEST_CASE("a worker that fails jobs which succeed elsewhere is ejected and then probed with one job at a time",
          "[worker_health]")
{
    request::worker_health health;
    health.setWorkerCount(10);
    const core::host_id bad{"bad"};
    const core::work_kind kind{"search"};
    auto at = startInstant().now;
    for (int job = 0; job < request::ejectionThreshold; ++job) {
        CHECK(health.mayPlace(bad, at));
        health.record(core::host_id{"good"}, kind, request::attempt_result::succeeded, at);
        health.record(bad, kind, request::attempt_result::job_failed, at);
        at += 10ms;
    }
    CHECK(health.stateOf(bad, at) == request::health_state::ejected);
    at += request::initialEjectionTime;
    CHECK(health.mayPlace(bad, at));
    health.sent(bad, at);
    CHECK_FALSE(health.mayPlace(bad, at));
    health.record(bad, kind, request::attempt_result::worker_failed, at);
    CHECK(health.stateOf(bad, at + request::initialEjectionTime) == request::health_state::ejected);
    at += 2 * request::initialEjectionTime;
    health.sent(bad, at);
    health.record(bad, kind, request::attempt_result::succeeded, at);
    CHECK(health.stateOf(bad, at) == request::health_state::healthy);
    CHECK(health.ejectedCount() == 0);
}

TEST_CASE("a kind of work that fails on every worker ejects none of them", "[worker_health]")
{
    std::mt19937_64 random{baseSeed()};
    request::worker_health health;
    health.setWorkerCount(10);
    auto at = startInstant().now;
    const auto hostName = [](std::uint64_t index) {
        return core::host_id{"w" + std::to_string(index)};
    };
    for (int job = 0; job < 2000; ++job) {
        at += 10ms;
        const bool poison = random() % 3 == 0;
        const core::work_kind kind{poison ? "poison" : "search"};
        const auto result = poison ? request::attempt_result::job_failed : request::attempt_result::succeeded;
        health.record(hostName(random() % 10), kind, result, at);
        CHECK(health.ejectedCount() == 0);
    }
}

TEST_CASE("at most a third of the workers is ejected", "[worker_health]")
{
    request::worker_health health;
    health.setWorkerCount(9);
    const auto at = startInstant().now;
    for (int job = 0; job < 100; ++job) {
        const core::host_id host{"w" + std::to_string(job % 9)};
        health.record(host, core::work_kind{"k"}, request::attempt_result::worker_failed, at);
    }
    CHECK(health.ejectedCount() == 3);
}

TEST_CASE("observed run times of a kind replace declared ones that are far off", "[work_estimator]")
{
    std::mt19937_64 random{baseSeed()};
    request::work_estimator estimator;
    const core::work_kind kind{"search"};
    CHECK(estimator.estimate(kind, 60s, 1, 0).typical == 60s);
    std::lognormal_distribution<double> times{std::log(200'000.0), 0.5};
    for (int job = 0; job < 2000; ++job) {
        estimator.recordRunTime(kind, core::duration{static_cast<core::duration::rep>(times(random))});
    }
    const auto estimated = estimator.estimate(kind, 60s, 1, 0);
    CHECK(estimated.observed);
    CHECK(estimated.typical > 150ms);
    CHECK(estimated.typical < 270ms);
    CHECK(estimated.high > 300ms);
    CHECK(estimated.high < 750ms);
    for (std::size_t other = 0; other < 2 * request::maxTrackedKinds; ++other) {
        estimator.recordSize(core::work_kind{std::to_string(other)}, 2, 100);
    }
    CHECK(estimator.size() <= request::maxTrackedKinds);
}
