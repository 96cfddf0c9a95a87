#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;

namespace
{
auto heartbeatFrom(int from, std::uint64_t epoch, std::uint64_t actingEpoch, std::uint64_t echo) -> request::heartbeat
{
    request::heartbeat beat;
    beat.from = member(from);
    beat.epoch = epoch;
    beat.actingEpoch = actingEpoch;
    beat.echo = echo;
    beat.echoIncarnation = 1;
    return beat;
}

// Entry 0 of five, in epoch 1, without evidence of freshness.
auto entryOfFive(request::instant at) -> request::authority
{
    request::authority authority{member(0)};
    authority.foldMembership(memberList(1, 5), at);
    return authority;
}

auto pingAll(request::authority &authority, std::uint64_t sequence, request::instant at) -> void
{
    for (int peer = 1; peer < 5; ++peer) {
        authority.pingSent(member(peer).member, sequence, at.now);
    }
}
} // namespace

TEST_CASE("freshness from a log read is measured from its start and expires", "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    CHECK_FALSE(authority.mayAct(at.now));
    authority.logReadToEnd(at.now - 1s);
    CHECK(authority.mayAct(at.now));
    CHECK(authority.mayAct(at.now + 999ms));
    CHECK_FALSE(authority.mayAct(at.now + 1s));
    authority.logReadToEnd(at.now - 2s);
    CHECK_FALSE(authority.mayAct(at.now + 1s));
}

TEST_CASE("freshness from heartbeat answers is measured from the time the ping was sent", "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    pingAll(authority, 1, at);
    for (int peer = 1; peer < 5; ++peer) {
        CHECK_FALSE(authority.peersFresh(at.now));
        authority.heartbeatReceived(heartbeatFrom(peer, 1, 1, 1), later(at, 1500ms));
    }
    CHECK(authority.peersFresh(at.now + 1900ms));
    CHECK_FALSE(authority.peersFresh(at.now + 2s));
}

TEST_CASE("heartbeats of another epoch, for another incarnation or without a known echo give no freshness",
          "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    pingAll(authority, 1, at);
    for (int peer = 1; peer < 4; ++peer) {
        authority.heartbeatReceived(heartbeatFrom(peer, 1, 1, 1), at);
    }
    auto beat = heartbeatFrom(4, 2, 1, 1);
    authority.heartbeatReceived(beat, at);
    CHECK_FALSE(authority.peersFresh(at.now));
    beat = heartbeatFrom(4, 1, 1, 9);
    authority.heartbeatReceived(beat, at);
    CHECK_FALSE(authority.peersFresh(at.now));
    beat = heartbeatFrom(4, 1, 1, 1);
    beat.echoIncarnation = 2;
    authority.heartbeatReceived(beat, at);
    CHECK_FALSE(authority.peersFresh(at.now));
}

TEST_CASE("stopped members need not answer, but more than half of all members must", "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    pingAll(authority, 1, at);
    authority.heartbeatReceived(heartbeatFrom(1, 1, 1, 1), at);
    authority.heartbeatReceived(heartbeatFrom(2, 1, 1, 1), at);
    authority.connectionRefused(member(3).member, at.now);
    CHECK_FALSE(authority.peersFresh(at.now));
    authority.memberLeft(member(4));
    CHECK(authority.peersFresh(at.now));

    auto minority = entryOfFive(at);
    pingAll(minority, 1, at);
    minority.heartbeatReceived(heartbeatFrom(1, 1, 1, 1), at);
    for (int gone = 2; gone < 5; ++gone) {
        minority.connectionRefused(member(gone).member, at.now);
    }
    CHECK_FALSE(minority.peersFresh(at.now));
}

TEST_CASE("a removal becomes active 6 s after half of the previous members have folded it", "[authority]")
{
    auto at = startInstant();
    auto authority = entryOfFive(at);
    auto next = memberList(2, 4);
    authority.foldMembership(next, at);
    CHECK(authority.foldedEpoch() == 2);
    CHECK(authority.activeMembership().epoch == 1);
    at = later(at, 10s);
    CHECK_FALSE(authority.advance(at));
    authority.heartbeatReceived(heartbeatFrom(1, 2, 1, 0), at);
    CHECK_FALSE(authority.advance(at));
    authority.heartbeatReceived(heartbeatFrom(2, 2, 1, 0), at);
    CHECK_FALSE(authority.advance(at));
    CHECK_FALSE(authority.advance(later(at, 5999ms)));
    CHECK(authority.advance(later(at, 6s)));
    CHECK(authority.activeMembership().epoch == 2);
}

TEST_CASE("a removal already active at another member, and every join, becomes active at once", "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    authority.foldMembership(memberList(2, 4), at);
    authority.heartbeatReceived(heartbeatFrom(1, 2, 2, 0), at);
    CHECK(authority.advance(at));
    authority.foldMembership(memberList(3, 5), at);
    CHECK(authority.activeMembership().epoch == 3);
}

TEST_CASE("a process that starts during a removal waits until it is settled", "[authority]")
{
    const auto at = startInstant();
    auto list = memberList(7, 2);
    list.unsettled.push_back({7, {member(0), member(3), member(4)}});
    list.losses.push_back({member(3), 7, at.wall - 30s});
    request::authority authority{member(1)};
    authority.foldMembership(list, at);
    authority.logReadToEnd(at.now + 20s);
    CHECK_FALSE(authority.advance(later(at, 20s)));
    CHECK_FALSE(authority.mayAct(at.now + 20s));
    authority.foldSettled(7);
    CHECK(authority.advance(later(at, 20s)));
    CHECK(authority.mayAct(at.now + 20s));
}

TEST_CASE("loss of key records is dated by the time a removal becomes active", "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    CHECK(authority.recordCoverageOf(at.wall) == request::record_coverage::complete);
    auto next = memberList(2, 4);
    next.losses.push_back({member(4), 2, at.wall});
    authority.foldMembership(next, at);
    authority.heartbeatReceived(heartbeatFrom(1, 2, 1, 0), at);
    authority.heartbeatReceived(heartbeatFrom(2, 2, 1, 0), at);
    authority.advance(at);
    authority.advance(later(at, 20s));
    CHECK(authority.recordCoverageOf(at.wall + 19s) == request::record_coverage::one_copy_left);
    CHECK(authority.recordCoverageOf(at.wall + 27s) == request::record_coverage::complete);
    next = memberList(3, 3);
    next.losses = {{member(4), 2, at.wall}, {member(3), 3, at.wall + 21s}};
    authority.foldMembership(next, later(at, 21s));
    authority.heartbeatReceived(heartbeatFrom(1, 3, 3, 0), later(at, 21s));
    authority.advance(later(at, 21s));
    CHECK(authority.recordCoverageOf(at.wall + 19s) == request::record_coverage::incomplete);
}

TEST_CASE("a coordinator grants without claims once every member acts in the epoch", "[authority]")
{
    const auto at = startInstant();
    auto authority = entryOfFive(at);
    authority.logReadToEnd(at.now);
    CHECK_FALSE(authority.mayGrantWithoutClaim(at.now));
    for (int peer = 1; peer < 5; ++peer) {
        authority.heartbeatReceived(heartbeatFrom(peer, 1, 1, 0), later(at, 1s * peer));
    }
    CHECK(authority.mayGrantWithoutClaim(at.now));
    CHECK(authority.establishedAt() == at.wall + 4s);
    authority.foldMembership(memberList(2, 6), at);
    CHECK_FALSE(authority.mayGrantWithoutClaim(at.now));
}
