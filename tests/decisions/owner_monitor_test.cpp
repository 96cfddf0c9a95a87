#include <poplarpass/owner/claim_rank.h>
#include <poplarpass/owner/handover.h>
#include <poplarpass/owner/owner_monitor.h>

#include <catch2/catch.hpp>

namespace core = poplarpass::core;
namespace owner = poplarpass::owner;

namespace
{
auto at(std::int64_t milliseconds) -> core::monotonic_time
{
    return core::monotonic_time{std::chrono::seconds{1000} + std::chrono::milliseconds{milliseconds}};
}

auto record(owner::owner_record_kind kind, std::uint64_t epoch, const std::string &host) -> owner::owner_record
{
    return {kind, epoch, host, "10.0.0.1:7000", owner::shortElectionTimeout};
}

constexpr auto claim = owner::owner_record_kind::claim;
constexpr auto renewal = owner::owner_record_kind::renewal;
constexpr auto resignation = owner::owner_record_kind::resignation;
} // namespace

TEST_CASE("Decoding restores an encoded ownership record, and malformed texts are rejected", "[owner]")
{
    const auto written = record(renewal, 17, "edge-1");
    CHECK(owner::decodeOwnerRecord(owner::encodeOwnerRecord(written)) == written);
    CHECK_FALSE(owner::decodeOwnerRecord(""));
    CHECK_FALSE(owner::decodeOwnerRecord("9 1 a b 1"));
    CHECK_FALSE(owner::decodeOwnerRecord("1 x a b 1"));
    CHECK_FALSE(owner::decodeOwnerRecord("1 2 a b"));
}

TEST_CASE("An owner is replaced after the election timeout while the store is readable", "[owner]")
{
    owner::owner_monitor monitor;
    CHECK_FALSE(monitor.shouldClaim(at(0), "b", 0));
    monitor.onRead(at(0));
    CHECK(monitor.shouldClaim(at(0), "b", 0));
    CHECK_FALSE(monitor.shouldClaim(at(0), "b", 1));
    monitor.onRecord(record(claim, 1, "a"), at(10));
    monitor.onRecord(record(renewal, 1, "a"), at(400));
    CHECK_FALSE(monitor.shouldClaim(at(1300), "b", 0));
    CHECK(monitor.shouldClaim(at(400) + owner::shortElectionTimeout, "b", 0));

    SECTION("an outage of the store does not count towards the election timeout")
    {
        monitor.onReadFailed();
        CHECK_FALSE(monitor.shouldClaim(at(9000), "b", 0));
        monitor.onRead(at(9000));
        CHECK_FALSE(monitor.shouldClaim(at(9100), "b", 0));
        CHECK(monitor.shouldClaim(at(9000) + owner::shortElectionTimeout, "b", 0));
    }
    SECTION("after a resignation another process may claim at once")
    {
        monitor.onRecord(record(resignation, 1, "a"), at(600));
        CHECK(monitor.shouldClaim(at(600), "b", 0));
    }
    SECTION("the owner may be replaced at once by a new process on its host")
    {
        CHECK(monitor.shouldClaim(at(401), "a", 0));
    }
    SECTION("records of an older owner are ignored")
    {
        monitor.onRecord(record(claim, 5, "c"), at(700));
        monitor.onRecord(record(renewal, 1, "a"), at(800));
        REQUIRE(monitor.current());
        CHECK(monitor.current()->host == "c");
    }
}

TEST_CASE("Announcements of an older owner are ignored", "[owner]")
{
    owner::owner_monitor monitor;
    monitor.onRead(at(0));
    monitor.onRecord(record(claim, 3, "a"), at(10));
    CHECK_FALSE(monitor.onAnnouncement(record(claim, 2, "b"), at(20)));
    CHECK(monitor.onAnnouncement(record(claim, 9, "b"), at(20)));
    CHECK(monitor.current()->host == "b");
}

TEST_CASE("Former owners are listed until they resign or their order term ends", "[owner]")
{
    owner::owner_monitor monitor;
    monitor.onRead(at(0));
    monitor.onRecord(record(claim, 1, "a"), at(10));
    monitor.onRecord(record(claim, 5, "b"), at(2000));
    monitor.onRecord(record(resignation, 5, "b"), at(2500));
    CHECK(monitor.formerOwners(9, at(3000)) == std::vector<std::string>{"a"});
    CHECK(monitor.formerOwners(9, at(10) + owner::orderTerm + std::chrono::milliseconds{1}).empty());
}

