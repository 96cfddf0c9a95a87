#include "fleet_fixture.h"

#include <poplarpass/config/config_diff.h>

#include <catch2/catch.hpp>

using namespace tests;

TEST_CASE("equal configurations have no differences", "[config]")
{
    CHECK(config::diffOf(makeConfig(3, 16), makeConfig(3, 16)).empty());
}

TEST_CASE("differences list each changed item and field", "[config]")
{
    const auto before = makeConfig(2, 16);
    auto after = makeConfig(2, 16);
    after.pools[1].demandSlots = 20;
    after.teams.clear();
    after.services.push_back({core::service_id{"new"}, core::pool_id{"p0"}, core::profile_id{"rack-safe"}});
    after.calendars.front().windows.front().startMinute = 60;
    after.weights.moves = 2.5;
    const auto changes = config::diffOf(before, after);
    REQUIRE(changes.size() == 5);
    const config::item_change pool{
        config::item_kind::pool, "p1", config::change_kind::changed, {{"demand_slots", "16", "20"}}};
    CHECK(std::ranges::find(changes, pool) != changes.end());
    CHECK(config::textOf(changes)
          == "~ calendar always: windows days=127 start=0 length=1440 -> days=127 start=60 length=1440\n"
             "~ pool p1: demand_slots 16 -> 20\n"
             "+ service new: pool p0, profile rack-safe\n"
             "- team desk: quota_slots 40, weight 2\n"
             "~ weights: moves 1 -> 2.5\n");
}

TEST_CASE("the order of items does not affect the differences", "[config]")
{
    const auto before = makeConfig(3, 16);
    auto after = before;
    std::ranges::reverse(after.pools);
    CHECK(config::diffOf(before, after).empty());
}
