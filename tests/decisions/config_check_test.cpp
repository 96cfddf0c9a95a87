#include "fleet_fixture.h"

#include <poplarpass/config.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace tests;
using config::problem_kind;

namespace
{
auto hasProblem(const std::vector<config::config_problem> &problems, problem_kind kind, std::string_view item) -> bool
{
    return std::ranges::any_of(problems,
                               [&](const auto &problem) { return problem.kind == kind && problem.item == item; });
}

auto hostsOf(const fleet_builder &builder) -> std::span<const replication::host_state>
{
    return builder.state.hosts();
}
} // namespace

TEST_CASE("a valid configuration has no errors", "[config]")
{
    CHECK(config::checkConfig(makeConfig(3, 16)).empty());
    CHECK(config::checkConfig({}).empty());
}

TEST_CASE("all errors of a configuration are reported together", "[config]")
{
    auto fleet = makeConfig(2, 16);
    fleet.calendars.push_back(fleet.calendars.front());
    fleet.calendars.push_back({"odd", 900, {{0, 1440, 0}}});
    fleet.profiles.push_back({core::profile_id{"p"}, -0.1, config::loss_domain::host, -1, 1, "gone", 0, 0});
    fleet.pools.push_back({core::pool_id{"q"}, core::profile_id{"gone"}, -4, false});
    fleet.services.push_back({core::service_id{"s"}, core::pool_id{"gone"}, core::profile_id{"gone"}});
    fleet.teams.push_back({core::team_id{""}, -1, -1.0});
    const auto problems = config::checkConfig(fleet);
    CHECK(hasProblem(problems, problem_kind::duplicate_name, "calendar always"));
    CHECK(hasProblem(problems, problem_kind::out_of_range, "calendar odd"));
    CHECK(hasProblem(problems, problem_kind::out_of_range, "profile p"));
    CHECK(hasProblem(problems, problem_kind::unknown_reference, "profile p"));
    CHECK(hasProblem(problems, problem_kind::unknown_reference, "pool q"));
    CHECK(hasProblem(problems, problem_kind::out_of_range, "pool q"));
    CHECK(hasProblem(problems, problem_kind::unknown_reference, "service s"));
    CHECK(hasProblem(problems, problem_kind::out_of_range, "team"));
    CHECK(problems.size() == 15);
}

TEST_CASE("a service may not select a profile that guarantees more than that of its pool", "[config]")
{
    auto fleet = makeConfig(1, 16);
    const auto poolProfile = fleet.profiles.front();
    const auto isRejectedWith = [&](const std::function<void(config::profile &)> &change) {
        auto selected = poolProfile;
        selected.name = core::profile_id{"picked"};
        change(selected);
        auto copy = fleet;
        copy.profiles.push_back(selected);
        copy.services.front().profile = selected.name;
        return hasProblem(config::checkConfig(copy), problem_kind::weaker_pool, "service sp0");
    };
    CHECK(isRejectedWith([](config::profile &selected) { selected.headroom = 0.5; }));
    CHECK(isRejectedWith([](config::profile &selected) { selected.maxLost = 2; }));
    CHECK(isRejectedWith([](config::profile &selected) { selected.lossDomain = config::loss_domain::zone; }));
    CHECK_FALSE(isRejectedWith([](config::profile &selected) { selected.lossDomain = config::loss_domain::host; }));
    CHECK_FALSE(isRejectedWith([](config::profile &selected) { selected.headroom = 0.1; }));
    CHECK_FALSE(isRejectedWith([](config::profile &selected) {
        selected.lossDomain = config::loss_domain::zone;
        selected.maxLost = 0;
    }));
}

TEST_CASE("a revision is rejected when its guarantees do not hold at once", "[config]")
{
    fleet_builder builder;
    builder.build(2, 8, 16);
    const auto &inForce = builder.state.config();
    CHECK(config::checkRevision(makeConfig(2, 25), inForce, hostsOf(builder)).empty());
    const auto problems = config::checkRevision(makeConfig(2, 26), inForce, hostsOf(builder));
    REQUIRE(problems.size() == 2);
    CHECK(problems.front().kind == problem_kind::promise_not_kept);
    CHECK(config::textOf(problems).find("worst_loss_slots=32") != std::string::npos);
    CHECK(config::checkRevision(makeConfig(2, 26), inForce, {}).empty());
}

TEST_CASE("a pool that already has a shortage rejects only revisions that increase it", "[config]")
{
    fleet_builder builder;
    builder.build(1, 8, 24);
    builder.host(replication::host_event::down, "p0-h0");
    builder.host(replication::host_event::down, "p0-h4");
    const auto &inForce = builder.state.config();
    const auto spare = replication::evaluateBudget(inForce.pools.front(), inForce.profiles.front(), hostsOf(builder));
    REQUIRE(spare.spareSlots() < 0);
    CHECK(config::checkRevision(makeConfig(1, 24), inForce, hostsOf(builder)).empty());
    CHECK(config::checkRevision(makeConfig(1, 20), inForce, hostsOf(builder)).empty());
    CHECK_FALSE(config::checkRevision(makeConfig(1, 25), inForce, hostsOf(builder)).empty());
}

TEST_CASE("a pool that has hosts cannot be removed", "[config]")
{
    fleet_builder builder;
    builder.build(2, 8, 16);
    const auto problems = config::checkRevision(makeConfig(1, 16), builder.state.config(), hostsOf(builder));
    CHECK(hasProblem(problems, problem_kind::pool_in_use, "pool p1"));
}
