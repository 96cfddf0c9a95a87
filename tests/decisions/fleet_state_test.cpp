#include "fleet_fixture.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <random>

using namespace tests;
using core::error_kind;
using replication::host_event;
using replication::host_phase;

TEST_CASE("of two concurrent revisions the first in the log is accepted", "[fold]")
{
    fleet_builder builder;
    builder.build(2, 8, 16);
    const auto base = builder.state.revision();
    REQUIRE(base > 0);
    const auto first = builder.apply(replication::config_record{base, "ana", "a", makeConfig(2, 12)});
    CHECK(first.accepted);
    CHECK(builder.state.revision() == builder.state.offset());
    const auto second = builder.apply(replication::config_record{base, "bo", "b", makeConfig(2, 14)});
    CHECK_FALSE(second.accepted);
    CHECK(refusalOf(second) == error_kind::revision_conflict);
    CHECK(builder.state.configText() == "a");
}

TEST_CASE("a revision that the hosts cannot satisfy is refused with the slot counts", "[fold]")
{
    fleet_builder builder;
    builder.build(2, 8, 16);
    const auto outcome =
        builder.apply(replication::config_record{builder.state.revision(), "ana", "", makeConfig(2, 26)});
    REQUIRE(refusalOf(outcome) == error_kind::revision_rejected);
    CHECK(outcome.refusal->detail.find("required_slots=33") != std::string::npos);
    CHECK(outcome.refusal->detail.find("short_slots=1") != std::string::npos);
}

TEST_CASE("a member rejoins only with a greater incarnation", "[fold]")
{
    fleet_builder builder;
    builder.build(1, 8, 8);
    const replication::member_join_record join{
        core::member_id{"e1"}, replication::member_kind::entry, 5, "10.0.0.1:1", {}, {}};
    CHECK(builder.apply(join).accepted);
    CHECK(refusalOf(builder.apply(join)) == error_kind::stale_epoch);
    auto again = join;
    again.incarnation = 6;
    CHECK(builder.apply(again).accepted);
    CHECK(builder.state.memberEpoch() == 2);
    CHECK_FALSE(builder.apply(replication::member_leave_record{core::member_id{"e1"}, 5, 0}).accepted);
    CHECK(refusalOf(builder.apply(replication::member_leave_record{core::member_id{"e1"}, 6, 7}))
          == error_kind::stale_epoch);
    CHECK(builder.apply(replication::member_leave_record{core::member_id{"e1"}, 6, 1}).accepted);
    CHECK(builder.state.members().empty());
    CHECK(builder.state.memberEpoch() == 3);
}

TEST_CASE("a claim is accepted only if the role was not renewed in the meantime", "[fold]")
{
    fleet_builder builder;
    builder.build(1, 8, 8);
    const auto seen = builder.state.control().lastRenewal;
    CHECK(builder.apply(replication::control_renew_record{1}).accepted);
    CHECK_FALSE(builder.apply(replication::control_claim_record{core::member_id{"c1"}, 1, 2, seen}).accepted);
    const auto renewal = builder.state.control().lastRenewal;
    CHECK_FALSE(builder.apply(replication::control_claim_record{core::member_id{"c1"}, 1, 3, renewal}).accepted);
    CHECK(builder.apply(replication::control_claim_record{core::member_id{"c1"}, 1, 2, renewal}).accepted);
    CHECK_FALSE(builder.apply(replication::control_renew_record{1}).accepted);
    CHECK(refusalOf(builder.host(host_event::down, "p0-h0")) == error_kind::stale_epoch);
}

TEST_CASE("only valid transitions of the host lifecycle are accepted", "[fold]")
{
    struct host_case
    {
        host_phase phase;
        bool down;
        std::vector<host_event> allowed;
    };
    const std::vector<host_case> cases{
        {host_phase::serving, false, {host_event::leave, host_event::drain_start, host_event::down}},
        {host_phase::serving, true, {host_event::up, host_event::remove}},
        {host_phase::moving_out,
         false,
         {host_event::drained, host_event::drain_cancel, host_event::down, host_event::remove}},
        {host_phase::drained,
         false,
         {host_event::join, host_event::drain_cancel, host_event::down, host_event::remove}},
        {host_phase::drained, true, {host_event::drain_cancel, host_event::up, host_event::remove}},
        {host_phase::draining,
         false,
         {host_event::drain_cancel, host_event::reboot_start, host_event::down, host_event::remove}},
        {host_phase::rebooting, false, {host_event::returned, host_event::down, host_event::remove}},
        {host_phase::rebooting, true, {host_event::returned, host_event::up, host_event::remove}},
    };
    fleet_builder builder;
    builder.build(2, 12, 8);
    builder.apply(replication::wave_record{replication::wave_action::start, core::wave_id{"w"}, {}, "ana", 0});
    for (const auto &each : cases) {
        for (int event = 0; event <= static_cast<int>(host_event::remove); ++event) {
            auto parts = builder.state.parts();
            auto &host = parts.hosts.front();
            host.phase = each.phase;
            host.down = each.down;
            const bool moves = each.phase == host_phase::moving_out || each.phase == host_phase::drained;
            host.movingTo = core::pool_id{moves ? "p1" : ""};
            fleet_builder copy{*replication::fleet_state::fromParts(std::move(parts))};
            const auto kind = static_cast<host_event>(event);
            const auto outcome = copy.host(kind, "p0-h0", "p1", "w", 2);
            const bool allowed = std::ranges::find(each.allowed, kind) != each.allowed.end();
            INFO("phase " << static_cast<int>(each.phase) << " down " << each.down << " event " << event);
            CHECK(outcome.accepted == allowed);
            CHECK(outcome.accepted != outcome.refusal.has_value());
        }
    }
}

