#include "fold_world.h"
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

auto add(fold_world::reached &sum, const fold_world::reached &more) -> void
{
    sum.accepted += more.accepted;
    sum.refused += more.refused;
    sum.notAccepted += more.notAccepted;
    sum.unknown += more.unknown;
    sum.moves += more.moves;
    sum.drains += more.drains;
    sum.limited += more.limited;
    sum.fromSnapshot += more.fromSnapshot;
    sum.fromPeer += more.fromPeer;
    sum.handovers += more.handovers;
    sum.members += more.members;
    sum.stuck += more.stuck;
}
} // namespace

TEST_CASE("readers agree and promises hold in randomised histories", "[fold][history]")
{
    const auto previous = core::setBreachHandler(throwOnBreach);
    const int histories = historyCount();
    fold_world::reached sum;
    for (int history = 0; history < histories; ++history) {
        const auto seed = baseSeed() + static_cast<std::uint64_t>(history);
        INFO("POPLARPASS_SEED=" << seed << " POPLARPASS_HISTORIES=1");
        fold_world world{seed};
        REQUIRE_NOTHROW(world.run(stepsPerHistory));
        add(sum, world.counts());
    }
    core::setBreachHandler(previous);
    std::cout << "histories=" << histories << " accepted=" << sum.accepted << " refused=" << sum.refused
              << " not_accepted=" << sum.notAccepted << " unknown=" << sum.unknown << " moves=" << sum.moves
              << " drains=" << sum.drains << " limited=" << sum.limited << " from_snapshot=" << sum.fromSnapshot
              << " from_peer=" << sum.fromPeer << " handovers=" << sum.handovers << " members=" << sum.members
              << " stuck_reads=" << sum.stuck << '\n';
    if (histories >= defaultHistories) {
        CHECK(sum.accepted > histories);
        CHECK(sum.refused > histories);
        CHECK(sum.notAccepted > 0);
        CHECK(sum.unknown > 0);
        CHECK(sum.moves > histories);
        CHECK(sum.drains > histories);
        CHECK(sum.limited > histories);
        CHECK(sum.fromSnapshot > histories);
        CHECK(sum.fromPeer > 0);
        CHECK(sum.handovers > 2 * histories);
        CHECK(sum.members > histories);
    }
}
