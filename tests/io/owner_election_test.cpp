#include "host_fixture.h"

#include <poplarpass/host/owner_announcer.h>
#include <poplarpass/host/owner_election.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests;

namespace
{
/// \brief One process that takes part in the election.
struct candidate
{
    candidate(fakes::stepped_time &time, memory_store &memory, const std::string &name)
        : clock{time.source()}
        , records{memory.calls()}
        , election{clock, records, log, name, "10.0.0.1:1", hooks()}
    {
    }

    auto hooks() -> host::election_hooks
    {
        host::election_hooks result;
        result.onElected = [this](std::uint64_t epoch, core::monotonic_time at) {
            epochs.push_back(epoch);
            claimedAt = at;
        };
        result.onRenewing = [](core::monotonic_time, core::duration) {
        };
        result.onRenewed = [this](core::monotonic_time sentAt, core::duration) {
            ++renewals;
            renewedAt = sentAt;
        };
        result.onFencingToken = [this](std::uint64_t token) {
            tokens.push_back(token);
        };
        result.onOwnershipLost = [this] {
            ownershipLost = true;
        };
        result.rank = [] {
            return 0U;
        };
        return result;
    }

    core::time_source clock;
    store::record_store records;
    poplarpass::observe::logger log{discardingLoggerOptions()};
    std::vector<std::uint64_t> epochs;
    core::monotonic_time claimedAt{};
    core::monotonic_time renewedAt{};
    std::vector<std::uint64_t> tokens;
    int renewals = 0;
    bool ownershipLost = false;
    host::owner_election election;
};
} // namespace

TEST_CASE("Exactly one of several concurrent claims succeeds", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    candidate second{time, memory, "b"};
    candidate third{time, memory, "c"};
    first.election.start();
    second.election.start();
    third.election.start();
    const auto elected = [&] {
        return first.epochs.size() + second.epochs.size() + third.epochs.size();
    };
    REQUIRE(time.runUntil([&] { return elected() > 0 && first.renewals + second.renewals + third.renewals >= 2; }));
    CHECK(elected() == 1);
}

// Guards against two owners with the same token, and a later owner that workers refuse for its lower one.
TEST_CASE("The fencing tokens of an owner lie between its epoch and that of the next one", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    candidate second{time, memory, "b"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.tokens.size() >= 3; }));
    second.election.start();
    time.runFor(std::chrono::seconds{1});
    REQUIRE(second.epochs.empty());
    first.election.resign([] {});
    REQUIRE(time.runUntil([&] { return second.tokens.size() >= 2; }));
    CHECK(first.tokens.front() > first.epochs.at(0));
    CHECK(std::ranges::is_sorted(first.tokens));
    CHECK(first.tokens.back() < second.epochs.at(0));
    CHECK(second.tokens.front() > second.epochs.at(0));
}

// Guards against a token that is greater than that of a later owner: the renewal was stored after the later claim.
TEST_CASE("A renewal that was stored after the claim of a later owner gives no fencing token", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return !first.tokens.empty(); }));
    // The claim is stored just before the next renewal and is not fenced yet.
    const auto end = memory.records(store::topic::ownership).size();
    const auto greatest = first.tokens.back();
    memory.put(store::topic::ownership, {},
               poplarpass::owner::encodeOwnerRecord({poplarpass::owner::owner_record_kind::claim, end + 1, "b",
                                                     "10.0.0.2:1", poplarpass::owner::longElectionTimeout}));
    memory.put(store::topic::ownership, {},
               poplarpass::owner::encodeOwnerRecord({poplarpass::owner::owner_record_kind::renewal, first.epochs.at(0),
                                                     "a", "10.0.0.1:1", poplarpass::owner::longElectionTimeout}));
    REQUIRE(time.runUntil([&] { return first.ownershipLost; }));
    time.runFor(std::chrono::seconds{1});
    CHECK(std::ranges::all_of(first.tokens, [&](std::uint64_t token) { return token <= std::max(greatest, end); }));
}

TEST_CASE("A claim whose response is lost is recognized when it is read back", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    memory.loseResponses = true;
    candidate only{time, memory, "a"};
    only.election.start();
    REQUIRE(time.runUntil([&] { return !only.epochs.empty(); }));
    memory.loseResponses = false;
    CHECK(time.runUntil([&] { return only.renewals > 0; }));
    CHECK(only.epochs.size() == 1);
}

// Guards against a term that outlasts the time after which others may claim: the stored claim may be the earlier one.
TEST_CASE("A term counts from the first claim that may have been stored", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate only{time, memory, "a"};
    const auto append = only.records.append;
    const auto read = only.records.read;
    std::vector<core::monotonic_time> claimedAt;
    bool readsLate = false;
    only.records.append = [&](const store::record_append &request,
                              const std::function<void(store::append_result)> &done) {
        claimedAt.push_back(time.now());
        readsLate = true;
        append(request, [](const store::append_result &) {});
        time.after(std::chrono::milliseconds{300}, [done] { done({}); });
    };
    // Reads that were answered before the claim was stored arrive late.
    only.records.read = [&](store::topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                            const std::function<void(store::read_result)> &done) {
        read(topic, readsLate ? 1'000'000 : from, wait, done);
    };
    only.election.start();
    REQUIRE(time.runUntil([&] { return claimedAt.size() == 2; }));
    readsLate = false;
    REQUIRE(time.runUntil([&] { return !only.epochs.empty(); }));
    CHECK(only.claimedAt == claimedAt[0]);
}

