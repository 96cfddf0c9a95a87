#include "fakes/control_world.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

using namespace poplarpass;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{
auto at(core::duration since) -> core::monotonic_time
{
    return core::monotonic_time{since};
}

auto hostStates(const std::vector<platform::listed_host> &listed) -> std::vector<replication::host_state>
{
    std::vector<replication::host_state> hosts;
    for (const auto &one : listed) {
        replication::host_state host;
        host.description = one;
        host.pool = one.pool;
        hosts.push_back(host);
    }
    return hosts;
}

auto anyHost(const replication::host_state &host) -> bool
{
    return host.serves();
}

/// \brief Returns the moves that \p planner chooses over \p length on \p view, called every ten seconds.
auto movesOver(control::move_planner &planner, const control::planning_view &view, core::duration from,
               core::duration length) -> std::vector<control::host_move>
{
    std::vector<control::host_move> all;
    for (auto since = from; since < from + length; since += seconds{10}) {
        const auto moves = planner.choose({view, {}, {}, at(since), anyHost});
        all.insert(all.end(), moves.begin(), moves.end());
    }
    return all;
}
} // namespace

TEST_CASE("demand peaks of a few seconds do not change the forecast", "[control][forecast]")
{
    std::mt19937_64 random{tests::baseSeed()};
    control::demand_forecast forecast;
    const core::pool_id pool{"p"};
    for (int second = 0; second < 3600; ++second) {
        const bool isSurge = second % 45 < 5;
        forecast.addDemand(pool, (isSurge ? 100.0 : 8.0) + static_cast<double>(random() % 3), at(seconds{second}));
        CHECK(forecast.expectedSlots(pool).has_value() == (second >= 300));
    }
    CHECK(forecast.expectedSlots(pool).value() < 25.0);
    CHECK(forecast.meanSlots(pool).value() == Approx(19.2).margin(2.0));
}

TEST_CASE("time without demand reports is left out of the averages", "[control][forecast]")
{
    control::demand_forecast forecast;
    const core::pool_id pool{"p"};
    forecast.addDemand(pool, 40.0, at(seconds{0}));
    forecast.addDemand(pool, 40.0, at(hours{1}));
    CHECK_FALSE(forecast.expectedSlots(pool));
}

TEST_CASE("a lasting shortage borrows one host from the spare pool, and a short one borrows none", "[control][moves]")
{
    double expected = 10.0;
    control::move_planner planner{
        {[&](const core::pool_id &pool) { return std::optional{pool.str() == "p0" ? expected : 10.0}; }, {}}};
    const auto config = fakes::makeConfig(3, 24, config::loss_domain::host, 1, 2);
    auto hosts = hostStates(fakes::makeHosts(3, 8, 3));
    const auto view = control::makePlanningView(config, hosts);
    CHECK(movesOver(planner, view, {}, hours{2}).empty());
    CHECK(control::forecastTolerance(view.weights, 8) == 4);
    expected = 60.0;
    CHECK(movesOver(planner, view, hours{2}, minutes{30}).empty());
    expected = 61.0;
    CHECK(movesOver(planner, view, hours{3}, minutes{2}).empty());
    expected = 10.0;
    CHECK(movesOver(planner, view, hours{4}, minutes{2}).empty());
    expected = 61.0;
    const auto moves = movesOver(planner, view, hours{5}, control::borrowAfter + seconds{10});
    REQUIRE(moves.size() == 1);
    CHECK(moves.front().from.str() == "p2");
    CHECK(moves.front().to.str() == "p0");
}

TEST_CASE("a borrowed host returns when its idle slots have cost as much as two moves", "[control][moves]")
{
    config::planning_weights weights{1.0, 8.0};
    CHECK(control::returnDelay(weights, 8) == hours{2});
    weights.bufferCost = 8.0;
    CHECK(control::returnDelay(weights, 8) == minutes{15});
    weights.moves = 0.0;
    CHECK(control::returnDelay(weights, 8) == control::minReturnAfter);

    const auto config = fakes::makeConfig(3, 24, config::loss_domain::host, 1, 2);
    auto hosts = hostStates(fakes::makeHosts(3, 8, 3));
    hosts[2].pool = core::pool_id{"p0"};
    const auto view = control::makePlanningView(config, hosts);
    control::move_planner planner{{}};
    CHECK(movesOver(planner, view, {}, minutes{14}).empty());
    CHECK(movesOver(planner, view, minutes{14}, minutes{2}).front()
          == control::host_move{hosts[2].description.host, core::pool_id{"p0"}, core::pool_id{"p2"}});
}

TEST_CASE("a dry run stays within the budgets and reports the limit of each step", "[control][plan]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 60; ++round) {
        const auto domain = static_cast<config::loss_domain>(random() % 3);
        auto config = fakes::makeConfig(3, 24, domain, 1, 1 + static_cast<int>(random() % 3));
        config.calendars.front().windows = {{127, static_cast<int>(random() % 1440), 180}};
        auto hosts = hostStates(fakes::makeHosts(3, 8, 3));
        const auto policy = control::leastLossPolicy(config::isOpen);
        const replication::wave_state wave{core::wave_id{"w"}, {}, 1, false, false};
        const auto plan = control::planWave(control::makePlanningView(config, hosts), wave, policy, config::isOpen, {});
        REQUIRE(plan.steps.size() == hosts.size());
        CHECK(plan.unplaced.empty());
        for (const auto &step : plan.steps) {
            CHECK(config::isOpen(config.calendars.front(), step.earliestStart));
            CHECK((step.limit == control::step_limit::none) == step.explanation.empty());
            for (auto &host : hosts) {
                const auto other = std::ranges::find(plan.steps, host.description.host, &control::plan_step::host);
                const auto since = step.earliestStart - other->earliestStart;
                const bool isOut = since >= core::duration::zero() && since < minutes{10};
                host.phase = isOut ? replication::host_phase::draining : replication::host_phase::serving;
            }
            for (std::size_t index = 0; index < config.pools.size(); ++index) {
                const auto budget = replication::evaluateBudget(config.pools[index], config.profiles[index], hosts);
                CHECK(budget.spareSlots() >= 0);
                CHECK(budget.plannedOut <= config.profiles[index].maxOut);
            }
        }
    }
}

TEST_CASE("a host that cannot start within the horizon is listed with its limit", "[control][plan]")
{
    const auto config = fakes::makeConfig(3, 60, config::loss_domain::host, 1, 1);
    const auto hosts = hostStates(fakes::makeHosts(3, 8, 3));
    const replication::wave_state wave{core::wave_id{"w"}, {core::pool_id{"p1"}}, 1, false, false};
    const auto plan = control::planWave(control::makePlanningView(config, hosts), wave,
                                        control::leastLossPolicy(config::isOpen), config::isOpen, {});
    CHECK(plan.steps.empty());
    REQUIRE(plan.unplaced.size() == 8);
    CHECK(plan.unplaced.front().limit == control::step_limit::capacity);
    CHECK(plan.unplaced.front().explanation.find("required_slots=60") != std::string::npos);
}
