#include "request_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace tests;

namespace
{
auto makeJob(request::ticket_id ticket, int team, request::urgency level, core::duration expected)
    -> request::admission_request
{
    return {ticket, core::team_id{"t" + std::to_string(team)}, level, expected, request::noDeadline};
}
} // namespace

TEST_CASE("210 teams get slots in proportion to their weights", "[admission]")
{
    constexpr int teams = 210;
    request::admission_queue queue{1'000'000};
    queue.setCapacity(100);
    request::ticket_id ticket = 0;
    std::map<request::ticket_id, int> teamOf;
    const auto at = startInstant().now;
    for (int team = 0; team < teams; ++team) {
        queue.setTeamShare(core::team_id{"t" + std::to_string(team)}, {team % 3 + 1.0});
        for (int job = 0; job < 200; ++job) {
            teamOf[++ticket] = team;
            REQUIRE(queue.submit(makeJob(ticket, team, request::urgency::normal, 100ms), at));
        }
    }
    std::map<int, int> served;
    for (int job = 0; job < 210 * 40; ++job) {
        const auto next = queue.next(1, at);
        REQUIRE(next);
        ++served[teamOf[*next]];
        queue.finished(*next);
    }
    for (int team = 0; team < teams; ++team) {
        CHECK(std::abs(served[team] - 20 * (team % 3 + 1)) <= 2);
    }
}

TEST_CASE("urgent jobs start first, and batch jobs still get their share", "[admission]")
{
    request::admission_queue queue{1'000'000};
    queue.setCapacity(10);
    const auto at = startInstant().now;
    for (request::ticket_id ticket = 1; ticket <= 2000; ++ticket) {
        const auto level = ticket <= 1000 ? request::urgency::batch : request::urgency::normal;
        REQUIRE(queue.submit(makeJob(ticket, 1, level, 100ms), at));
    }
    REQUIRE(queue.submit(makeJob(5000, 2, request::urgency::urgent, 100ms), at));
    CHECK(queue.next(1, at) == 5000);
    int batch = 0;
    for (int job = 0; job < 1000; ++job) {
        batch += *queue.next(1, at) <= 1000 ? 1 : 0;
    }
    CHECK(std::abs(batch - 1000 * request::batchShare) <= 2);
}

TEST_CASE("long jobs leave slots to urgent jobs and are preempted when no slot is free", "[admission]")
{
    request::admission_queue queue{1000};
    queue.setCapacity(20);
    const auto at = startInstant().now;
    REQUIRE(queue.submit(makeJob(1, 1, request::urgency::urgent, 100ms), at));
    CHECK(queue.next(20, at) == 1);
    queue.finished(1);
    std::set<request::ticket_id> running;
    for (request::ticket_id ticket = 10; ticket < 50; ++ticket) {
        REQUIRE(queue.submit(makeJob(ticket, 1, request::urgency::batch, 10min), at));
    }
    for (int free = 20; const auto next = queue.next(free, at); --free) {
        running.insert(*next);
    }
    CHECK(running.size() == 18);
    REQUIRE(queue.submit(makeJob(2, 1, request::urgency::urgent, 100ms), at));
    CHECK(queue.preemptBatchJobs(1, at).empty());
    const auto selected = queue.preemptBatchJobs(0, at);
    REQUIRE(selected.size() == 1);
    CHECK(running.contains(selected[0]));
    CHECK(queue.preemptBatchJobs(0, at).empty());
    queue.requeue(selected[0], at);
    CHECK(queue.next(1, at) == 2);
}

