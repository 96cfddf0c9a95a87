#include <poplarpass/codec/job_codec.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/journal.h>
#include <poplarpass/jobs/progress_text.h>

#include <algorithm>
#include <cassert>
#include <optional>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace poplarpass::host
{
namespace
{
constexpr char specPrefix = 'j';
constexpr char progressPrefix = 'p';
constexpr char silencePrefix = 's';

auto sizeOf(const store::keyed_record &record) -> std::size_t
{
    return record.key.size() + record.value.size();
}

auto encodeSilence(const jobs::unrenewed_lease &silence) -> std::string
{
    if (!silence.remaining) {
        return {};
    }
    return std::to_string(silence.incarnation) + " " + std::to_string(silence.remaining->count());
}

auto decodeSilence(const store::stored_record &record) -> std::optional<jobs::unrenewed_lease>
{
    std::istringstream in{record.value};
    std::int64_t incarnation = 0;
    std::int64_t remaining = 0;
    if (!(in >> incarnation >> remaining) || remaining < 0) {
        return std::nullopt;
    }
    return jobs::unrenewed_lease{jobs::worker_id{record.key.substr(1)}, incarnation,
                                 std::chrono::milliseconds{remaining}};
}
} // namespace

journal::journal(const core::time_source &time, const store::record_store &records, observe::logger &log,
                 std::uint64_t epoch, fenced_hook onFenced, std::function<void()> onIdle)
    : m_time{time}
    , m_store{records}
    , m_log{log}
    , m_epoch{epoch}
    , m_onFenced{std::move(onFenced)}
    , m_onIdle{std::move(onIdle)}
{
}

auto journal::open(std::function<void()> done) -> void
{
    assert(m_batches.empty());
    m_batches.push_back({{}, {}, {std::move(done)}});
    startNext();
}

auto journal::write(const jobs::job_engine &engine, const std::set<jobs::job_id> &changed,
                    std::span<const jobs::unrenewed_lease> silences, std::function<void()> afterwards) -> void
{
    auto &open = openBatch();
    std::size_t bytes = 0;
    for (const auto &record : open.records) {
        bytes += sizeOf(record);
    }
    for (const auto &silence : silences) {
        open.records.push_back({silencePrefix + silence.worker.str(), encodeSilence(silence)});
    }
    for (const auto &id : changed) {
        const auto *job = engine.find(id);
        if (job == nullptr) {
            continue;
        }
        if (bytes > appendBytes) {
            m_batches.emplace_back();
            bytes = 0;
        }
        auto &batch = m_batches.back();
        batch.jobs.insert(id);
        if (job->isSettled()) {
            if (m_knownSpecs.erase(id.str()) > 0) {
                batch.records.push_back({specPrefix + id.str(), {}});
            }
            batch.records.push_back({progressPrefix + id.str(), jobs::encodeEnd(job->phase)});
            continue;
        }
        if (m_knownSpecs.insert(id.str()).second) {
            batch.records.push_back({specPrefix + id.str(), codec::encodeJob(*job)});
            bytes += sizeOf(batch.records.back());
        }
        batch.records.push_back({progressPrefix + id.str(), jobs::encodeProgress(*job)});
        bytes += sizeOf(batch.records.back());
    }
    m_batches.back().afterwards.push_back(std::move(afterwards));
    startSoon();
}

// The batch that is on its way takes nothing more.
auto journal::openBatch() -> batch &
{
    if (m_batches.size() <= (m_busy ? 1U : 0U)) {
        m_batches.emplace_back();
    }
    return m_batches.back();
}

// What one turn decides about jobs, hosts and waves goes in one append: with a slow store each append counts.
auto journal::startSoon() -> void
{
    if (!m_busy && !std::exchange(m_startPlanned, true)) {
        m_time.callAfter(core::duration{0}, m_life.guard([this] {
            m_startPlanned = false;
            startNext();
        }));
    }
}

auto journal::writeRecord(store::keyed_record record, std::function<void()> afterwards) -> void
{
    auto &batch = openBatch();
    batch.records.push_back(std::move(record));
    if (afterwards) {
        batch.afterwards.push_back(std::move(afterwards));
    }
    startSoon();
}

auto journal::remove(std::span<const jobs::job_id> forgotten) -> void
{
    if (forgotten.empty()) {
        return;
    }
    auto &removal = openBatch();
    for (const auto &id : forgotten) {
        removal.records.push_back({specPrefix + id.str(), {}});
        removal.records.push_back({progressPrefix + id.str(), {}});
        m_knownSpecs.erase(id.str());
    }
    startSoon();
}

auto journal::isBusy() const -> bool
{
    return !m_batches.empty();
}

auto journal::stalledFor(core::monotonic_time now) const -> core::duration
{
    return m_busy ? now - m_sentAt : core::duration{0};
}

auto journal::isPending(const jobs::job_id &id) const -> bool
{
    return std::ranges::any_of(m_batches, [&](const batch &entry) { return entry.jobs.contains(id); });
}

auto journal::markKnown(const jobs::job_id &id) -> void
{
    m_knownSpecs.insert(id.str());
}

auto journal::stop() -> void
{
    m_life.end();
    m_batches.clear();
}

auto journal::startNext() -> void
{
    if (!m_busy && !m_batches.empty()) {
        m_busy = true;
        m_sentAt = m_time.now();
        send();
    }
}

auto journal::send() -> void
{
    store::record_append request;
    request.to = store::topic::jobs;
    request.keyedRecords = m_batches.front().records;
    request.fence = store::writer_fence{m_epoch, m_sequence};
    m_store.append(std::move(request), m_life.guard([this](const store::append_result &answer) { onAnswer(answer); }));
}

auto journal::onAnswer(const store::append_result &answer) -> void
{
    switch (answer.outcome) {
    case store::append_outcome::appended:
        break;
    case store::append_outcome::refused:
    case store::append_outcome::unknown:
        if (!std::exchange(m_troubled, true)) {
            m_log.log(observe::log_level::warning, "journal_stalled",
                      {{"epoch", m_epoch}, {"sequence", m_sequence}, {"batches", m_batches.size()}});
        }
        retryLater();
        return;
    case store::append_outcome::fenced:
    case store::append_outcome::conflict:
    case store::append_outcome::out_of_sequence:
        m_log.log(observe::log_level::warning, "journal_fenced", {{"epoch", m_epoch}, {"sequence", m_sequence}});
        m_onFenced();
        return;
    }
    if (std::exchange(m_troubled, false)) {
        m_log.log(observe::log_level::info, "journal_resumed", {{"epoch", m_epoch}, {"sequence", m_sequence}});
    }
    if (const auto took = m_time.now() - m_sentAt; took >= slowAppend) {
        m_log.log(observe::log_level::warning, "journal_slow",
                  {{"epoch", m_epoch},
                   {"sequence", m_sequence},
                   {"records", m_batches.front().records.size()},
                   {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count()}});
    }
    ++m_sequence;
    m_busy = false;
    const auto stored = std::move(m_batches.front());
    m_batches.pop_front();
    const auto alive = m_life.aliveFlag();
    for (const auto &call : stored.afterwards) {
        call();
        if (!*alive) {
            return;
        }
    }
    if (m_batches.empty()) {
        m_onIdle();
    } else {
        startNext();
    }
}

auto journal::retryLater() -> void
{
    m_time.callAfter(storeRetry, m_life.guard([this] { send(); }));
}

auto restoreJobs(const store::newest_result &newest, observe::logger &log) -> std::vector<jobs::multistep_job_record>
{
    std::unordered_map<std::string, jobs::multistep_job_record> found;
    for (const auto &record : newest.records) {
        if (record.key.size() < 2 || record.key.front() != specPrefix) {
            continue;
        }
        auto id = record.key.substr(1);
        auto job = codec::decodeJob(jobs::job_id{id}, record.value);
        if (job) {
            found.emplace(std::move(id), std::move(*job));
        } else {
            log.log(observe::log_level::error, "job_record_unreadable", {{"job", id}, {"detail", job.error().detail}});
        }
    }
    for (const auto &record : newest.records) {
        if (record.key.size() < 2 || record.key.front() != progressPrefix) {
            continue;
        }
        auto id = record.key.substr(1);
        if (const auto end = jobs::decodeEnd(record.value)) {
            found.insert_or_assign(id, jobs::makeEndedJob(jobs::job_id{id}, *end));
            continue;
        }
        const auto job = found.find(id);
        if (job != found.end() && !jobs::applyProgress(job->second, record.value)) {
            log.log(observe::log_level::error, "progress_record_unreadable", {{"job", job->first}});
        }
    }
    std::vector<jobs::multistep_job_record> jobs;
    for (auto &[id, job] : found) {
        jobs.push_back(std::move(job));
    }
    return jobs;
}

auto restoreSilences(const store::newest_result &newest, observe::logger &log) -> std::vector<jobs::unrenewed_lease>
{
    std::vector<jobs::unrenewed_lease> silences;
    for (const auto &record : newest.records) {
        if (record.key.size() < 2 || record.key.front() != silencePrefix) {
            continue;
        }
        if (auto silence = decodeSilence(record)) {
            silences.push_back(std::move(*silence));
        } else {
            log.log(observe::log_level::error, "silence_record_unreadable", {{"worker", record.key.substr(1)}});
        }
    }
    return silences;
}
} // namespace poplarpass::host
