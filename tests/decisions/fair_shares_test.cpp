#include "jobs_fixture.h"

#include <poplarpass/jobs/backlog_limit.h>
#include <poplarpass/jobs/fair_shares.h>

#include <catch2/catch.hpp>

#include <set>

using namespace tests::jobs_fixture;

namespace
{
constexpr jobs::resources capacity{100'000, 100'000, 0};

auto claim(double weight, std::int64_t useCpu, std::int64_t waitingCpu) -> jobs::share_claim
{
    return {weight, {useCpu, 0, 0}, {waitingCpu, 0, 0}};
}

auto sharesOf(const std::vector<jobs::share_claim> &claims) -> std::vector<double>
{
    return jobs::fairShares(capacity, claims);
}

auto flood() -> jobs::account_backlog
{
    return {true, true, 1000, 10};
}

const jobs::job_id id{"00000000000000aa"};
} // namespace

TEST_CASE("Accounts that want more than a pool has share it by weight", "[jobs][accounts]")
{
    const auto shares = sharesOf({claim(1, 0, 500'000), claim(3, 100'000, 500'000)});
    CHECK(shares[0] == Approx(0.25));
    CHECK(shares[1] == Approx(0.75));
}

// Guards against a share that a small account does not want being lost.
TEST_CASE("What an account does not want goes to the others by weight", "[jobs][accounts]")
{
    const auto shares = sharesOf({claim(2, 0, 10'000), claim(1, 0, 500'000), claim(2, 0, 500'000)});
    CHECK(shares[0] == Approx(0.1));
    CHECK(shares[1] == Approx(0.3));
    CHECK(shares[2] == Approx(0.6));
}

TEST_CASE("An account alone gets all, also with the smallest of weights", "[jobs][accounts]")
{
    CHECK(sharesOf({claim(0.001, 0, 500'000), claim(188, 0, 0)})[0] == Approx(1.0));
    CHECK(sharesOf({claim(1, 20'000, 30'000)})[0] == Approx(0.5));
}

// Guards against the demand of a large weight hiding that of a small one, whose share would be rounded away.
TEST_CASE("Weights from 1 to 188 are shared exactly", "[jobs][accounts]")
{
    std::vector<jobs::share_claim> claims;
    auto total = 0.0;
    for (int weight = 1; weight <= 188; ++weight) {
        claims.push_back(claim(weight, 0, 500'000));
        total += weight;
    }
    const auto shares = sharesOf(claims);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        CHECK(shares[index] == Approx((static_cast<double>(index) + 1) / total));
    }
}

// Guards against counting only processor time: an account that fills the memory would take the whole pool.
TEST_CASE("Shares count the resource of which an account wants the larger fraction", "[jobs][accounts]")
{
    const std::vector<jobs::share_claim> claims{{1, {}, {100'000, 10'000, 0}}, {1, {}, {10'000, 100'000, 0}}};
    const auto shares = jobs::fairShares(capacity, claims);
    CHECK(shares[0] == Approx(1 / 1.1));
    CHECK(shares[1] == Approx(1 / 1.1));
}

// Guards against a resource that is used up ending the sharing of the other one.
TEST_CASE("An account that needs no processor time gets the memory that the others leave", "[jobs][accounts]")
{
    const std::vector<jobs::share_claim> claims{
        {1, {}, {200'000, 0, 0}}, {1, {}, {200'000, 0, 0}}, {1, {}, {0, 80'000, 0}}};
    const auto shares = jobs::fairShares(capacity, claims);
    CHECK(shares[0] == Approx(0.5));
    CHECK(shares[1] == Approx(0.5));
    CHECK(shares[2] == Approx(0.8));
}

TEST_CASE("Without claims or without capacity there is nothing to share", "[jobs][accounts]")
{
    CHECK(sharesOf({}).empty());
    CHECK(jobs::fairShares({}, std::vector{claim(1, 0, 1000)})[0] == 0.0);
}

TEST_CASE("An account over its share in a full pool may wait for three objectives", "[jobs][accounts]")
{
    using namespace std::chrono_literals;
    CHECK(jobs::backlogRetryAfter(flood(), 20s, id));
    CHECK_FALSE(jobs::backlogRetryAfter(flood(), 34s, id));
}

// Guards against refusals of accounts that harm nobody.
TEST_CASE("No backlog is refused while the pool has room or the account is within its share", "[jobs][accounts]")
{
    using namespace std::chrono_literals;
    auto backlog = flood();
    backlog.isPoolFull = false;
    CHECK_FALSE(jobs::backlogRetryAfter(backlog, 1s, id));
    backlog = flood();
    backlog.isOverShare = false;
    CHECK_FALSE(jobs::backlogRetryAfter(backlog, 1s, id));
}

// Guards against refusals of jobs that would only start late: a played flood served fewer callers with a bound of a few
// seconds than with none.
TEST_CASE("A backlog may take a minute, whatever the objective", "[jobs][accounts]")
{
    using namespace std::chrono_literals;
    CHECK_FALSE(jobs::backlogRetryAfter({true, true, 599, 10}, 100ms, id));
    CHECK(jobs::backlogRetryAfter({true, true, 601, 10}, 100ms, id));
    CHECK(jobs::backlogRetryAfter({true, true, 1, 0}, 100ms, id));
}

// Guards against callers that all return at the same time, and against endless or empty waits.
TEST_CASE("A refused caller retries after 30 to 45 seconds, spread by its identifier", "[jobs][accounts]")
{
    using namespace std::chrono_literals;
    std::set<std::int64_t> delays;
    for (int number = 0; number < 200; ++number) {
        const auto delay = jobs::backlogRetryAfter({true, true, 1e9, 0}, 2s, jobs::job_id{std::to_string(number)});
        REQUIRE(delay);
        CHECK(delay->count() >= 30);
        CHECK(delay->count() <= 45);
        delays.insert(delay->count());
    }
    CHECK(delays.size() == 16);
    CHECK(jobs::backlogRetryAfter({true, true, 1e9, 0}, 2s, id)
          == jobs::backlogRetryAfter({true, true, 1e9, 0}, 2s, id));
}
