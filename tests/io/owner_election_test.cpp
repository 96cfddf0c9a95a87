#include "host_fixture.h"

#include <poplarpass/host/owner_election.h>

#include <catch2/catch.hpp>

using namespace tests;

namespace
{
auto quietOptions() -> poplarpass::observe::logger_options
{
    poplarpass::observe::logger_options options;
    options.sink = [](poplarpass::observe::log_level, std::string_view) {
    };
    return options;
}

/// \brief One process that may own the pools.
struct candidate
{
    candidate(boost::asio::io_context &loop, memory_store &memory, const std::string &name)
        : records{memory.calls()}
        , election{loop, records, log, name, "10.0.0.1:1", hooks()}
    {
    }

    auto hooks() -> host::election_hooks
    {
        host::election_hooks made;
        made.onElected = [this](std::uint64_t given, core::monotonic_time) {
            epochs.push_back(given);
        };
        made.onRenewing = [](core::monotonic_time, core::duration) {
        };
        made.onRenewed = [this](core::monotonic_time, core::duration) {
            ++renewals;
        };
        made.onDeposed = [this] {
            deposed = true;
        };
        made.rank = [] {
            return 0U;
        };
        return made;
    }

    store::record_store records;
    poplarpass::observe::logger log{quietOptions()};
    std::vector<std::uint64_t> epochs;
    int renewals = 0;
    bool deposed = false;
    host::owner_election election;
};
} // namespace

TEST_CASE("Of processes that claim at once, one becomes owner", "[host]")
{
    boost::asio::io_context loop;
    memory_store memory{loop};
    candidate first{loop, memory, "a"};
    candidate second{loop, memory, "b"};
    candidate third{loop, memory, "c"};
    first.election.start();
    second.election.start();
    third.election.start();
    const auto elected = [&] {
        return first.epochs.size() + second.epochs.size() + third.epochs.size();
    };
    REQUIRE(runUntil(loop, [&] { return elected() > 0 && first.renewals + second.renewals + third.renewals >= 2; }));
    CHECK(elected() == 1);
}

TEST_CASE("A claim whose answer is lost is read back", "[host]")
{
    boost::asio::io_context loop;
    memory_store memory{loop};
    memory.loseAnswers = true;
    candidate only{loop, memory, "a"};
    only.election.start();
    REQUIRE(runUntil(loop, [&] { return !only.epochs.empty(); }));
    memory.loseAnswers = false;
    CHECK(runUntil(loop, [&] { return only.renewals > 0; }));
    CHECK(only.epochs.size() == 1);
}

TEST_CASE("After a resignation another process owns the pools at once, under a greater epoch", "[host]")
{
    boost::asio::io_context loop;
    memory_store memory{loop};
    candidate first{loop, memory, "a"};
    first.election.start();
    REQUIRE(runUntil(loop, [&] { return first.renewals > 0; }));
    candidate second{loop, memory, "b"};
    second.election.start();
    bool resigned = false;
    first.election.resign([&] { resigned = true; });
    REQUIRE(runUntil(loop, [&] { return resigned && !second.epochs.empty(); }));
    CHECK(second.epochs[0] > first.epochs[0]);
    CHECK(second.election.formerOwners().empty());
}

TEST_CASE("An owner that hears of a later one stops", "[host]")
{
    boost::asio::io_context loop;
    memory_store memory{loop};
    candidate first{loop, memory, "a"};
    first.election.start();
    REQUIRE(runUntil(loop, [&] { return first.renewals > 0; }));
    first.election.onAnnouncement({poplarpass::owner::owner_record_kind::claim, first.epochs[0] + 50, "b", "10.0.0.2:1",
                                   poplarpass::owner::longSilence});
    CHECK(first.deposed);
}

TEST_CASE("A resignation does not get lost behind a renewal that is still on its way", "[host]")
{
    boost::asio::io_context loop;
    memory_store memory{loop};
    candidate first{loop, memory, "a"};
    first.election.start();
    REQUIRE(runUntil(loop, [&] { return first.renewals > 0; }));
    candidate second{loop, memory, "b"};
    second.election.start();
    memory.withheld = true;
    REQUIRE(runUntil(loop, [&] { return !memory.held.empty(); }));
    bool resigned = false;
    first.election.resign([&] { resigned = true; });
    memory.release();
    REQUIRE(runUntil(loop, [&] { return resigned && !second.epochs.empty(); }));
    CHECK(second.election.formerOwners().empty());
}
