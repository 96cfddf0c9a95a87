#include "host_fixture.h"

#include <poplarpass/host/journal.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests;

namespace
{
/// \brief A journal on an in-memory store.
struct journal_fixture
{
    fakes::stepped_time time;
    core::time_source clock = time.source();
    memory_store memory{time};
    store::record_store records = memory.calls();
    std::vector<std::string> lines;
    poplarpass::observe::logger log{recordingOptions()};
    jobs::job_engine engine{nullptr};
    int idle = 0;
    host::journal journal{clock, records, log, 1, nullptr, [this] {
                              ++idle;
                          }};

    auto recordingOptions() -> poplarpass::observe::logger_options
    {
        auto options = discardingLoggerOptions();
        options.sink = [this](poplarpass::observe::log_level, std::string_view line) {
            lines.emplace_back(line);
        };
        return options;
    }

    journal_fixture()
    {
        bool open = false;
        journal.open([&] { open = true; });
        REQUIRE(time.runUntil([&] { return open; }));
        time.runFor(callTime);
    }
};
} // namespace

TEST_CASE("Records of one decision cycle are stored in one append", "[host]")
{
    journal_fixture fixture;
    fixture.memory.appendsPaused = true;
    std::vector<int> stored;
    fixture.journal.writeRecord({"o1", "x"}, [&] { stored.push_back(1); });
    fixture.journal.writeRecord({"o2", "x"}, [&] { stored.push_back(2); });
    fixture.journal.write(fixture.engine, {}, {}, [&] { stored.push_back(3); });
    fixture.time.runFor(callTime);
    CHECK(fixture.memory.pausedAppends.size() == 1);
    CHECK(stored.empty());
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return !fixture.journal.isBusy(); }));
    CHECK(stored == std::vector{1, 2, 3});
    CHECK(fixture.memory.records(store::topic::jobs).size() == 2);
}

TEST_CASE("A slow append is logged", "[host]")
{
    journal_fixture fixture;
    fixture.memory.appendsPaused = true;
    fixture.journal.writeRecord({"o1", "x"});
    fixture.time.runFor(std::chrono::milliseconds{400});
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return !fixture.journal.isBusy(); }));
    CHECK(std::ranges::any_of(fixture.lines,
                              [](const auto &line) { return line.find("event=journal_slow") != std::string::npos; }));
}

TEST_CASE("Records added while an append is in flight are stored together in the next one", "[host]")
{
    journal_fixture fixture;
    const auto before = fixture.memory.appends;
    fixture.memory.appendsPaused = true;
    fixture.journal.writeRecord({"o1", "x"});
    fixture.time.runFor(callTime);
    REQUIRE(fixture.memory.pausedAppends.size() == 1);
    for (const auto *key : {"o2", "o3", "o4"}) {
        fixture.journal.writeRecord({key, "x"});
    }
    fixture.memory.resumeAppends();
    REQUIRE(fixture.time.runUntil([&] { return !fixture.journal.isBusy(); }));
    CHECK(fixture.memory.appends == before + 2);
    CHECK(fixture.memory.records(store::topic::jobs).size() == 4);
    CHECK(fixture.idle > 0);
}

TEST_CASE("Removals of very many jobs are divided into appends that the store accepts", "[host]")
{
    journal_fixture fixture;
    std::vector<jobs::job_id> ended;
    for (int number = 0; number < 60'000; ++number) {
        ended.emplace_back("000000000000" + std::to_string(10'000 + number));
    }
    fixture.journal.remove(ended);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.journal.isBusy(); }));
    CHECK(fixture.memory.rejectedAppends == 0);
    CHECK(fixture.memory.records(store::topic::jobs).size() == 2 * ended.size());
}

// Guards against an append that is repeated for ever: the store never accepts it, and everything behind it waits.
TEST_CASE("An append that the store rejects ends the journal", "[host]")
{
    fakes::stepped_time time;
    auto clock = time.source();
    memory_store memory{time};
    auto records = memory.calls();
    poplarpass::observe::logger log{discardingLoggerOptions()};
    bool failed = false;
    host::journal journal{clock, records, log, 1, [&] { failed = true; }, nullptr};
    journal.writeRecord({"o1", std::string(store::size_limits{}.recordBytes, 'x')});
    CHECK(time.runUntil([&] { return failed; }));
    CHECK(memory.rejectedAppends == 1);
}
