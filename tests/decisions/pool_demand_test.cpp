#include "jobs_fixture.h"

#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/pool_demand.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace tests::jobs_fixture;

namespace
{
namespace capacity = poplarpass::capacity;

constexpr std::int64_t tickMs = 20;
constexpr std::int64_t jobWork = 1000;
/// Time from the decision to move a host until tasks start on it.
constexpr std::int64_t moveTimeMs = 1700;

/// Latest start that still meets the objective of a 1 s job with a stretch of 1.6 and a target latency of 0.6 s.
constexpr std::int64_t maxStartDelayMs = 1200;

/// \brief Service level of one pool whose capacity follows the measured load with a delay of moveTimeMs.
struct simulated_load
{
    double inTime = 0; ///< Share of the jobs that started within maxStartDelayMs.
    double provisionedPerOffered = 0; ///< Capacity provided, relative to the work that arrived.
};

/// \brief Simulates jobs of one core-second, served in order of arrival.
/// \param jobsPerSecond arrival rate as a function of the time in milliseconds
auto simulate(const std::function<double(std::int64_t)> &jobsPerSecond, std::int64_t lengthMs) -> simulated_load
{
    jobs::job_engine engine{nullptr};
    capacity::demand_meter meter;
    std::deque<std::int64_t> pendingCapacity;
    std::deque<std::int64_t> waiting;
    std::int64_t arrived = 0;
    std::int64_t inTime = 0;
    std::int64_t provisioned = 0;
    std::int64_t available = 0;
    double arrivals = 0;
    for (std::int64_t time = 0; time < lengthMs; time += tickMs) {
        for (arrivals += jobsPerSecond(time) * tickMs / 1000; arrivals >= 1; --arrivals) {
            const jobs::job_id id{std::to_string(++arrived)};
            meter.onJob(jobs::makeJob(id, queue(), jobOf({step(1, jobWork)}), wallAt(time)), at(time));
            waiting.push_back(time);
        }
        const auto offered = meter.measure(engine, {hostCpu, 32'000, 0}, at(time))[core::pool_id{"pool"}].offered;
        pendingCapacity.push_back(offered + std::ssize(waiting) * jobWork);
        std::int64_t currentCapacity = 4 * hostCpu;
        if (std::ssize(pendingCapacity) > moveTimeMs / tickMs) {
            const auto wanted = static_cast<double>(pendingCapacity.front()) * capacity::headroom;
            currentCapacity = std::max(currentCapacity, static_cast<std::int64_t>(wanted));
            pendingCapacity.pop_front();
        }
        provisioned += currentCapacity * tickMs;
        available = std::min(available, jobWork) + currentCapacity * tickMs / 1000;
        for (; available >= jobWork && !waiting.empty(); available -= jobWork) {
            inTime += time - waiting.front() <= maxStartDelayMs ? 1 : 0;
            waiting.pop_front();
        }
    }
    return {static_cast<double>(inTime) / static_cast<double>(arrived),
            static_cast<double>(provisioned) / static_cast<double>(arrived * jobWork * 1000)};
}
} // namespace

TEST_CASE("A load that ramps up over seconds gets hosts before its callers wait long", "[pool_demand]")
{
    const auto result = simulate(
        [](std::int64_t time) {
            constexpr double calm = 40;
            constexpr double peak = 600;
            constexpr std::int64_t begin = 2000;
            constexpr std::int64_t growth = 3000;
            const auto grown = std::clamp<double>(static_cast<double>(time - begin) / growth, 0, 1);
            return calm + (peak - calm) * grown;
        },
        10'000);
    CHECK(result.inTime > 0.98);
    CHECK(result.provisionedPerOffered < 1.4);
}

TEST_CASE("A sudden rise of the load is measured within milliseconds of its start", "[pool_demand]")
{
    const auto result = simulate([](std::int64_t time) { return time < 2000 ? 40.0 : 250.0; }, 10'000);
    CHECK(result.inTime > 0.93);
    CHECK(result.provisionedPerOffered < 1.4);
}

TEST_CASE("A steady load does not hold more capacity than it needs", "[pool_demand]")
{
    const auto result = simulate([](std::int64_t /*time*/) { return 300.0; }, 60'000);
    CHECK(result.provisionedPerOffered < 1.3);
}

// Guards against hosts that are moved for tasks which their account's cap does not let start.
TEST_CASE("Waiting tasks beyond what the cap leaves are no demand", "[pool_demand][caps]")
{
    const jobs::account_id account{"alpha"};
    auto engine = engineWith({worker("a")});
    const auto setCap = [&](const jobs::resources &cap) {
        const std::vector<jobs::account_limits> all{{account, 1.0, cap}};
        engine.updateAccounts(all);
    };
    const auto waitingIn = [&](const std::string &pool) {
        capacity::demand_meter meter;
        return meter.measure(engine, {hostCpu, 32'000, 0}, at(20))[core::pool_id{pool}].waiting;
    };
    auto other = queue();
    other.pool = core::pool_id{"other"};
    engine.submit(jobs::job_id{"j"}, queue(), jobOf({step(24)}), wallAt(0), account);
    engine.submit(jobs::job_id{"none"}, queue(), jobOf({step(4)}), wallAt(1));
    engine.plan(at(10), wallAt(10));
    REQUIRE(engine.accountUsage().usageOf(account).cpu == 12'000);
    CHECK(waitingIn("pool") == 12'000);

    SECTION("Only whole tasks that fit count")
    {
        setCap({17'500, 0, 0});
        CHECK(waitingIn("pool") == 5000);
    }
    SECTION("What the cap leaves is divided between the pools")
    {
        engine.submit(jobs::job_id{"k"}, other, jobOf({step(12)}), wallAt(0), account);
        setCap({18'000, 0, 0});
        CHECK(waitingIn("pool") == 3000);
        CHECK(waitingIn("other") == 3000);
    }
    SECTION("Below the usage nothing counts")
    {
        setCap({6000, 0, 0});
        CHECK(waitingIn("pool") == 0);
    }
    SECTION("A memory cap limits the demand for processor time")
    {
        setCap({0, 1400, 0});
        CHECK(waitingIn("pool") == 2000);
    }
    SECTION("A gang counts as a whole or not at all")
    {
        auto gang = step(8);
        gang.gang = true;
        engine.submit(jobs::job_id{"g"}, other, jobOf({gang}), wallAt(0), account);
        setCap({13'500, 0, 0});
        CHECK(waitingIn("other") == 0);
        CHECK(waitingIn("pool") == 1000);
    }
}

// Guards against hosts that are moved because an account submits more than it may run.
TEST_CASE("Work that arrives beyond the cap is not offered load", "[pool_demand][caps]")
{
    const jobs::account_id account{"alpha"};
    jobs::job_engine engine{nullptr};
    capacity::demand_meter capped;
    capacity::demand_meter free;
    for (std::int64_t time = 0; time < 1000; time += 5) {
        auto job = jobs::makeJob(jobs::job_id{std::to_string(time)}, queue(), jobOf({step(1)}), wallAt(time));
        free.onJob(job, at(time));
        job.account = account;
        capped.onJob(job, at(time));
    }
    const core::pool_id pool{"pool"};
    const auto offered = free.measure(engine, {hostCpu, 32'000, 0}, at(1000))[pool].offered;
    CHECK(offered > 150'000);
    CHECK(capped.measure(engine, {hostCpu, 32'000, 0}, at(1000))[pool].offered == offered);
    const std::vector<jobs::account_limits> all{{account, 1.0, {30'000, 0, 0}}};
    engine.updateAccounts(all);
    CHECK(capped.measure(engine, {hostCpu, 32'000, 0}, at(1000))[pool].offered == 30'000);
    CHECK(free.measure(engine, {hostCpu, 32'000, 0}, at(1000))[pool].offered == offered);
}

// Guards against hosts that are taken from other pools for long-running tasks that need fewer, or may not start.
TEST_CASE("Hosts for long-running tasks are counted by the scarcest resource, without tasks beyond a cap",
          "[pool_demand][caps]")
{
    const jobs::account_id account{"alpha"};
    const core::pool_id pool{"pool"};
    jobs::job_engine engine{nullptr};
    auto longRunning = step(12, 2000);
    longRunning.longRunning = true;
    longRunning.perTask.memoryMb = 8000;
    auto other = step(4, 4000);
    other.longRunning = true;
    other.perTask.memoryMb = 1000;
    engine.submit(jobs::job_id{"short"}, queue(), jobOf({step(50)}), wallAt(0));
    engine.submit(jobs::job_id{"service"}, queue(), jobOf({longRunning}), wallAt(0), account);
    engine.submit(jobs::job_id{"other"}, queue(), jobOf({other}), wallAt(0));
    capacity::demand_meter meter;
    const auto measured = [&] {
        return meter.measure(engine, {hostCpu, 32'000, 0}, at(10))[pool];
    };
    CHECK(measured().longRunningHosts == 4);
    CHECK(measured().longRunningTasks == 16);
    CHECK(measured().longRunningWaiting == 16);

    const std::vector<jobs::account_limits> all{{account, 1.0, {9000, 0, 0}}};
    engine.updateAccounts(all);
    CHECK(measured().longRunningHosts == 2);
    CHECK(measured().longRunningTasks == 8);
    CHECK(measured().longRunningWaiting == 8);
}