TEST_CASE("a move goes through leave, drained and join", "[fold]")
{
    fleet_builder builder;
    builder.build(2, 12, 8);
    REQUIRE(builder.host(host_event::leave, "p0-h0", "p1").accepted);
    CHECK(builder.state.findHost(core::host_id{"p0-h0"})->pool == core::pool_id{"p0"});
    CHECK_FALSE(builder.host(host_event::join, "p0-h0", "p1").accepted);
    REQUIRE(builder.host(host_event::drained, "p0-h0").accepted);
    REQUIRE(builder.host(host_event::join, "p0-h0", "p1").accepted);
    const auto *host = builder.state.findHost(core::host_id{"p0-h0"});
    CHECK(host->pool == core::pool_id{"p1"});
    CHECK(host->generation == builder.state.offset());
    CHECK(host->serves());
    REQUIRE(builder.host(host_event::leave, "p0-h1", "p1").accepted);
    CHECK(refusalOf(builder.host(host_event::leave, "p0-h2", "p1")) == error_kind::budget_exceeded);
    CHECK(builder.host(host_event::leave, "p0-h0", "p0").accepted);
    CHECK(refusalOf(builder.host(host_event::leave, "p0-h3", "p9")) == error_kind::unknown_pool);
}

TEST_CASE("a pool lends and borrows no more hosts than its profile permits", "[fold]")
{
    struct limit_case
    {
        int maxLent;
        int maxBorrowed;
    };
    for (const auto &limits : {limit_case{1, 9}, limit_case{9, 1}}) {
        fleet_builder builder;
        builder.build(2, 12, 8);
        auto fleet = makeConfig(2, 8);
        fleet.profiles.front().maxLent = limits.maxLent;
        fleet.profiles.front().maxBorrowed = limits.maxBorrowed;
        REQUIRE(builder.apply(replication::config_record{builder.state.revision(), "ana", "", fleet}).accepted);
        REQUIRE(builder.host(host_event::leave, "p0-h0", "p1").accepted);
        CHECK(refusalOf(builder.host(host_event::leave, "p0-h1", "p1")) == error_kind::budget_exceeded);
        REQUIRE(builder.host(host_event::drained, "p0-h0").accepted);
        REQUIRE(builder.host(host_event::join, "p0-h0", "p1").accepted);
        CHECK(refusalOf(builder.host(host_event::leave, "p0-h1", "p1")) == error_kind::budget_exceeded);
        REQUIRE(builder.host(host_event::leave, "p0-h0", "p0").accepted);
        REQUIRE(builder.host(host_event::drained, "p0-h0").accepted);
        REQUIRE(builder.host(host_event::join, "p0-h0", "p0").accepted);
        CHECK(builder.host(host_event::leave, "p0-h1", "p1").accepted);
    }
}

TEST_CASE("concurrent drains cannot exceed the budget", "[fold]")
{
    fleet_builder builder;
    builder.build(1, 8, 16);
    builder.apply(replication::wave_record{replication::wave_action::start, core::wave_id{"w"}, {}, "ana", 0});
    CHECK(builder.host(host_event::drain_start, "p0-h0", "", "w").accepted);
    const auto second = builder.host(host_event::drain_start, "p0-h1", "", "w");
    REQUIRE(refusalOf(second) == error_kind::budget_exceeded);
    CHECK(second.refusal->detail.find("limit=capacity") != std::string::npos);
    REQUIRE(builder.host(host_event::reboot_start, "p0-h0", "", "", 1).accepted);
    CHECK_FALSE(builder.host(host_event::returned, "p0-h0", "", "", 1).accepted);
    REQUIRE(builder.host(host_event::returned, "p0-h0", "", "", 2).accepted);
    CHECK_FALSE(builder.host(host_event::drain_start, "p0-h0", "", "w").accepted);
    REQUIRE(builder.host(host_event::down, "p0-h7").accepted);
    const auto afterLoss = builder.host(host_event::drain_start, "p0-h4", "", "w");
    REQUIRE(afterLoss.refusal);
    CHECK(afterLoss.refusal->detail.find("limit=lost_domain") != std::string::npos);
}