TEST_CASE("a job that cannot meet its deadline is rejected on submission with a retry-after time", "[admission]")
{
    request::admission_queue queue{10'000};
    queue.setCapacity(10);
    const auto at = startInstant().now;
    for (request::ticket_id ticket = 1; ticket <= 1000; ++ticket) {
        REQUIRE(queue.submit(makeJob(ticket, 1, request::urgency::normal, 100ms), at));
    }
    auto job = makeJob(2000, 1, request::urgency::normal, 100ms);
    job.deadline = at + 3s;
    const auto rejected = queue.submit(job, at);
    REQUIRE_FALSE(rejected);
    CHECK(rejected.error().kind == core::error_kind::deadline_unreachable);
    CHECK(*rejected.error().retryAfter > 6s);
    CHECK(*rejected.error().retryAfter < 8s);
    job.team = core::team_id{"another"};
    CHECK(queue.submit(job, at));
    job.ticket = 2001;
    job.deadline = at;
    CHECK(queue.submit(job, at).error().kind == core::error_kind::deadline_passed);
    CHECK(queue.expire(at + 3s) == std::vector<request::ticket_id>{2000});
}

TEST_CASE("quotas limit the queued and the running jobs of a team", "[admission]")
{
    request::admission_queue queue{1000};
    queue.setCapacity(10);
    queue.setTeamShare(core::team_id{"t1"}, {1.0, 3, 2});
    const auto at = startInstant().now;
    for (request::ticket_id ticket = 1; ticket <= 3; ++ticket) {
        REQUIRE(queue.submit(makeJob(ticket, 1, request::urgency::normal, 100ms), at));
    }
    CHECK(queue.submit(makeJob(4, 1, request::urgency::normal, 100ms), at).error().kind
          == core::error_kind::quota_exceeded);
    CHECK(queue.next(10, at));
    CHECK(queue.next(10, at));
    CHECK_FALSE(queue.next(10, at));
    queue.finished(1);
    CHECK(queue.next(10, at) == 3);
}

TEST_CASE("no job is lost or started twice under random events", "[admission]")
{
    std::mt19937_64 random{baseSeed()};
    request::admission_queue queue{300};
    queue.setCapacity(20);
    for (int team = 0; team < 5; ++team) {
        queue.setTeamShare(core::team_id{"t" + std::to_string(team)}, {team + 1.0, 100, 8});
    }
    auto at = startInstant().now;
    std::set<request::ticket_id> waiting;
    std::set<request::ticket_id> running;
    const auto randomElement = [&random](const auto &tickets) {
        return *std::next(tickets.begin(), static_cast<std::ptrdiff_t>(random() % tickets.size()));
    };
    for (request::ticket_id step = 1; step <= 30'000; ++step) {
        at += 1ms;
        const auto event = random() % 10;
        if (event < 4) {
            const auto level = static_cast<request::urgency>(random() % 3);
            auto job = makeJob(step, static_cast<int>(random() % 5), level, core::duration{random() % 3'000'000});
            job.deadline = random() % 3 == 0 ? at + 60s : request::noDeadline;
            if (queue.submit(job, at)) {
                waiting.insert(step);
            }
        } else if (event < 7) {
            if (const auto next = queue.next(20 - static_cast<int>(running.size()), at)) {
                CHECK(waiting.erase(*next) == 1);
                running.insert(*next);
            }
        } else if (event == 7 && !running.empty()) {
            const auto ticket = randomElement(running);
            running.erase(ticket);
            if (random() % 4 == 0) {
                queue.requeue(ticket, at);
                waiting.insert(ticket);
            } else {
                queue.finished(ticket);
            }
        } else if (event == 8 && !waiting.empty()) {
            const auto ticket = randomElement(waiting);
            CHECK(queue.cancel(ticket));
            CHECK_FALSE(queue.cancel(ticket));
            waiting.erase(ticket);
        } else {
            for (const auto ticket : queue.expire(at)) {
                CHECK(waiting.erase(ticket) == 1);
            }
        }
        CHECK(queue.queued() == waiting.size());
        CHECK(queue.running() == running.size());
    }
    for (const auto ticket : running) {
        queue.finished(ticket);
    }
    while (const auto next = queue.next(20, at)) {
        CHECK(waiting.erase(*next) == 1);
        queue.finished(*next);
    }
    CHECK(waiting.empty());
}

TEST_CASE("a pool whose slots open soon accepts jobs that can wait for them, a pool without slots rejects them",
          "[admission]")
{
    request::admission_queue queue{1000};
    queue.setCapacity(0);
    const auto at = startInstant().now;
    auto job = makeJob(1, 1, request::urgency::normal, 100ms);
    job.deadline = at + 20s;
    const auto rejected = queue.submit(job, at);
    REQUIRE_FALSE(rejected);
    CHECK(rejected.error().kind == core::error_kind::deadline_unreachable);
    queue.setExpectedSlotWait(request::leaseRequestTimeout);
    REQUIRE(queue.submit(job, at));
    auto early = makeJob(2, 1, request::urgency::normal, 100ms);
    early.deadline = at + request::leaseRequestTimeout;
    CHECK_FALSE(queue.submit(early, at));
    queue.setCapacity(1);
    CHECK(queue.next(1, at) == 1);
}
