#include "load_generator.h"

#include "test_seed.h"

#include <map>
#include <random>

namespace tests
{
namespace
{
using nlohmann::json;

// Shorter than the time an entry is suspended, so that its callers continue with other entries.
constexpr std::chrono::seconds callTimeout{5};

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

load_generator::load_generator(deployment &fleet, int callers, int runTimeMs)
    : m_fleet{fleet}
    , m_runTimeMs{runTimeMs}
{
    for (const auto &entry : fleet.entries()) {
        m_addresses.push_back(fleet.callerAddress(entry));
    }
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] { sendLoop(baseSeed() + static_cast<std::uint64_t>(caller)); });
    }
}

load_generator::~load_generator()
{
    finish();
}

auto load_generator::sendLoop(std::uint64_t seed) -> void
{
    std::mt19937_64 random{seed};
    while (!m_stopping) {
        const auto key = makeKey();
        const auto first = random() % m_addresses.size();
        const auto second = random() % m_addresses.size();
        std::thread concurrentCall;
        // One key in three is sent to another entry concurrently, one in three again after the response.
        const auto repeat = random() % 3;
        if (repeat == 0) {
            concurrentCall = std::thread{[&] {
                sendOne(m_fleet.entries()[second], m_addresses[second], key);
            }};
        }
        sendOne(m_fleet.entries()[first], m_addresses[first], key);
        if (concurrentCall.joinable()) {
            concurrentCall.join();
        }
        if (repeat == 1) {
            sendOne(m_fleet.entries()[second], m_addresses[second], key);
        }
    }
}

auto load_generator::sendOne(const std::string &entry, const std::string &address, const std::string &key) -> void
{
    const auto answer = httpCall(address, "POST", "/v1/jobs", jobBody(key, m_runTimeMs), callTimeout);
    const auto body = json::parse(answer.body, nullptr, false);
    call_record record{key, entry, answer.status, {}, {}, {}, {}};
    if (body.is_object()) {
        record.error = body.value("error", "");
        record.detail = body.value("detail", "");
        record.ran = body.value("ran", "");
        record.output = body.value("output", "");
    }
    const std::scoped_lock lock{m_mutex};
    m_records.push_back(std::move(record));
}

auto load_generator::finish() -> std::vector<call_record>
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    const std::scoped_lock lock{m_mutex};
    return m_records;
}

auto load_generator::count() -> std::size_t
{
    const std::scoped_lock lock{m_mutex};
    return m_records.size();
}

auto checkRecords(const std::vector<call_record> &records, const json &journal) -> check_result
{
    check_result result;
    const auto starts = countStarts(journal);
    for (const auto &[task, count] : starts) {
        if (count > 1) {
            result.violations.push_back(task + " was started " + std::to_string(count) + " times");
        }
    }
    for (const auto &record : records) {
        const auto found = starts.find(record.key);
        const int started = found == starts.end() ? 0 : found->second;
        result.answered += record.status != 0 ? 1 : 0;
        result.unanswered += record.status == 0 ? 1 : 0;
        result.finished += record.status == 200 ? 1 : 0;
        result.notRun += record.ran == "not_run" ? 1 : 0;
        result.unknown += record.ran == "unknown" ? 1 : 0;
        if (record.ran == "not_run") {
            result.refusals.push_back(record.entry + " did not run " + record.key + ": " + record.error + ' '
                                      + record.detail);
        }
        if (record.ran == "not_run" && started != 0) {
            result.violations.push_back(record.key + " was reported as not_run (" + record.error + ") by "
                                        + record.entry + " but was started");
        }
        if (record.status == 200 && record.output != "done:" + record.key) {
            result.violations.push_back(record.key + " got the output of another request: " + record.output);
        }
        if (record.status == 200 && started == 0) {
            result.violations.push_back(record.key + " was reported as finished but no worker started it");
        }
    }
    return result;
}
} // namespace tests
