#include "fake_log.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

using namespace tests;

namespace
{
auto renewal() -> replication::record
{
    return replication::control_renew_record{1};
}

auto at(int seconds) -> core::monotonic_time
{
    return core::monotonic_time{std::chrono::seconds{seconds}};
}

struct follower_script
{
    fake_log log;
    replication::log_follower follower{log.decoder()};

    auto renew(int count) -> void
    {
        for (int index = 0; index < count; ++index) {
            log.append(log.freshId(), renewal());
        }
    }

    auto writeSnapshot(const replication::fleet_state &state) -> void
    {
        for (const auto &part : log.snapshotParts(state)) {
            log.append(replication::snapshotRecordId(part), part);
        }
    }

    /// \brief State folded from the whole history, trimmed records included.
    auto truth() const -> replication::fleet_state
    {
        return log.fold(log.nextOffset() - 1);
    }
};
} // namespace

TEST_CASE("a reader starts at the first record of a short log", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(10);
    readToEnd(script.log, script.follower, at(7));
    CHECK(script.follower.hasState());
    CHECK(script.follower.state().digest() == script.truth().digest());
    CHECK(script.follower.readToEndSince() == at(7));
    CHECK(script.follower.digestAt(5) == script.log.fold(5).digest());
    CHECK_FALSE(script.follower.digestAt(99));
}

TEST_CASE("a reader of a trimmed log takes the newest whole snapshot", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(50);
    script.writeSnapshot(script.truth());
    script.renew(30);
    const auto second = script.truth();
    script.writeSnapshot(second);
    script.renew(20);
    script.log.trim(30);
    readToEnd(script.log, script.follower, at(1));
    CHECK(script.follower.state().digest() == script.truth().digest());
    CHECK(script.follower.lastSnapshot() == second.offset());
    CHECK(script.follower.digestAt(second.offset()) == second.digest());
}

TEST_CASE("a snapshot that is cut off by trimming, unfinished or wrong is not taken", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(20);
    const auto parts = script.log.snapshotParts(script.truth());
    REQUIRE(parts.size() > 2);
    auto wrong = parts;
    for (auto &part : wrong) {
        part.digest += 1;
        script.log.append(replication::snapshotRecordId(part), part);
    }
    script.log.append(replication::snapshotRecordId(parts[0]), parts[0]);
    script.renew(5);
    script.log.trim(10);
    readToEnd(script.log, script.follower, at(1));
    CHECK_FALSE(script.follower.hasState());
    CHECK(script.follower.cannotRecover());
    CHECK(script.follower.counts().badSnapshots == 1);
    for (std::size_t index = 1; index < parts.size(); ++index) {
        script.log.append(replication::snapshotRecordId(parts[index]), parts[index]);
    }
    readToEnd(script.log, script.follower, at(2));
    REQUIRE(script.follower.hasState());
    CHECK_FALSE(script.follower.cannotRecover());
    CHECK(script.follower.state().digest() == script.truth().digest());
}

TEST_CASE("a snapshot is of no use when records after it are gone", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(40);
    script.writeSnapshot(script.log.fold(20));
    script.log.trim(22);
    readToEnd(script.log, script.follower, at(1));
    CHECK_FALSE(script.follower.hasState());
    CHECK(script.follower.cannotRecover());

    replication::log_follower later{script.log.decoder()};
    script.writeSnapshot(script.log.fold(21));
    readToEnd(script.log, later, at(2));
    CHECK(later.state().digest() == script.truth().digest());
}

TEST_CASE("the search goes further back while no snapshot is found", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(100);
    script.writeSnapshot(script.truth());
    script.renew(3 * static_cast<int>(replication::searchWindowRecords));
    script.log.trim(50);
    readToEnd(script.log, script.follower, at(1));
    CHECK(script.follower.state().digest() == script.truth().digest());
}