TEST_CASE("An owner stops answering before the election timeout and sends orders beyond it", "[owner]")
{
    owner::owner_term term{7, at(0)};
    const auto tick = std::chrono::milliseconds{1};
    CHECK(term.epoch() == 7);
    CHECK(term.mayAnswer(at(0) + owner::longElectionTimeout - owner::answerMargin - tick));
    CHECK_FALSE(term.mayAnswer(at(0) + owner::longElectionTimeout - owner::answerMargin));
    CHECK(term.mayOrder(at(0) + owner::longElectionTimeout));
    CHECK_FALSE(term.mayOrder(at(0) + owner::orderTerm));

    // A renewal in flight may already be stored, so its election timeout counts from when it was sent.
    term.onRenewing(at(100), owner::shortElectionTimeout);
    CHECK_FALSE(term.mayAnswer(at(100) + owner::shortElectionTimeout - owner::answerMargin));
    term.onRenewed(at(1000), owner::shortElectionTimeout);
    CHECK(term.mayAnswer(at(1000) + owner::shortElectionTimeout - owner::answerMargin - tick));
    CHECK(term.mayOrder(at(1000) + owner::orderTerm - tick));
    CHECK_FALSE(term.mayOrder(at(1000) + owner::orderTerm));
}

TEST_CASE("A slow store lengthens the election timeout", "[owner]")
{
    CHECK(owner::electionTimeoutFor(owner::quickRenewalLimit) == owner::shortElectionTimeout);
    CHECK(owner::electionTimeoutFor(owner::quickRenewalLimit + std::chrono::milliseconds{1})
          == owner::longElectionTimeout);
    owner::owner_monitor monitor;
    monitor.onRead(at(0));
    auto slow = record(renewal, 1, "a");
    slow.electionTimeout = owner::longElectionTimeout;
    monitor.onRecord(slow, at(0));
    CHECK_FALSE(monitor.shouldClaim(at(0) + owner::shortElectionTimeout, "b", 0));
    CHECK(monitor.shouldClaim(at(0) + owner::longElectionTimeout, "b", 0));
}

TEST_CASE("A small host claims after all others, and among hosts of equal size a recently started one claims first",
          "[owner]")
{
    const owner::host_resources large{0.5, 200};
    const owner::host_resources slow{0.12, 200};
    const owner::host_resources narrow{0.5, 10};
    for (const auto *first : {"a", "b", "c", "d", "e"}) {
        for (const auto *second : {"a", "b", "c", "d", "e"}) {
            CHECK(owner::claimRank(first, false, large) < owner::claimRank(second, true, slow));
            CHECK(owner::claimRank(first, false, large) < owner::claimRank(second, true, narrow));
            CHECK(owner::claimRank(first, true, large) < owner::claimRank(second, false, large));
        }
    }
}

// Guards against a small host that becomes owner while the store is slow, and then delays all callers until its end.
TEST_CASE("While the store is slow a small host leaves others the time to claim first", "[owner]")
{
    const auto smallRank = owner::claimRank("a", true, {0.12, 10});
    const auto largeRank = owner::claimRank("b", false, {0.5, 200});
    const std::chrono::milliseconds slowCall{650};
    owner::owner_monitor monitor;
    monitor.onRead(at(0));
    monitor.onRecord(record(claim, 1, "o"), at(0));
    auto last = record(resignation, 1, "o");

    SECTION("a slow store")
    {
        last.electionTimeout = owner::longElectionTimeout;
        monitor.onRecord(last, at(1000));
        // The large host reads the resignation one call later and claims; the claim is read after two more calls.
        CHECK_FALSE(monitor.shouldClaim(at(1000) + slowCall * 3, "a", smallRank));
        CHECK(monitor.shouldClaim(at(1000) + owner::claimStagger * largeRank, "b", largeRank));
        CHECK(monitor.shouldClaim(at(1000) + owner::smallHostClaimDelay + owner::claimStagger * smallRank, "a",
                                  smallRank));
    }
    SECTION("a quick store")
    {
        monitor.onRecord(last, at(1000));
        CHECK(monitor.shouldClaim(at(1000) + owner::claimStagger * smallRank, "a", smallRank));
    }
}

// Guards against a small host that stays the owner for the rest of its life although large ones are available.
TEST_CASE("A small owner yields to a large host that has acknowledged it", "[owner]")
{
    const owner::handover_inputs due{true, true, owner::minTermBeforeYield, owner::quickRenewalLimit};
    CHECK(owner::shouldYield(due));
    auto inputs = due;
    SECTION("not a large owner")
    {
        inputs.isSmall = false;
    }
    SECTION("not without a large host that could take over")
    {
        inputs.isLargeHostAvailable = false;
    }
    SECTION("not before those who waited for it are answered")
    {
        inputs.servingFor -= std::chrono::milliseconds{1};
    }
    SECTION("not while the store is slow")
    {
        inputs.renewalLatency += std::chrono::milliseconds{1};
    }
    CHECK_FALSE(owner::shouldYield(inputs));
}
