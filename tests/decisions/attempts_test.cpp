#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;

namespace
{
auto answerWith(platform::start_outcome outcome, platform::rejection reason = platform::rejection::none)
    -> platform::start_response
{
    platform::start_response answer;
    answer.outcome = outcome;
    answer.reason = reason;
    return answer;
}

constexpr std::array allOutcomes{platform::start_outcome::finished, platform::start_outcome::failed,
                                 platform::start_outcome::stopped, platform::start_outcome::not_started,
                                 platform::start_outcome::uncertain};
} // namespace

TEST_CASE("a non-idempotent job is resent only after proof that it did not start", "[attempts]")
{
    request::retry_budget budget;
    request::attempt_policy policy{budget};
    const request::attempt_history history{false, 1, 0, 0};
    for (const auto outcome : allOutcomes) {
        const auto decision = policy.afterAnswer(history, answerWith(outcome, platform::rejection::unreachable));
        const bool resent = decision.step == request::attempt_step::resend;
        CHECK(resent == (outcome == platform::start_outcome::not_started));
    }
    CHECK(policy.afterAnswer(history, answerWith(platform::start_outcome::uncertain)).step
          == request::attempt_step::query_worker);
    const auto duplicate = answerWith(platform::start_outcome::not_started, platform::rejection::duplicate);
    CHECK(policy.afterAnswer(history, duplicate).step == request::attempt_step::query_worker);
    CHECK_FALSE(policy.tryReserveHedge({false, 1, 1, 0}));
    CHECK_FALSE(request::attempt_policy::hedgeDelay({false, 1, 1, 0}, 1s));
}

TEST_CASE("never_seen proves that a task did not start only after the lease and from the same boot", "[attempts]")
{
    request::retry_budget budget;
    request::attempt_policy policy{budget};
    const request::attempt_history history{false, 1, 0, 0};
    const auto at = startInstant().now;
    const request::uncertain_attempt sent{at, at + 3s, 7};
    platform::task_report report;
    report.bootId = 7;
    CHECK(policy.afterReport(history, sent, report, at + 2999ms).step == request::attempt_step::wait);
    CHECK(policy.afterReport(history, sent, report, at + 3s).step == request::attempt_step::requeue);
    report.bootId = 8;
    const auto rebooted = policy.afterReport(history, sent, report, at + 3s);
    CHECK(rebooted.step == request::attempt_step::finish);
    CHECK(rebooted.answer.error().kind == core::error_kind::outcome_unknown);
    CHECK(policy.afterNoReport(history).answer.error().kind == core::error_kind::outcome_unknown);
}

TEST_CASE("the retry budget prevents a retry storm in a partial outage", "[attempts]")
{
    request::retry_budget budget;
    request::attempt_policy policy{budget};
    int sent = 0;
    constexpr int jobs = 10'000;
    for (int job = 0; job < jobs; ++job) {
        request::attempt_history history{true, 1, 0, 0};
        policy.recordFirstAttempt();
        ++sent;
        while (policy.afterAnswer(history, answerWith(platform::start_outcome::uncertain)).step
               == request::attempt_step::resend) {
            ++history.sent;
            ++sent;
        }
    }
    CHECK(sent <= jobs * (1.0 + request::retryRatio) + request::retryBurst);
    CHECK(sent > jobs);
}

TEST_CASE("late, duplicate, mismatched and unknown answers are distinguished from an attempt's own answer",
          "[attempts]")
{
    request::answer_matcher matcher;
    matcher.open("task-1", "a");
    matcher.open("task-2", "b");
    auto answer = answerWith(platform::start_outcome::finished);
    answer.taskId = "task-2";
    answer.attemptId = "b";
    CHECK(matcher.match("a", answer) == request::answer_match::mismatched);
    CHECK(matcher.match("b", answer) == request::answer_match::own);
    CHECK(matcher.match("b", answer) == request::answer_match::duplicate);
    CHECK(matcher.match("c", answer) == request::answer_match::unknown);
    matcher.abandon("a");
    answer.taskId = "task-1";
    answer.attemptId = "a";
    CHECK(matcher.match("a", answer) == request::answer_match::late);
    CHECK(matcher.count(request::answer_match::own) == 1);
    CHECK(matcher.openCount() == 0);
    const breach_counter breaches;
    request::answer_matcher::requireOwn("task-1", answer);
    CHECK(breaches.kinds().empty());
    request::answer_matcher::requireOwn("task-2", answer);
    CHECK(breaches.kinds() == std::vector{core::invariant_kind::own_whole_answer});
}

