#include "system_world.h"
#include "test_seed.h"

#include <poplarpass/host/events.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

namespace
{
using tests::system_sim::system_world;

constexpr std::size_t histories = 40;
constexpr std::chrono::seconds troubleTime{30};
constexpr std::chrono::seconds calmTime{60};
} // namespace

TEST_CASE("A system under injected faults violates no rule and settles once the faults end", "[system][sim]")
{
    std::size_t takeovers = 0;
    std::size_t finished = 0;
    std::map<std::string, std::size_t> troubles;
    for (std::size_t history = 0; history < histories; ++history) {
        const auto seed = tests::baseSeed() + history;
        INFO("seed " << seed);
        system_world world{seed};
        world.play(troubleTime, calmTime);
        for (const auto &breach : world.breaches()) {
            UNSCOPED_INFO(breach);
        }
        REQUIRE(world.breaches().empty());
        for (const auto &name : world.eventNames) {
            CAPTURE(name);
            REQUIRE(std::ranges::any_of(poplarpass::host::allEvents(),
                                        [&](const auto &event) { return event.name == name; }));
        }
        takeovers += world.takeovers;
        finished += world.finished;
        for (const auto &[name, count] : world.troubles) {
            troubles[name] += count;
        }
    }
    for (const auto &[name, count] : troubles) {
        std::cout << "trouble=" << name << " count=" << count << '\n';
    }
    CHECK(takeovers > histories);
    CHECK(finished > histories * 20);
    CHECK(troubles.size() == 25);
}

TEST_CASE("Equal seeds give equal histories, different seeds different ones", "[system][sim]")
{
    const auto digestOf = [](std::uint64_t seed) {
        system_world world{seed};
        world.play(std::chrono::seconds{6}, calmTime);
        return world.digest();
    };
    CHECK(digestOf(tests::baseSeed()) == digestOf(tests::baseSeed()));
    CHECK(digestOf(tests::baseSeed()) != digestOf(tests::baseSeed() + 1));
}
