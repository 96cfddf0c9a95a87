#include "account_load.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <random>

using namespace tests::jobs_fixture;
using tests::account_load;
using tests::load_job;
using tests::load_result;

namespace
{
constexpr int workerCount = 10;
constexpr std::int64_t endMs = 20'000;
/// \brief Time in which the accounts' regular load arrives.
constexpr std::int64_t loadMs = 12'000;
/// \brief The flood arrives from 3 s to 9 s, as on the measured day.
constexpr std::int64_t floodFromMs = 3'000;
constexpr std::int64_t floodToMs = 9'000;
/// \brief Time with the flood divided by time without it, for accounts that do not flood.
constexpr double maxSlowdown = 1.1;

/// \brief Returns jobs of \p account at random times, \p cores on average.
auto steadyLoad(const std::string &account, double cores, std::int64_t fromMs, std::int64_t toMs, std::uint64_t seed,
                std::uint32_t tasks = 4, std::int64_t runMs = 1000) -> std::vector<load_job>
{
    std::mt19937_64 random{seed};
    const auto meanGap = tasks * static_cast<double>(runMs) / cores;
    std::exponential_distribution<double> gap{1 / meanGap};
    std::vector<load_job> load;
    for (auto next = static_cast<double>(fromMs) + gap(random); next < static_cast<double>(toMs); next += gap(random)) {
        load.push_back({account, static_cast<std::int64_t>(next), tasks, 1000, runMs, false});
    }
    return load;
}

auto append(std::vector<load_job> &load, const std::vector<load_job> &more) -> void
{
    load.insert(load.end(), more.begin(), more.end());
}

/// \brief Returns the mean time from submission to completion of the jobs of \p account submitted in a span.
auto meanTime(const std::vector<load_result> &results, const std::string &account, std::int64_t fromMs = 0,
              std::int64_t toMs = endMs) -> double
{
    auto sum = 0.0;
    auto count = 0;
    for (const auto &result : results) {
        const bool counts =
            result.job.account == account && result.job.submittedMs >= fromMs && result.job.submittedMs < toMs;
        if (counts) {
            sum += static_cast<double>(result.tookMs < 0 ? endMs : result.tookMs);
            ++count;
        }
    }
    return count > 0 ? sum / count : 0.0;
}

auto play(const std::vector<load_job> &load, const std::map<std::string, double> &weights) -> std::vector<load_result>
{
    account_load world{workerCount};
    world.setAccounts(weights);
    return world.play(load, endMs);
}

/// \brief Returns regular loads of \p accounts, 25 cores each, of a pool of 160 cores.
auto regularLoads(const std::vector<std::string> &accounts) -> std::vector<load_job>
{
    std::vector<load_job> load;
    auto seed = tests::baseSeed();
    for (const auto &account : accounts) {
        append(load, steadyLoad(account, 25, 0, loadMs, ++seed));
    }
    return load;
}

auto checkUnharmed(const std::vector<load_result> &quiet, const std::vector<load_result> &flooded,
                   const std::vector<std::string> &accounts) -> void
{
    for (const auto &account : accounts) {
        const auto before = meanTime(quiet, account, floodFromMs, loadMs);
        const auto after = meanTime(flooded, account, floodFromMs, loadMs);
        INFO(account << ": " << before << " ms without the flood, " << after << " ms with it");
        CHECK(after <= before * maxSlowdown);
    }
}
} // namespace

TEST_CASE("A flood from one of several equal accounts does not slow the others", "[jobs][accounts][load]")
{
    const std::vector<std::string> others{"b", "c", "d"};
    const std::map<std::string, double> weights{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
    auto load = regularLoads({"a", "b", "c", "d"});
    const auto quiet = play(load, weights);
    append(load, steadyLoad("a", 7.5 * 25, floodFromMs, floodToMs, tests::baseSeed()));
    checkUnharmed(quiet, play(load, weights), others);
}