TEST_CASE("each attempt gets at most one own answer under random answers in any order", "[attempts]")
{
    std::mt19937_64 random{baseSeed()};
    request::answer_matcher matcher;
    std::map<std::string, int> own;
    for (int step = 0; step < 20'000; ++step) {
        const auto number = std::to_string(random() % 300);
        const auto other = std::to_string(random() % 300);
        if (random() % 3 == 0 && !own.contains(number)) {
            matcher.open("task-" + number, number);
            own[number] = 0;
        }
        auto answer = answerWith(platform::start_outcome::finished);
        const auto answeredTask = random() % 4 == 0 ? other : number;
        answer.taskId = "task-" + answeredTask;
        answer.attemptId = answeredTask;
        const auto matched = matcher.match(number, answer);
        CHECK((answeredTask == number || matched != request::answer_match::own));
        if (matched == request::answer_match::own) {
            CHECK(++own.at(number) == 1);
        }
    }
}

TEST_CASE("a lease runs from the sending of its request and holds for one assignment only", "[lease_table]")
{
    request::lease_table leases;
    const core::host_id host{"w"};
    const core::pool_id pool{"p"};
    const auto at = startInstant().now;
    platform::lease_response report;
    report.leaseId = 5;
    report.leaseTerm = 3s;
    report.pool = pool;
    report.generation = 9;
    CHECK(leases.renewalDue(host, at));
    leases.requestSent(host, at);
    CHECK_FALSE(leases.renewalDue(host, at));
    leases.granted(host, report, at);
    CHECK(leases.usable(host, pool, 9, at + 2999ms)->leaseId == 5);
    CHECK_FALSE(leases.usable(host, pool, 9, at + 3s));
    CHECK_FALSE(leases.usable(host, pool, 10, at));
    CHECK_FALSE(leases.usable(host, core::pool_id{"q"}, 9, at));
    report.leaseId = 4;
    CHECK_FALSE(leases.granted(host, report, at - 1s));
    CHECK(leases.usable(host, pool, 9, at)->leaseId == 5);
    report.bootId = 2;
    CHECK(leases.granted(host, report, at - 1s));
    CHECK_FALSE(leases.usable(host, pool, 9, at + 2s));
    leases.discardLease(host);
    CHECK_FALSE(leases.usable(host, pool, 9, at));
}

TEST_CASE("a host is leaving while at least one source reports it", "[leaving_tracker]")
{
    std::mt19937_64 random{baseSeed()};
    request::leaving_tracker tracker;
    const core::host_id host{"w"};
    std::array<bool, request::leavingSourceCount> reported{};
    auto at = startInstant().now;
    for (int step = 0; step < 2000; ++step) {
        const auto source = random() % reported.size();
        reported[source] = random() % 2 == 0;
        at += 10ms;
        tracker.update(host, static_cast<request::leaving_source>(source), reported[source], at);
        CHECK(tracker.isLeaving(host) == (reported[0] || reported[1] || reported[2]));
    }
    tracker.discardHost(host);
    tracker.update(host, request::leaving_source::control, true, at);
    const breach_counter breaches;
    tracker.requireMaySend(host, at + 2999ms);
    CHECK(breaches.kinds().empty());
    tracker.requireMaySend(host, at + 3s);
    CHECK(breaches.kinds() == std::vector{core::invariant_kind::no_work_when_leaving});
}

TEST_CASE("a first lease is pending until its request is granted, refused or times out", "[lease_table]")
{
    request::lease_table leases;
    const core::host_id host{"w"};
    const auto at = startInstant().now;
    CHECK(leases.awaitsFirstLease(host));
    leases.requestSent(host, at);
    CHECK(leases.awaitsFirstLease(host));
    leases.granted(host, platform::lease_response{}, at);
    CHECK_FALSE(leases.awaitsFirstLease(host));
    leases.discardLease(host);
    CHECK(leases.awaitsFirstLease(host));
    leases.requestSent(host, at);
    leases.requestSent(host, at + request::leaseRequestTimeout);
    CHECK_FALSE(leases.awaitsFirstLease(host));
    leases.discardLease(host);
    leases.requestSent(host, at);
    leases.requestFailed(host);
    CHECK_FALSE(leases.awaitsFirstLease(host));
    leases.requestSent(host, at + 1s);
    CHECK_FALSE(leases.awaitsFirstLease(host));
}
