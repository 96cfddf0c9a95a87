#include "host_fixture.h"

#include <poplarpass/host/constants.h>
#include <poplarpass/host/worker_links.h>
#include <poplarpass/jobs/constants.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{
constexpr std::int64_t incarnation = 5;
const jobs::worker_id workerId{"w1"};

constexpr std::uint64_t endNumber = 7;

/// \brief Which renewals the worker of a links_fixture answers.
enum class answered_renewals {
    first,
    all,
};

/// \brief Links to one worker, which has reported an end.
struct links_fixture
{
    fakes::stepped_time time;
    core::time_source clock = time.source();
    poplarpass::observe::logger log{discardingLoggerOptions()};
    jobs::job_engine engine{nullptr};
    host::worker_calls calls;
    std::size_t renewals = 0;
    std::uint64_t acknowledgedEnd = 0; ///< Number in the last renewal.
    std::uint64_t token = 0; ///< Fencing token of the last renewal.
    std::uint64_t greatestToken = 0;
    std::int64_t reportedIncarnation = incarnation;
    bool isDeposed = false; ///< Whether the links took a refusal as the sign of a later owner.
    std::unique_ptr<host::worker_links> links;

    explicit links_fixture(answered_renewals answered = answered_renewals::first)
    {
        calls.renew = [this, answered](const host::renewal_call &call, std::function<void(host::renewal_answer)> done) {
            host::renewal_answer answer;
            acknowledgedEnd = call.acknowledgedEnd;
            token = call.target.fencingToken;
            if (++renewals == 1 || answered == answered_renewals::all) {
                answer.outcome = host::renewal_outcome::reported;
                answer.report.incarnation = reportedIncarnation;
                answer.report.ended = {{endNumber, "00000000000000bb.0.0.0", 1, jobs::end_kind::done, {}}};
            }
            time.after(callTime, [done = std::move(done), answer] { done(answer); });
        };
        host::worker_link_hooks hooks;
        hooks.mayOrder = [] {
            return true;
        };
        hooks.onChange = [] {
        };
        hooks.whenStored = [](const std::function<void()> &callback) {
            callback();
        };
        hooks.renewalDelay = [] {
            return host::renewalDelay;
        };
        hooks.greatestToken = [this] {
            return greatestToken;
        };
        hooks.onFenced = [this] {
            isDeposed = true;
        };
        links = std::make_unique<host::worker_links>(clock, calls, engine, log, 1, std::move(hooks));
        jobs::worker_entry entry;
        entry.id = workerId;
        entry.incarnation = incarnation;
        entry.address = "10.0.0.1:80";
        engine.updateWorkers(std::vector{entry}, time.now());
        links->refresh();
        time.runFor(1s);
    }

    /// \brief Returns the number of renewals within the next second, in which the list of workers is read again.
    auto renewalsInNextSecond() -> std::size_t
    {
        const auto before = renewals;
        for (int read = 0; read < 5; ++read) {
            links->refresh();
            time.runFor(200ms);
        }
        return renewals - before;
    }
};
} // namespace

TEST_CASE("A worker that does not answer is asked again after a delay", "[host][workers]")
{
    links_fixture fixture;
    REQUIRE_FALSE(fixture.engine.workers().find(workerId)->responsive);
    const auto count = fixture.renewalsInNextSecond();
    CHECK(count >= 1);
    CHECK(count <= 1s / host::renewalRetryDelay + 1);
}

TEST_CASE("The ended worker of a host under an order is not asked again until its host is back", "[host][workers]")
{
    links_fixture fixture;
    fixture.engine.workers().find(workerId)->leaving = true;
    fixture.time.runFor(host::renewalRetryDelay + 2 * callTime);
    CHECK(fixture.renewalsInNextSecond() == 0);
    fixture.engine.workers().find(workerId)->leaving = false;
    CHECK(fixture.renewalsInNextSecond() >= 1);
}

