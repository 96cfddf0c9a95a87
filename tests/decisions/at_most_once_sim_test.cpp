#include "fleet_sim.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

namespace
{
constexpr std::uint64_t defaultHistories = 60;

auto historyCount() -> std::uint64_t
{
    const char *text = std::getenv("POPLARPASS_HISTORIES");
    return text == nullptr ? defaultHistories : std::stoull(text);
}

auto runHistories(bool faults, std::uint64_t count) -> tests::sim_report
{
    tests::sim_report total;
    for (std::uint64_t history = 0; history < count; ++history) {
        const auto seed = tests::baseSeed() + history;
        const auto entries = 1 + static_cast<int>(seed % 6);
        auto report = tests::fleet_sim{{seed, entries, faults}}.run();
        for (const auto &violation : report.violations) {
            std::cout << "seed=" << seed << " entries=" << entries << " " << violation << '\n';
        }
        CAPTURE(seed);
        CHECK(report.violations.empty());
        total.submitted += report.submitted;
        total.ran += report.ran;
        total.notRun += report.notRun;
        total.unknown += report.unknown;
        total.lateUnknown += report.lateUnknown;
    }
    std::cout << "histories=" << count << " faults=" << faults << " submitted=" << total.submitted
              << " ran=" << total.ran << " not_run=" << total.notRun << " unknown=" << total.unknown
              << " late_unknown=" << total.lateUnknown << '\n';
    return total;
}
} // namespace

TEST_CASE("no key runs twice in simulated histories with faults", "[at_most_once]")
{
    const auto total = runHistories(true, historyCount());
    CHECK(total.ran > total.unknown);
}

TEST_CASE("every request is answered in simulated histories without faults", "[at_most_once]")
{
    runHistories(false, 6);
}
