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

struct follower_fixture
{
    fake_log log;
    replication::log_follower follower{log.decoder()};

    auto renew(int count) -> void
    {
        for (int index = 0; index < count; ++index) {
            log.append(log.newId(), renewal());
        }
    }

    auto writeSnapshot(const replication::fleet_state &state) -> void
    {
        for (const auto &part : log.snapshotParts(state)) {
            log.append(replication::snapshotRecordId(part), part);
        }
    }

    /// \brief State after all records, including trimmed ones.
    auto expectedState() const -> replication::fleet_state
    {
        return log.replay(log.nextOffset() - 1);
    }
};
} // namespace

TEST_CASE("a reader starts at the first record of a short log", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(10);
    readToEnd(fixture.log, fixture.follower, at(7));
    CHECK(fixture.follower.hasState());
    CHECK(fixture.follower.state().digest() == fixture.expectedState().digest());
    CHECK(fixture.follower.caughtUpAt() == at(7));
    CHECK(fixture.follower.digestAt(5) == fixture.log.replay(5).digest());
    CHECK_FALSE(fixture.follower.digestAt(99));
}

TEST_CASE("a reader of a trimmed log installs the newest complete snapshot", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(50);
    fixture.writeSnapshot(fixture.expectedState());
    fixture.renew(30);
    const auto second = fixture.expectedState();
    fixture.writeSnapshot(second);
    fixture.renew(20);
    fixture.log.trim(30);
    readToEnd(fixture.log, fixture.follower, at(1));
    CHECK(fixture.follower.state().digest() == fixture.expectedState().digest());
    CHECK(fixture.follower.lastSnapshot() == second.offset());
    CHECK(fixture.follower.digestAt(second.offset()) == second.digest());
}

TEST_CASE("a trimmed, incomplete or corrupt snapshot is not installed", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(20);
    const auto parts = fixture.log.snapshotParts(fixture.expectedState());
    REQUIRE(parts.size() > 2);
    auto wrong = parts;
    for (auto &part : wrong) {
        part.digest += 1;
        fixture.log.append(replication::snapshotRecordId(part), part);
    }
    fixture.log.append(replication::snapshotRecordId(parts[0]), parts[0]);
    fixture.renew(5);
    fixture.log.trim(10);
    readToEnd(fixture.log, fixture.follower, at(1));
    CHECK_FALSE(fixture.follower.hasState());
    CHECK(fixture.follower.cannotRecover());
    CHECK(fixture.follower.counts().invalidSnapshots == 1);
    for (std::size_t index = 1; index < parts.size(); ++index) {
        fixture.log.append(replication::snapshotRecordId(parts[index]), parts[index]);
    }
    readToEnd(fixture.log, fixture.follower, at(2));
    REQUIRE(fixture.follower.hasState());
    CHECK_FALSE(fixture.follower.cannotRecover());
    CHECK(fixture.follower.state().digest() == fixture.expectedState().digest());
}

TEST_CASE("a snapshot is not used if records after it were trimmed", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(40);
    fixture.writeSnapshot(fixture.log.replay(20));
    fixture.log.trim(22);
    readToEnd(fixture.log, fixture.follower, at(1));
    CHECK_FALSE(fixture.follower.hasState());
    CHECK(fixture.follower.cannotRecover());

    replication::log_follower later{fixture.log.decoder()};
    fixture.writeSnapshot(fixture.log.replay(21));
    readToEnd(fixture.log, later, at(2));
    CHECK(later.state().digest() == fixture.expectedState().digest());
}

TEST_CASE("the search goes further back while no snapshot is found", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(100);
    fixture.writeSnapshot(fixture.expectedState());
    fixture.renew(3 * static_cast<int>(replication::searchWindowRecords));
    fixture.log.trim(50);
    readToEnd(fixture.log, fixture.follower, at(1));
    CHECK(fixture.follower.state().digest() == fixture.expectedState().digest());
}