TEST_CASE("After a resignation another process becomes owner at once with a greater epoch", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.renewals > 0; }));
    candidate second{time, memory, "b"};
    second.election.start();
    bool resigned = false;
    first.election.resign([&] { resigned = true; });
    REQUIRE(time.runUntil([&] { return resigned && !second.epochs.empty(); }));
    CHECK(second.epochs[0] > first.epochs[0]);
    CHECK(second.election.formerOwners().empty());
}

TEST_CASE("An owner steps down when a later owner is announced", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.renewals > 0; }));
    first.election.onAnnouncement({poplarpass::owner::owner_record_kind::claim, first.epochs[0] + 50, "b", "10.0.0.2:1",
                                   poplarpass::owner::longElectionTimeout});
    CHECK(first.ownershipLost);
}

TEST_CASE("A resignation is stored even if a renewal is in flight", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.renewals > 0; }));
    candidate second{time, memory, "b"};
    second.election.start();
    memory.appendsPaused = true;
    REQUIRE(time.runUntil([&] { return !memory.pausedAppends.empty(); }));
    bool resigned = false;
    first.election.resign([&] { resigned = true; });
    memory.resumeAppends();
    REQUIRE(time.runUntil([&] { return resigned && !second.epochs.empty(); }));
    CHECK(second.election.formerOwners().empty());
}

// Guards against a term that outlasts the time after which others may claim: the store answers a repeated renewal
// without storing it again.
TEST_CASE("A repeated renewal extends the term only from its first sending", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate only{time, memory, "a"};
    only.election.start();
    REQUIRE(time.runUntil([&] { return only.renewals > 0; }));
    memory.loseResponses = true;
    const auto stored = memory.records(store::topic::ownership).size();
    REQUIRE(time.runUntil([&] { return memory.records(store::topic::ownership).size() > stored; }));
    const auto storedAt = time.now();
    memory.loseResponses = false;
    const auto renewals = only.renewals;
    REQUIRE(time.runUntil([&] { return only.renewals > renewals; }));
    CHECK(memory.records(store::topic::ownership).size() == stored + 1);
    CHECK(only.renewedAt <= storedAt);
    // The next renewal follows at once, as the term is shortened by the lost answer.
    REQUIRE(time.runUntil([&] { return only.renewals > renewals + 1; }));
    CHECK(only.renewedAt <= storedAt + std::chrono::milliseconds{200});
}

// Guards against a resignation that the store drops as a repeat, after which others wait for the election timeout.
TEST_CASE("A resignation is stored even if the answer to the last renewal was lost", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.renewals > 0; }));
    memory.loseResponses = true;
    const auto stored = memory.records(store::topic::ownership).size();
    REQUIRE(time.runUntil([&] { return memory.records(store::topic::ownership).size() > stored; }));
    bool resigned = false;
    first.election.resign([&] { resigned = true; });
    memory.loseResponses = false;
    REQUIRE(time.runUntil([&] { return resigned; }));
    const auto last = poplarpass::owner::decodeOwnerRecord(memory.records(store::topic::ownership).back().value);
    REQUIRE(last);
    CHECK(last->kind == poplarpass::owner::owner_record_kind::resignation);
}

// Guards against a process that claims again at once what it has just yielded, and against one that never claims again.
TEST_CASE("A process that yielded claims again after a pause if no other does", "[host]")
{
    const std::chrono::seconds pause{10};
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.renewals > 0; }));
    bool yielded = false;
    const auto yieldedAt = first.clock.now();
    first.election.yield(pause, [&] { yielded = true; });
    REQUIRE(time.runUntil([&] { return yielded; }));

    SECTION("another process claims at once")
    {
        candidate second{time, memory, "b"};
        second.election.start();
        REQUIRE(time.runUntil([&] { return !second.epochs.empty(); }));
        CHECK(second.clock.now() - yieldedAt < std::chrono::seconds{1});
    }
    SECTION("no other process exists")
    {
        REQUIRE(time.runUntil([&] { return first.epochs.size() == 2; }));
        CHECK(first.clock.now() - yieldedAt >= pause);
        CHECK(first.epochs[1] > first.epochs[0]);
    }
}

TEST_CASE("The record of a host tells its address and whether it is large", "[host]")
{
    const host::registered_host large{"10.0.0.1:7000", true};
    const host::registered_host small{"10.0.0.2:7000", false};
    CHECK(host::decodeRegisteredHost(host::encodeRegisteredHost(large)) == large);
    CHECK(host::decodeRegisteredHost(host::encodeRegisteredHost(small)) == small);
}
