#include "fakes/stepped_time.h"
#include "test_seed.h"

#include <poplarpass/store.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace
{
namespace core = poplarpass::core;
namespace store = poplarpass::store;
using std::chrono::milliseconds;

constexpr milliseconds callTimeout{1500};

/// \brief A store that answers each append after latency, or not at all.
struct fake_store
{
    fakes::stepped_time time;
    milliseconds latency{4};
    std::function<bool()> losesAnswer = [] {
        return false;
    };
    store::append_outcome outcome = store::append_outcome::appended;
    std::vector<store::record_append> copies;
    store::record_store calls;
    const core::time_source source = time.source();
    std::vector<unsigned> repeats;
    std::optional<store::append_repeater> repeater;

    fake_store()
    {
        calls.append = [this](const store::record_append &request, std::function<void(store::append_result)> done) {
            copies.push_back(request);
            const bool lost = losesAnswer();
            const auto result = lost ? store::append_outcome::unknown : outcome;
            source.callAfter(lost ? callTimeout : latency, [result, done = std::move(done)] { done({result, 0, 0}); });
        };
        repeater.emplace(calls, source, [this](store::topic, unsigned copy) { repeats.push_back(copy); });
    }

    static auto fenced(std::uint64_t sequence) -> store::record_append
    {
        store::record_append request;
        request.fence = store::writer_fence{7, sequence};
        return request;
    }

    /// \brief Appends until an append is stored, as the journal does.
    /// \returns the time until it is known to be stored
    auto appendUntilStored(const store::record_store &through, std::uint64_t sequence) -> core::duration
    {
        const auto begin = source.now();
        bool stored = false;
        while (!stored) {
            bool ended = false;
            through.append(fenced(sequence), [&](const store::append_result &answer) {
                ended = true;
                stored = answer.outcome == store::append_outcome::appended;
            });
            time.runUntil([&ended] { return ended; });
        }
        return source.now() - begin;
    }
};
} // namespace

TEST_CASE("Lost answers of the store cost little more than answers take", "[store][load]")
{
    fake_store fake;
    std::mt19937_64 random{tests::baseSeed()};
    std::bernoulli_distribution lost{0.4};
    auto calls = fake.repeater->calls();
    for (std::uint64_t sequence = 0; sequence < 20; ++sequence) {
        fake.appendUntilStored(calls, sequence);
    }
    fake.losesAnswer = [&] {
        return lost(random);
    };
    core::duration repeated{0};
    core::duration plain{0};
    for (std::uint64_t sequence = 0; sequence < 100; ++sequence) {
        repeated += fake.appendUntilStored(calls, 20 + sequence);
        plain += fake.appendUntilStored(fake.calls, 120 + sequence);
    }
    INFO("mean latency " << repeated.count() / 100'000 << " ms, without repeats " << plain.count() / 100'000 << " ms");
    CHECK(repeated < milliseconds{150} * 100);
    CHECK(repeated * 4 < plain);
}

TEST_CASE("A store that is only slow gets few appends twice", "[store][load]")
{
    fake_store fake;
    auto calls = fake.repeater->calls();
    for (std::uint64_t sequence = 0; sequence < 20; ++sequence) {
        fake.appendUntilStored(calls, sequence);
    }
    fake.latency = milliseconds{300};
    fake.copies.clear();
    for (std::uint64_t sequence = 20; sequence < 70; ++sequence) {
        fake.appendUntilStored(calls, sequence);
    }
    CHECK(fake.copies.size() < 60);
}

TEST_CASE("All copies of an append carry its epoch and sequence number, and its caller is answered once", "[store]")
{
    fake_store fake;
    auto calls = fake.repeater->calls();
    fake.appendUntilStored(calls, 0);
    fake.copies.clear();
    fake.latency = milliseconds{200};
    int answers = 0;
    calls.append(fake_store::fenced(1), [&](const store::append_result &) { ++answers; });
    fake.time.runFor(milliseconds{220});
    CHECK(answers == 1);
    const auto copiesUntilAnswer = fake.copies.size();
    fake.time.runFor(milliseconds{5000});
    CHECK(answers == 1);
    CHECK(fake.copies.size() == copiesUntilAnswer);
    CHECK(fake.copies.size() > 1);
    CHECK(fake.repeats.size() == fake.copies.size() - 1);
    for (const auto &copy : fake.copies) {
        CHECK(copy.fence->epoch == 7);
        CHECK(copy.fence->sequence == 1);
    }
}

TEST_CASE("An append without a fence is never repeated, as the store would carry it out again", "[store]")
{
    fake_store fake;
    auto calls = fake.repeater->calls();
    fake.appendUntilStored(calls, 0);
    fake.copies.clear();
    fake.losesAnswer = [] {
        return true;
    };
    store::record_append claim;
    claim.expectedEnd = 3;
    int answers = 0;
    calls.append(claim, [&](const store::append_result &) { ++answers; });
    fake.time.runFor(milliseconds{5000});
    CHECK(fake.copies.size() == 1);
    CHECK(answers == 1);
}

TEST_CASE("An append is not reported as refused while a copy may have been carried out", "[store]")
{
    fake_store fake;
    auto calls = fake.repeater->calls();
    fake.appendUntilStored(calls, 0);
    bool isFirst = true;
    fake.losesAnswer = [&isFirst] {
        return std::exchange(isFirst, false);
    };
    fake.outcome = store::append_outcome::refused;
    std::optional<store::append_outcome> outcome;
    calls.append(fake_store::fenced(1), [&](const store::append_result &answer) { outcome = answer.outcome; });
    fake.time.runFor(milliseconds{1000});
    CHECK_FALSE(outcome);
    fake.time.runFor(milliseconds{4000});
    CHECK(outcome == store::append_outcome::unknown);
}

TEST_CASE("No copy is sent and no caller answered after the end of the repeater", "[store]")
{
    fake_store fake;
    auto calls = fake.repeater->calls();
    fake.appendUntilStored(calls, 0);
    fake.losesAnswer = [] {
        return true;
    };
    int answers = 0;
    calls.append(fake_store::fenced(1), [&](const store::append_result &) { ++answers; });
    const auto sent = fake.copies.size();
    fake.repeater.reset();
    fake.time.runFor(milliseconds{5000});
    CHECK(fake.copies.size() == sent);
    CHECK(answers == 0);
}
