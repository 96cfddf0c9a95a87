#include "owner_fixture.h"
#include "test_seed.h"

#include <nlohmann/json.hpp>

#include <platform/records.h>
#include <random>

using namespace tests;
using nlohmann::json;

namespace
{
constexpr std::int64_t workerBorn = 5; // As in the reports of the fixture.
constexpr int nestingDepth = 100'000;

auto goodEntry() -> json
{
    return {{"service", "pool"},
            {"address", "10.0.0.1:80"},
            {"zone", "zone"},
            {"state", "ready"},
            {"born", workerBorn},
            {"clock_ms", 1000},
            {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'000}}},
            {"labels", json::array()}};
}

auto entryWith(const std::string &field, const json &value) -> std::string
{
    auto entry = goodEntry();
    entry[field] = value;
    return entry.dump();
}

auto nested(char open, char close) -> std::string
{
    return std::string(nestingDepth, open) + std::string(nestingDepth, close);
}

/// \brief Entries that another writer may have left.
auto oddEntries() -> std::vector<std::string>
{
    auto text = goodEntry().dump();
    text.pop_back();
    std::vector<std::string> entries{
        nested('[', ']'),
        std::string(nestingDepth, '['),
        text + R"(,"extra":)" + nested('[', ']') + "}",
        text + R"(,"born":1e400})",
        text + R"(,"born":99999999999999999999999999})",
        text + R"(,"born":18446744073709551615})",
        text + R"(,"seq":-1e308})",
        entryWith("born", std::numeric_limits<std::int64_t>::max()),
        entryWith("born", 253'402'300'799'999),
        entryWith("clock_ms", std::numeric_limits<std::int64_t>::max()),
        entryWith("capacity", {{"cpu", std::numeric_limits<std::int64_t>::max()}, {"mem_mb", 1}}),
        entryWith("labels", {1, nullptr, json::array()}),
        "",
        "\xff\xfe",
    };
    for (const auto *address : {"10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:0",
                                "10.0.0.1", ":80", "", "300.1.1.1:80", "no such host:80"}) {
        entries.push_back(entryWith("address", address));
    }
    return entries;
}

/// \brief An owner that reads the entries of workers in the platform's format.
struct owner_with_entries : owner_fixture
{
    owner_with_entries()
    {
        decoders.decodeWorker = platform::decodeWorkerEntry;
        workers.renew = [this](const host::renewal_call &call, std::function<void(host::renewal_answer)> done) {
            renewals.push_back(call);
            const bool answers = call.target.id.str() == "w1" && call.target.address == "10.0.0.1:80";
            time.after(answers ? callTime : std::chrono::milliseconds{900}, [this, answers, done = std::move(done)] {
                done({answers ? host::renewal_outcome::reported : host::renewal_outcome::failed, report});
            });
        };
        memory.put(store::topic::worker_records, "w1", goodEntry().dump());
    }

    /// \brief Lets time pass within the owner's term.
    auto runFor(core::duration duration) -> void
    {
        for (const auto end = time.now() + duration; time.now() < end;) {
            renewTerm();
            time.runFor(std::chrono::milliseconds{100});
        }
        renewTerm();
    }

    /// \brief Submits a job and returns whether its task is started on the good worker.
    auto startsJob(const std::string &job) -> bool
    {
        int status = 0;
        send(request(host::client_verb::submit, job, jobText), status);
        return time.runUntil([&] {
            renewTerm();
            return std::ranges::any_of(
                starts, [&](const auto &start) { return start.task.job.str() == job && start.worker.str() == "w1"; });
        });
    }
};
} // namespace

// Guards against an odd entry that ends the process, or after which entries are not followed any more.
TEST_CASE("Odd entries of other workers do not keep an owner from following the good ones", "[host][platform]")
{
    owner_with_entries fixture;
    fixture.memory.put(store::topic::worker_records, "odd-before", oddEntries().front());
    fixture.beginServing(1);
    int number = 0;
    for (const auto &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 200));
        fixture.memory.put(store::topic::worker_records, "odd" + std::to_string(++number), odd);
        fixture.memory.put(store::topic::worker_records, "w1", goodEntry().dump());
        fixture.runFor(2 * host::workerListPeriod);
        REQUIRE(fixture.startsJob("job" + std::to_string(number)));
    }
}

// Guards against an odd entry under a worker's own identifier: with too late a start time all of the worker's later
// entries and its answers were taken for those of an earlier incarnation, until the owner changed.
TEST_CASE("A worker is used again once a good entry follows an odd one under its identifier", "[host][platform]")
{
    for (const auto &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 200));
        owner_with_entries fixture;
        fixture.beginServing(1);
        REQUIRE(fixture.startsJob("first"));
        fixture.memory.put(store::topic::worker_records, "w1", odd);
        fixture.runFor(2 * host::workerListPeriod);
        fixture.memory.put(store::topic::worker_records, "w1", goodEntry().dump());
        fixture.runFor(std::chrono::seconds{2});
        CHECK(fixture.startsJob("second"));
    }
}

TEST_CASE("Random changes of entries do not keep an owner from following the good ones", "[host][platform]")
{
    std::mt19937_64 random{baseSeed()};
    owner_with_entries fixture;
    fixture.beginServing(1);
    for (int round = 0; round < 300; ++round) {
        auto odd = goodEntry().dump();
        for (int change = 0; change < 3; ++change) {
            odd[random() % odd.size()] = static_cast<char>(random() % 256);
        }
        fixture.memory.put(store::topic::worker_records, "odd" + std::to_string(round % 20), odd);
        fixture.runFor(host::workerListPeriod);
    }
    fixture.memory.put(store::topic::worker_records, "w1", goodEntry().dump());
    fixture.runFor(std::chrono::seconds{2});
    CHECK(fixture.startsJob("last"));
}