TEST_CASE("a reader whose next record was trimmed continues from a snapshot", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(10);
    readToEnd(fixture.log, fixture.follower, at(1));
    const auto before = fixture.follower.state().digest();
    fixture.renew(100);
    fixture.log.trim(80);
    readToEnd(fixture.log, fixture.follower, at(2));
    CHECK(fixture.follower.cannotRecover());
    CHECK(fixture.follower.counts().restarts == 1);
    CHECK(fixture.follower.state().digest() == before);
    CHECK_FALSE(fixture.follower.caughtUpAt());
    fixture.writeSnapshot(fixture.expectedState());
    readToEnd(fixture.log, fixture.follower, at(3));
    CHECK(fixture.follower.state().digest() == fixture.expectedState().digest());
    CHECK(fixture.follower.caughtUpAt() == at(3));
}

TEST_CASE("an undecodable record is counted and skipped", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.log.appendBytes(core::record_id{"x"}, "not a record");
    fixture.renew(1);
    readToEnd(fixture.log, fixture.follower, at(1));
    CHECK(fixture.follower.counts().undecodable == 1);
    CHECK(fixture.follower.state().offset() == 3);
    CHECK(fixture.follower.state().control().lastRenewal == 3);
}

TEST_CASE("pages that do not match the read and outdated copies of the log are not applied", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(10);
    readToEnd(fixture.log, fixture.follower, at(1));
    const auto digest = fixture.follower.state().digest();
    platform::log_page old;
    old.nextOffset = 5;
    fixture.follower.pageRead(12, old, at(2));
    platform::log_page gap;
    gap.nextOffset = 20;
    gap.entries.push_back({14, core::record_id{"g"}, "0"});
    fixture.follower.pageRead(12, gap, at(2));
    CHECK(fixture.follower.counts().rejectedPages == 2);
    CHECK(fixture.follower.state().digest() == digest);
    CHECK(fixture.follower.caughtUpAt() == at(1));
    fixture.follower.recordPeerOffset(40);
    readToEnd(fixture.log, fixture.follower, at(3));
    CHECK(fixture.follower.caughtUpAt() == at(1));
}

TEST_CASE("a peer's state is installed only if it is valid and not older than any known offset", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(10);
    const auto state = fixture.expectedState();
    const auto bytes = fixture.log.encode(state);
    CHECK_FALSE(fixture.follower.installPeerState("nothing", 0));
    CHECK_FALSE(fixture.follower.installPeerState(bytes, state.digest() + 1));
    fixture.follower.recordPeerOffset(state.offset() + 1);
    CHECK_FALSE(fixture.follower.installPeerState(bytes, state.digest()));
    fixture.log.append(core::record_id{"revision"}, replication::config_record{0, "ana", "text", makeConfig(1, 8)});
    const auto newer = fixture.expectedState();
    CHECK(fixture.follower.installPeerState(fixture.log.encode(newer), newer.digest()));
    CHECK(fixture.follower.hasState());
    CHECK_FALSE(fixture.follower.caughtUpAt());
    CHECK_FALSE(fixture.follower.installPeerState(bytes, state.digest()));
    fixture.renew(5);
    readToEnd(fixture.log, fixture.follower, at(4));
    CHECK(fixture.follower.state().digest() == fixture.expectedState().digest());
}

TEST_CASE("a snapshot that differs from the local state is counted", "[follower]")
{
    follower_fixture fixture;
    fixture.log.append(core::record_id{"c"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
    fixture.renew(3);
    readToEnd(fixture.log, fixture.follower, at(1));
    auto parts = fixture.log.snapshotParts(fixture.expectedState());
    for (auto &part : parts) {
        part.digest += 1;
        fixture.log.append(replication::snapshotRecordId(part), part);
    }
    readToEnd(fixture.log, fixture.follower, at(2));
    CHECK(fixture.follower.counts().snapshotMismatches == 1);
    CHECK(fixture.follower.lastSnapshot() == 0);
}

TEST_CASE("a snapshot is due by record count, by time, and before the log trims the latest one", "[follower]")
{
    replication::snapshot_policy policy{{100, std::chrono::minutes{10}, 10}};
    policy.recordSnapshot(1000, at(0));
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
