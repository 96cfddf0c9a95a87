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

struct publish_script
{
    fake_log log;
    replication::publisher publisher;
    replication::log_follower follower;
    replication::record change;

    explicit publish_script(replication::record published, bool readFirst = false)
        : publisher{core::record_id{"mine"}, {at(5000), readFirst, replication::overtakenCheckOf(published)}, at(1)}
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
        REQUIRE(publisher.wantsAppend(at(milliseconds)));
        publisher.appendSent();
        if (takesEffect) {
            log.append(publisher.id(), change);
        }
        publisher.appendAnswered(core::failure(core::error_kind::log_unavailable), at(milliseconds));
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

TEST_CASE("accepted is said only after the record was read back", "[publisher]")
{
    publish_script script{revision(0)};
    REQUIRE(script.publisher.wantsAppend(at(1)));
    script.publisher.appendSent();
    CHECK_FALSE(script.publisher.wantsAppend(at(1)));
    script.publisher.appendAnswered(script.log.append(script.publisher.id(), script.change), at(2));
    CHECK_FALSE(script.publisher.outcome());
    CHECK_FALSE(script.publisher.wantsAppend(at(4000)));
    script.read(3);
    CHECK(script.result() == publish_result::accepted);
    CHECK(script.publisher.outcome()->offset == 2);
}

TEST_CASE("a lost answer is resolved by reading, without a second append", "[publisher]")
{
    publish_script script{revision(0)};
    script.appendAndLoseAnswer(10, true);
    CHECK_FALSE(script.publisher.wantsAppend(at(4000)));
    script.read(20);
    CHECK(script.result() == publish_result::accepted);
}

TEST_CASE("the same id is sent again only after reading to the end without seeing it", "[publisher]")
{
    publish_script script{revision(0)};
    script.appendAndLoseAnswer(1000, false);
    script.read(900);
    CHECK_FALSE(script.publisher.wantsAppend(at(3000)));
    script.read(1100);
    CHECK_FALSE(script.publisher.wantsAppend(at(1200)));
    script.appendAndLoseAnswer(1600, true);
    script.log.append(script.publisher.id(), script.change);
    script.read(1700);
    CHECK(script.result() == publish_result::accepted);
    CHECK(script.follower.state().revision() == 2);
}

TEST_CASE("the loser of a race is told, also when its own append stays lost", "[publisher]")
{
    publish_script script{revision(0)};
    script.appendAndLoseAnswer(10, false);
    script.log.append(core::record_id{"theirs"}, revision(0));
    script.read(20);
    CHECK(script.result() == publish_result::refused);
    CHECK(script.publisher.outcome()->problem->kind == core::error_kind::revision_conflict);
}

TEST_CASE("nothing was accepted is said only when nothing was sent", "[publisher]")
{
    publish_script silent{revision(0), true};
    CHECK_FALSE(silent.publisher.wantsAppend(at(1000)));
    silent.publisher.tick(at(4999));
    CHECK_FALSE(silent.publisher.outcome());
    silent.publisher.tick(at(5000));
    CHECK(silent.result() == publish_result::not_accepted);

    publish_script sent{revision(0), true};
    sent.read(1);
    sent.appendAndLoseAnswer(10, false);
    sent.read(20);
    sent.publisher.tick(at(5000));
    CHECK(sent.result() == publish_result::unknown);
}

TEST_CASE("a record passed over by a snapshot is found by its id", "[publisher]")
{
    publish_script script{revision(0)};
    script.appendAndLoseAnswer(10, true);
    const auto snapshot = script.log.fold(2);
    for (const auto &part : script.log.snapshotParts(snapshot)) {
        script.log.append(replication::snapshotRecordId(part), part);
    }
    script.log.trim(3);
    script.read(20);
    CHECK(script.result() == publish_result::accepted);
    CHECK(script.publisher.outcome()->offset == 2);
}

TEST_CASE("a claim that another holder overtook is refused", "[publisher]")
{
    publish_script script{replication::control_claim_record{core::member_id{"c1"}, 1, 2, 1}};
    script.appendAndLoseAnswer(10, false);
    script.log.append(core::record_id{"renewal"}, replication::control_renew_record{1});
    script.read(20);
    CHECK(script.result() == publish_result::refused);
}
