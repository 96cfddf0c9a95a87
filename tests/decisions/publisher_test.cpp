#include "fake_log.h"

#include <catch2/catch.hpp>

using namespace tests;
using replication::publish_result;

namespace
{
auto at(int milliseconds) -> core::monotonic_time
{
    return core::monotonic_time{std::chrono::milliseconds{milliseconds}};
}

struct publisher_fixture
{
    fake_log log;
    replication::publisher publisher;
    replication::log_follower follower;
    replication::record change;

    explicit publisher_fixture(replication::record published, bool readFirst = false)
        : publisher{core::record_id{"mine"}, {at(5000), readFirst, replication::supersededCheckOf(published)}, at(1)}
        , follower{log.decoder(),
                   [this](auto offset, const auto &id, const auto &, const auto &outcome) {
                       publisher.recordApplied(offset, id, outcome);
                   },
                   [this](const auto &state) {
                       publisher.stateReplaced(state);
                   }}
        , change{std::move(published)}
    {
        log.append(core::record_id{"claim"}, replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
        read(0);
    }

    auto read(int milliseconds) -> void
    {
        readToEnd(log, follower, at(milliseconds));
        publisher.observe(follower);
    }

    auto appendAndLoseAnswer(int milliseconds, bool takesEffect) -> void
    {
        REQUIRE(publisher.shouldAppend(at(milliseconds)));
        publisher.appendSent();
        if (takesEffect) {
            log.append(publisher.id(), change);
        }
        publisher.appendCompleted(core::failure(core::error_kind::log_unavailable), at(milliseconds));
    }

    auto result() const -> publish_result
    {
        REQUIRE(publisher.outcome());
        return publisher.outcome()->result;
    }
};

auto revision(std::uint64_t basedOn) -> replication::record
{
    return replication::config_record{basedOn, "ana", "text", makeConfig(1, 8)};
}
} // namespace

TEST_CASE("a record is reported as accepted only after it was read back", "[publisher]")
{
    publisher_fixture fixture{revision(0)};
    REQUIRE(fixture.publisher.shouldAppend(at(1)));
    fixture.publisher.appendSent();
    CHECK_FALSE(fixture.publisher.shouldAppend(at(1)));
    fixture.publisher.appendCompleted(fixture.log.append(fixture.publisher.id(), fixture.change), at(2));
    CHECK_FALSE(fixture.publisher.outcome());
    CHECK_FALSE(fixture.publisher.shouldAppend(at(4000)));
    fixture.read(3);
    CHECK(fixture.result() == publish_result::accepted);
    CHECK(fixture.publisher.outcome()->offset == 2);
}

TEST_CASE("a lost response is resolved by reading, without a second append", "[publisher]")
{
    publisher_fixture fixture{revision(0)};
    fixture.appendAndLoseAnswer(10, true);
    CHECK_FALSE(fixture.publisher.shouldAppend(at(4000)));
    fixture.read(20);
    CHECK(fixture.result() == publish_result::accepted);
}

TEST_CASE("a record is sent again only after the log was read to its end without it", "[publisher]")
{
    publisher_fixture fixture{revision(0)};
    fixture.appendAndLoseAnswer(1000, false);
    fixture.read(900);
    CHECK_FALSE(fixture.publisher.shouldAppend(at(3000)));
    fixture.read(1100);
    CHECK_FALSE(fixture.publisher.shouldAppend(at(1200)));
    fixture.appendAndLoseAnswer(1600, true);
    fixture.log.append(fixture.publisher.id(), fixture.change);
    fixture.read(1700);
    CHECK(fixture.result() == publish_result::accepted);
    CHECK(fixture.follower.state().revision() == 2);
}

TEST_CASE("the later of two concurrent revisions is refused, even if its append never takes effect", "[publisher]")
{
    publisher_fixture fixture{revision(0)};
    fixture.appendAndLoseAnswer(10, false);
    fixture.log.append(core::record_id{"theirs"}, revision(0));
    fixture.read(20);
    CHECK(fixture.result() == publish_result::refused);
    CHECK(fixture.publisher.outcome()->problem->kind == core::error_kind::revision_conflict);
}

TEST_CASE("not_accepted is reported only if the record was never sent", "[publisher]")
{
    publisher_fixture unsent{revision(0), true};
    CHECK_FALSE(unsent.publisher.shouldAppend(at(1000)));
    unsent.publisher.tick(at(4999));
    CHECK_FALSE(unsent.publisher.outcome());
    unsent.publisher.tick(at(5000));
    CHECK(unsent.result() == publish_result::not_accepted);

    publisher_fixture sent{revision(0), true};
    sent.read(1);
    sent.appendAndLoseAnswer(10, false);
    sent.read(20);
    sent.publisher.tick(at(5000));
    CHECK(sent.result() == publish_result::unknown);
}

TEST_CASE("a record skipped by a snapshot is found by its id", "[publisher]")
{
    publisher_fixture fixture{revision(0)};
    fixture.appendAndLoseAnswer(10, true);
    const auto snapshot = fixture.log.replay(2);
    for (const auto &part : fixture.log.snapshotParts(snapshot)) {
        fixture.log.append(replication::snapshotRecordId(part), part);
    }
    fixture.log.trim(3);
    fixture.read(20);
    CHECK(fixture.result() == publish_result::accepted);
    CHECK(fixture.publisher.outcome()->offset == 2);
}

TEST_CASE("a claim is refused after a renewal by the present holder", "[publisher]")
{
    publisher_fixture fixture{replication::control_claim_record{core::member_id{"c1"}, 1, 2, 1}};
    fixture.appendAndLoseAnswer(10, false);
    fixture.log.append(core::record_id{"renewal"}, replication::control_renew_record{1});
    fixture.read(20);
    CHECK(fixture.result() == publish_result::refused);
}