TEST_CASE("a reader that the log was trimmed past goes on from a snapshot", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(10);
    readToEnd(script.log, script.follower, at(1));
    const auto before = script.follower.state().digest();
    script.renew(100);
    script.log.trim(80);
    readToEnd(script.log, script.follower, at(2));
    CHECK(script.follower.cannotRecover());
    CHECK(script.follower.counts().restarts == 1);
    CHECK(script.follower.state().digest() == before);
    CHECK_FALSE(script.follower.readToEndSince());
    script.writeSnapshot(script.truth());
    readToEnd(script.log, script.follower, at(3));
    CHECK(script.follower.state().digest() == script.truth().digest());
    CHECK(script.follower.readToEndSince() == at(3));
}

TEST_CASE("an undecodable record is counted and passed over", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.log.appendBytes(core::record_id{"x"}, "not a record");
    script.renew(1);
    readToEnd(script.log, script.follower, at(1));
    CHECK(script.follower.counts().undecodable == 1);
    CHECK(script.follower.state().offset() == 3);
    CHECK(script.follower.state().control().lastRenewal == 3);
}

TEST_CASE("pages that do not fit and old copies of the log are not applied", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(10);
    readToEnd(script.log, script.follower, at(1));
    const auto digest = script.follower.state().digest();
    platform::log_page old;
    old.nextOffset = 5;
    script.follower.pageRead(12, old, at(2));
    platform::log_page gap;
    gap.nextOffset = 20;
    gap.entries.push_back({14, core::record_id{"g"}, "0"});
    script.follower.pageRead(12, gap, at(2));
    CHECK(script.follower.counts().strangePages == 2);
    CHECK(script.follower.state().digest() == digest);
    CHECK(script.follower.readToEndSince() == at(1));
    script.follower.notePeerOffset(40);
    readToEnd(script.log, script.follower, at(3));
    CHECK(script.follower.readToEndSince() == at(1));
}

TEST_CASE("a peer's state is taken only if it is whole and not older than anything seen", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(10);
    const auto state = script.truth();
    const auto bytes = script.log.encode(state);
    CHECK_FALSE(script.follower.takePeerState("nothing", 0));
    CHECK_FALSE(script.follower.takePeerState(bytes, state.digest() + 1));
    script.follower.notePeerOffset(state.offset() + 1);
    CHECK_FALSE(script.follower.takePeerState(bytes, state.digest()));
    script.log.append(core::record_id{"revision"}, replication::config_record{0, "ana", "text", makeConfig(1, 8)});
    const auto newer = script.truth();
    CHECK(script.follower.takePeerState(script.log.encode(newer), newer.digest()));
    CHECK(script.follower.hasState());
    CHECK_FALSE(script.follower.readToEndSince());
    CHECK_FALSE(script.follower.takePeerState(bytes, state.digest()));
    script.renew(5);
    readToEnd(script.log, script.follower, at(4));
    CHECK(script.follower.state().digest() == script.truth().digest());
}

TEST_CASE("a snapshot that disagrees with the folded state is counted", "[follower]")
{
    follower_script script;
    script.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    script.renew(3);
    readToEnd(script.log, script.follower, at(1));
    auto parts = script.log.snapshotParts(script.truth());
    for (auto &part : parts) {
        part.digest += 1;
        script.log.append(replication::snapshotRecordId(part), part);
    }
    readToEnd(script.log, script.follower, at(2));
    CHECK(script.follower.counts().snapshotMismatches == 1);
    CHECK(script.follower.lastSnapshot() == 0);
}

TEST_CASE("a snapshot is due by records, by time, and before the log trims the last one", "[follower]")
{
    replication::snapshot_policy policy{{100, std::chrono::minutes{10}, 10}};
    policy.noteSnapshot(1000, at(0));
    CHECK_FALSE(policy.isDue(1000, 1, at(5000)));
    CHECK_FALSE(policy.isDue(1099, 1, at(599)));
    CHECK(policy.isDue(1100, 1, at(0)));
    CHECK(policy.isDue(1001, 1, at(600)));
    CHECK(policy.isDue(1099, 980, at(0)));
    CHECK_FALSE(policy.isDue(1099, 800, at(0)));
    const auto parts = policy.split(7, 9, std::string(25, 'x'));
    REQUIRE(parts.size() == 3);
    CHECK(parts.back().bytes.size() == 5);
    CHECK(policy.split(7, 9, "").size() == 1);
}
