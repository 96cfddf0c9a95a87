#include "host_fixture.h"

#include <poplarpass/host/owner_election.h>

#include <catch2/catch.hpp>

using namespace tests;

namespace
{
/// \brief One process that may own the pools.
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
        host::election_hooks made;
        made.onElected = [this](std::uint64_t epoch, core::monotonic_time) {
            epochs.push_back(epoch);
        };
        made.onRenewing = [](core::monotonic_time, core::duration) {
        };
        made.onRenewed = [this](core::monotonic_time, core::duration) {
            ++renewals;
        };
        made.onOwnershipLost = [this] {
            ownershipLost = true;
        };
        made.rank = [] {
            return 0U;
        };
        return made;
    }

    core::time_source clock;
    store::record_store records;
    poplarpass::observe::logger log{quietOptions()};
    std::vector<std::uint64_t> epochs;
    int renewals = 0;
    bool ownershipLost = false;
    host::owner_election election;
};
} // namespace

TEST_CASE("Of processes that claim at once, one becomes owner", "[host]")
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

TEST_CASE("A claim whose answer is lost is read back", "[host]")
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

TEST_CASE("After a resignation another process owns the pools at once, under a greater epoch", "[host]")
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

TEST_CASE("An owner that hears of a later one stops", "[host]")
{
    fakes::stepped_time time;
    memory_store memory{time};
    candidate first{time, memory, "a"};
    first.election.start();
    REQUIRE(time.runUntil([&] { return first.renewals > 0; }));
    first.election.onAnnouncement({poplarpass::owner::owner_record_kind::claim, first.epochs[0] + 50, "b", "10.0.0.2:1",
                                   poplarpass::owner::longSilence});
    CHECK(first.ownershipLost);
}

TEST_CASE("A resignation does not get lost behind a renewal that is still on its way", "[host]")
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
    memory.release();
    REQUIRE(time.runUntil([&] { return resigned && !second.epochs.empty(); }));
    CHECK(second.election.formerOwners().empty());
}