// Guards against a worker that is kept for ever: each renewal would extend the lease for which it is remembered.
TEST_CASE("A worker without an entry and runs is not asked again until its entry is back", "[host][workers]")
{
    links_fixture fixture{answered_renewals::all};
    fixture.engine.updateWorkers(std::vector<jobs::worker_entry>{}, fixture.time.now());
    REQUIRE(fixture.engine.workers().find(workerId) != nullptr);
    fixture.time.runFor(host::renewalDelay + 2 * callTime);
    CHECK(fixture.renewalsInNextSecond() == 0);
}

// Guards against an end that is acknowledged unseen: the number of the former incarnation was sent to the next one.
TEST_CASE("The ends of a restarted worker are not acknowledged by the number of its earlier incarnation",
          "[host][workers]")
{
    links_fixture fixture{answered_renewals::all};
    auto &slot = *fixture.engine.workers().find(workerId);
    REQUIRE(fixture.acknowledgedEnd == endNumber);
    slot.clockMs = 60'000;
    fixture.calls.start = [](const host::worker_target &, const jobs::start_order &, std::int64_t,
                             const std::function<void(host::start_result)> &done) {
        done({jobs::run_start_answer::started, 100});
    };
    jobs::order_batch orders;
    orders.starts.push_back({workerId, {jobs::job_id{"00000000000000aa"}, 0, 0, 0}, 1, {}, {}, {}, 1});
    const auto before = fixture.renewals;
    fixture.links->send(orders);
    REQUIRE(fixture.time.runUntil([&] { return fixture.renewals > before; }));
    CHECK(fixture.acknowledgedEnd == 0);
}

// Guards against a restart that shows only in the clock of an answer to a start.
TEST_CASE("The clock in the answer to a start shows the restart of a worker", "[host][workers]")
{
    links_fixture fixture;
    auto &slot = *fixture.engine.workers().find(workerId);
    slot.clockMs = 60'000;
    const auto answeredClock = GENERATE(as<std::int64_t>{}, 100, 60'010);
    fixture.calls.start = [&](const host::worker_target &, const jobs::start_order &, std::int64_t,
                              const std::function<void(host::start_result)> &done) {
        done({jobs::run_start_answer::started, answeredClock});
    };
    jobs::order_batch orders;
    orders.starts.push_back({workerId, {jobs::job_id{"00000000000000aa"}, 0, 0, 0}, 1, {}, {}, {}, 1});
    fixture.links->send(orders);
    const bool waitsForLongestLease = slot.leaseEnd - fixture.time.now() > poplarpass::jobs::maxGrantedLease;
    CHECK(waitsForLongestLease == (answeredClock == 100));
}

// Guards against a call to the earlier incarnation of a worker that is carried out after the owner has heard of the
// later one: it began a second run, or acknowledged ends that the owner had not seen.
TEST_CASE("A worker that has restarted is called with a greater fencing token", "[host][workers]")
{
    links_fixture fixture{answered_renewals::all};
    REQUIRE(fixture.token == 1);
    fixture.greatestToken = 40;
    fixture.time.runFor(1s);
    CHECK(fixture.token == 1);
    fixture.reportedIncarnation = incarnation + 1;
    fixture.time.runFor(1s);
    CHECK(fixture.token == 40);
    fixture.greatestToken = 50;
    fixture.time.runFor(1s);
    CHECK(fixture.token == 40);
}

// Guards against an owner that steps down because its own later call with a greater token overtook an earlier one.
TEST_CASE("A call refused for a greater token of the same owner does not depose it", "[host][workers]")
{
    links_fixture fixture{answered_renewals::all};
    std::function<void(host::start_result)> answerStart;
    fixture.calls.start = [&](const host::worker_target &, const jobs::start_order &, std::int64_t,
                              std::function<void(host::start_result)> done) {
        answerStart = std::move(done);
    };
    jobs::order_batch orders;
    orders.starts.push_back({workerId, {jobs::job_id{"00000000000000aa"}, 0, 0, 0}, 1, {}, {}, {}, 1});
    fixture.links->send(orders);
    const bool isOvertaken = GENERATE(true, false);
    fixture.greatestToken = 40;
    fixture.reportedIncarnation = isOvertaken ? incarnation + 1 : incarnation;
    fixture.time.runFor(1s);
    answerStart(jobs::run_start_answer::fenced);
    CHECK(fixture.isDeposed == !isOvertaken);
}