TEST_CASE("a paused or finished wave starts no drain", "[fold]")
{
    fleet_builder builder;
    builder.build(2, 12, 8);
    const auto wave = [&builder](replication::wave_action action, std::uint64_t epoch = 0) {
        return builder.apply(replication::wave_record{action, core::wave_id{"w"}, {core::pool_id{"p0"}}, "ana", epoch})
            .accepted;
    };
    CHECK_FALSE(builder.host(host_event::drain_start, "p0-h0", "", "w").accepted);
    CHECK(wave(replication::wave_action::start));
    CHECK_FALSE(wave(replication::wave_action::start));
    CHECK_FALSE(builder.host(host_event::drain_start, "p1-h0", "", "w").accepted);
    CHECK(wave(replication::wave_action::pause));
    CHECK_FALSE(wave(replication::wave_action::pause));
    CHECK_FALSE(builder.host(host_event::drain_start, "p0-h0", "", "w").accepted);
    CHECK(wave(replication::wave_action::resume));
    CHECK(builder.host(host_event::drain_start, "p0-h0", "", "w").accepted);
    CHECK_FALSE(wave(replication::wave_action::finish));
    CHECK(wave(replication::wave_action::finish, 1));
    CHECK_FALSE(wave(replication::wave_action::resume));
}

TEST_CASE("a duplicate is ignored, even of a refused record", "[fold]")
{
    fleet_builder builder;
    builder.build(1, 8, 8);
    const core::record_id id{"claim"};
    const replication::control_renew_record early{2};
    CHECK_FALSE(builder.state.apply(builder.state.offset() + 1, id, early).accepted);
    const auto renewal = builder.state.control().lastRenewal;
    CHECK(builder.apply(replication::control_claim_record{core::member_id{"c1"}, 1, 2, renewal}).accepted);
    const auto again = builder.state.apply(builder.state.offset() + 1, id, early);
    CHECK(again.duplicate);
    CHECK_FALSE(again.accepted);
    CHECK_FALSE(builder.state.findRecord(id)->accepted);
}

TEST_CASE("inconsistent parts are rejected", "[fold]")
{
    fleet_builder builder;
    builder.build(2, 8, 8);
    const auto isRejectedAfter = [&builder](auto corrupt) {
        auto parts = builder.state.parts();
        corrupt(parts);
        return !replication::fleet_state::fromParts(std::move(parts));
    };
    CHECK_FALSE(isRejectedAfter([](replication::state_parts &) {}));
    CHECK(isRejectedAfter([](replication::state_parts &parts) { std::swap(parts.hosts[0], parts.hosts[1]); }));
    CHECK(isRejectedAfter([](replication::state_parts &parts) { parts.hosts[1] = parts.hosts[0]; }));
    CHECK(isRejectedAfter([](replication::state_parts &parts) { parts.revision = parts.offset + 1; }));
    CHECK(isRejectedAfter([](replication::state_parts &parts) { parts.config.profiles.clear(); }));
    CHECK(isRejectedAfter([](replication::state_parts &parts) { parts.recentIds[1].id = parts.recentIds[0].id; }));
}

TEST_CASE("the incremental digest equals the digest of the whole state", "[fold]")
{
    std::mt19937_64 random{baseSeed()};
    fleet_builder builder;
    builder.build(3, 8, 12);
    builder.apply(replication::wave_record{replication::wave_action::start, core::wave_id{"w"}, {}, "ana", 0});
    int accepted = 0;
    for (int step = 0; step < 12000; ++step) {
        const auto event = static_cast<host_event>(1 + random() % 10);
        const auto name = "p" + std::to_string(random() % 3) + "-h" + std::to_string(random() % 8);
        accepted += builder.host(event, name, "p" + std::to_string(random() % 3), "w", random()).accepted ? 1 : 0;
        if (random() % 8 == 0) {
            const auto pool = static_cast<int>(random() % 3);
            accepted += builder.apply(addRecord(makeHost(pool, static_cast<int>(random() % 8)))).accepted ? 1 : 0;
        }
        if (step % 100 == 0) {
            const auto copy = replication::fleet_state::fromParts(builder.state.parts());
            REQUIRE(copy);
            REQUIRE(copy->digest() == builder.state.digest());
        }
    }
    CHECK(accepted > 1000);
    CHECK(builder.state.parts().recentIds.size() == replication::maxRecentIds);
}
