#include "replication_sim.h"
#include "test_seed.h"

#include <poplarpass/core/invariant.h>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace tests;

namespace
{
constexpr int defaultHistories = 60;
constexpr int stepsPerHistory = 1200;

auto historyCount() -> int
{
    const char *text = std::getenv("POPLARPASS_HISTORIES");
    return text == nullptr ? defaultHistories : std::stoi(text);
}

auto throwOnBreach(core::invariant_kind kind, std::string_view evidence) -> void
{
    throw std::runtime_error{std::string{core::nameOf(kind)} + ": " + std::string{evidence}};
}

auto add(replication_sim::event_counts &sum, const replication_sim::event_counts &more) -> void
{
    sum.accepted += more.accepted;
    sum.refused += more.refused;
    sum.notAccepted += more.notAccepted;
    sum.unknown += more.unknown;
    sum.moves += more.moves;
    sum.drains += more.drains;
    sum.budgetRefusals += more.budgetRefusals;
    sum.stateInstalls += more.stateInstalls;
    sum.peerInstalls += more.peerInstalls;
    sum.acceptedClaims += more.acceptedClaims;
    sum.membershipChanges += more.membershipChanges;
    sum.unrecoverableReads += more.unrecoverableReads;
}
} // namespace

TEST_CASE("readers agree and invariants hold in randomised histories", "[fold][history]")
{
    const auto previous = core::setBreachHandler(throwOnBreach);
    const int histories = historyCount();
    replication_sim::event_counts sum;
    for (int history = 0; history < histories; ++history) {
        const auto seed = baseSeed() + static_cast<std::uint64_t>(history);
        INFO("POPLARPASS_SEED=" << seed << " POPLARPASS_HISTORIES=1");
        replication_sim simulation{seed};
        REQUIRE_NOTHROW(simulation.run(stepsPerHistory));
        add(sum, simulation.counts());
    }
    core::setBreachHandler(previous);
    std::cout << "histories=" << histories << " accepted=" << sum.accepted << " refused=" << sum.refused
              << " not_accepted=" << sum.notAccepted << " unknown=" << sum.unknown << " moves=" << sum.moves
              << " drains=" << sum.drains << " limited=" << sum.budgetRefusals << " from_snapshot=" << sum.stateInstalls
              << " from_peer=" << sum.peerInstalls << " handovers=" << sum.acceptedClaims
              << " members=" << sum.membershipChanges << " stuck_reads=" << sum.unrecoverableReads << '\n';
    if (histories >= defaultHistories) {
        CHECK(sum.accepted > histories);
        CHECK(sum.refused > histories);
        CHECK(sum.notAccepted > 0);
        CHECK(sum.unknown > 0);
        CHECK(sum.moves > histories);
        CHECK(sum.drains > histories);
        CHECK(sum.budgetRefusals > histories);
        CHECK(sum.stateInstalls > histories);
        CHECK(sum.peerInstalls > 0);
        CHECK(sum.acceptedClaims > 2 * histories);
        CHECK(sum.membershipChanges > histories);
    }
}
