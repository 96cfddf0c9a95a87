#include "load.h"

#include "test_seed.h"

#include <map>
#include <random>

namespace tests
{
namespace
{
using nlohmann::json;

// Shorter than the time an entry is suspended, so that its callers continue with other entries.
constexpr std::chrono::seconds callerPatience{5};

auto countStarts(const json &journal) -> std::map<std::string, int>
{
    std::map<std::string, int> starts;
    for (const auto &worker : journal.at("workers")) {
        for (const auto &run : worker.at("runs")) {
            ++starts[run.at("task_id").get<std::string>()];
        }
    }
    return starts;
}
} // namespace

load::load(deployment &fleet, int callers, int runTimeMs)
    : m_fleet{fleet}
    , m_runTimeMs{runTimeMs}
{
    for (const auto &entry : fleet.entries()) {
        m_addresses.push_back(fleet.callers(entry));
    }
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] { sendLoop(baseSeed() + static_cast<std::uint64_t>(caller)); });
    }
}

load::~load()
{
    finish();
}

auto load::sendLoop(std::uint64_t seed) -> void
{
    std::mt19937_64 random{seed};
    while (!m_stopping) {
        const auto key = mintKey();
        const auto first = random() % m_addresses.size();
        const auto second = random() % m_addresses.size();
        std::thread racing;
        // One key in three is sent to another entry concurrently, one in three again after the response.
        const auto repeat = random() % 3;
        if (repeat == 0) {
            racing = std::thread{[&] {
                sendOne(m_fleet.entries()[second], m_addresses[second], key);
            }};
        }
        sendOne(m_fleet.entries()[first], m_addresses[first], key);
        if (racing.joinable()) {
            racing.join();
        }
        if (repeat == 1) {
            sendOne(m_fleet.entries()[second], m_addresses[second], key);
        }
    }
}

auto load::sendOne(const std::string &entry, const std::string &address, const std::string &key) -> void
{
    const auto answer = httpCall(address, "POST", "/v1/jobs", jobBody(key, m_runTimeMs), callerPatience);
    const auto body = json::parse(answer.body, nullptr, false);
    told one{key, entry, answer.status, {}, {}, {}, {}};
    if (body.is_object()) {
        one.error = body.value("error", "");
        one.detail = body.value("detail", "");
        one.ran = body.value("ran", "");
        one.output = body.value("output", "");
    }
    const std::scoped_lock lock{m_mutex};
    m_told.push_back(std::move(one));
}

auto load::finish() -> std::vector<told>
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    const std::scoped_lock lock{m_mutex};
    return m_told;
}

auto load::count() -> std::size_t
{
    const std::scoped_lock lock{m_mutex};
    return m_told.size();
}

auto check(const std::vector<told> &all, const json &journal) -> verdict
{
    verdict result;
    const auto starts = countStarts(journal);
    for (const auto &[task, count] : starts) {
        if (count > 1) {
            result.violations.push_back(task + " was started " + std::to_string(count) + " times");
        }
    }
    for (const auto &one : all) {
        const auto found = starts.find(one.key);
        const int started = found == starts.end() ? 0 : found->second;
        result.answered += one.status != 0 ? 1 : 0;
        result.broken += one.status == 0 ? 1 : 0;
        result.finished += one.status == 200 ? 1 : 0;
        result.notRun += one.ran == "not_run" ? 1 : 0;
        result.unknown += one.ran == "unknown" ? 1 : 0;
        if (one.ran == "not_run") {
            result.refusals.push_back(one.entry + " did not run " + one.key + ": " + one.error + ' ' + one.detail);
        }
        if (one.ran == "not_run" && started != 0) {
            result.violations.push_back(one.key + " was reported as not_run (" + one.error + ") by " + one.entry
                                        + " but was started");
        }
        if (one.status == 200 && one.output != "done:" + one.key) {
            result.violations.push_back(one.key + " got the output of another request: " + one.output);
        }
        if (one.status == 200 && started == 0) {
            result.violations.push_back(one.key + " was reported as finished but no worker started it");
        }
    }
    return result;
}
} // namespace tests
