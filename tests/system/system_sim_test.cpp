#include "simulated_system.h"
#include "test_seed.h"

#include <poplarpass/host/events.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string>

namespace
{
using tests::system_sim::simulated_system;

constexpr std::size_t simulationCount = 40;
constexpr std::chrono::seconds faultTime{30};
constexpr std::chrono::seconds recoveryLimit{60};
} // namespace

TEST_CASE("A system under injected faults violates no rule and settles once the faults end", "[system][sim]")
{
    std::size_t takeovers = 0;
    std::size_t finished = 0;
    std::map<std::string, std::size_t> injections;
    std::set<std::string> seenEvents;
    for (std::size_t index = 0; index < simulationCount; ++index) {
        const auto seed = tests::baseSeed() + index;
        INFO("seed " << seed);
        simulated_system simulation{seed};
        simulation.run(faultTime, recoveryLimit);
        for (const auto &violation : simulation.violations()) {
            UNSCOPED_INFO(violation);
        }
        REQUIRE(simulation.violations().empty());
        for (const auto &name : simulation.eventNames) {
            seenEvents.insert(name);
            CAPTURE(name);
            REQUIRE(std::ranges::any_of(poplarpass::host::allEvents(),
                                        [&](const auto &event) { return event.name == name; }));
        }
        takeovers += simulation.takeovers;
        finished += simulation.finished;
        for (const auto &[name, count] : simulation.injections) {
            injections[name] += count;
        }
    }
    for (const auto &[name, count] : injections) {
        std::cout << "trouble=" << name << " count=" << count << '\n';
    }
    // The faults must reach these decisions, which could break the rules that are checked.
    CHECK(seenEvents.contains("task_suspended"));
    CHECK(seenEvents.contains("append_repeated"));
    CHECK(takeovers > simulationCount);
    CHECK(finished > simulationCount * 20);
    CHECK(injections.size() == 26);
}

TEST_CASE("Equal seeds give equal histories, different seeds different ones", "[system][sim]")
{
    const auto digestOf = [](std::uint64_t seed) {
        simulated_system simulation{seed};
        simulation.run(std::chrono::seconds{6}, recoveryLimit);
        return simulation.digest();
    };
    CHECK(digestOf(tests::baseSeed()) == digestOf(tests::baseSeed()));
    CHECK(digestOf(tests::baseSeed()) != digestOf(tests::baseSeed() + 1));
}
