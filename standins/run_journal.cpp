#include "run_journal.h"

#include "json_http.h"

namespace standins
{
using nlohmann::json;

namespace
{
constexpr std::size_t maxRefusalRecords = 20'000;

auto encode(const run_record &run) -> json
{
    return {{"task_id", run.taskId},  {"attempt_id", run.attemptId}, {"pool", run.pool},    {"kind", run.kind},
            {"boot_id", run.bootId},  {"start_ms", run.startMs},     {"end_ms", run.endMs}, {"outcome", run.outcome},
            {"leaving", run.leaving}, {"resumed", run.resumed}};
}

auto encode(const refusal_record &refused) -> json
{
    json document{{"task_id", refused.taskId},
                  {"attempt_id", refused.attemptId},
                  {"reason", refused.reason},
                  {"at_ms", refused.atMs}};
    if (refused.sinceDrainMs) {
        document["since_drain_ms"] = *refused.sinceDrainMs;
    }
    return document;
}

template <class record_type>
auto encodeAll(const std::vector<record_type> &records) -> json
{
    json list = json::array();
    for (const auto &record : records) {
        list.push_back(encode(record));
    }
    return list;
}
} // namespace

auto run_journal::recordStart(run_record record) -> std::size_t
{
    m_runs.push_back(std::move(record));
    return m_runs.size() - 1;
}

auto run_journal::recordEnd(std::size_t index, std::string_view outcome) -> void
{
    auto &run = m_runs.at(index);
    run.endMs = unixMilliseconds();
    run.outcome = outcome;
}

auto run_journal::recordRefusal(refusal_record record) -> void
{
    ++m_refusalCounts[record.reason];
    if (m_refused.size() < maxRefusalRecords) {
        m_refused.push_back(std::move(record));
    }
}

auto run_journal::runs() const -> const std::vector<run_record> &
{
    return m_runs;
}

auto run_journal::toJson() const -> json
{
    return {{"runs", encodeAll(m_runs)}, {"refused", encodeAll(m_refused)}, {"refusals", m_refusalCounts}};
}
} // namespace standins
