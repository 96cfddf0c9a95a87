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
constexpr char leasePrefix = 's';
constexpr char accountMark = ' ';

auto sizeOf(const store::keyed_record &record) -> std::size_t
{
    return record.key.size() + record.value.size();
}

auto encodeLease(const jobs::unrenewed_lease &lease) -> std::string
{
    if (!lease.remaining) {
        return {};
    }
    return std::to_string(lease.incarnation) + " " + std::to_string(lease.remaining->count());
}

// The specification of a settled job is removed, so its account is kept with its end.
auto encodeEnd(const jobs::multistep_job_record &job) -> std::string
{
    auto text = jobs::encodeEnd(job.phase);
    return job.account.empty() ? text : text + accountMark + job.account.str();
}

auto decodeEnd(const jobs::job_id &id, std::string_view text) -> std::optional<jobs::multistep_job_record>
{
    const auto mark = text.find(accountMark);
    const auto phase = jobs::decodeEnd(text.substr(0, mark));
    if (!phase) {
        return std::nullopt;
    }
    auto job = jobs::makeEndedJob(id, *phase);
    if (mark != std::string_view::npos) {
        job.account = jobs::account_id{std::string{text.substr(mark + 1)}};
    }
    return job;
}

auto decodeLease(const store::stored_record &record) -> std::optional<jobs::unrenewed_lease>
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
    sendNextBatch();
}

auto journal::write(const jobs::job_engine &engine, const std::set<jobs::job_id> &changed,
                    std::span<const jobs::unrenewed_lease> leases, std::function<void()> onStored) -> void
{
    auto &first = pendingBatch();
    std::size_t bytes = 0;
    for (const auto &record : first.records) {
        bytes += sizeOf(record);
    }
    for (const auto &lease : leases) {
        first.records.push_back({leasePrefix + lease.worker.str(), encodeLease(lease)});
    }
    for (const auto &id : changed) {
        const auto *job = engine.find(id);
        if (job == nullptr) {
            continue;
        }
        if (bytes > maxAppendBytes) {
            m_batches.emplace_back();
            bytes = 0;
        }
        auto &batch = m_batches.back();
        batch.jobs.insert(id);
        if (job->isSettled()) {
            if (m_storedSpecs.erase(id.str()) > 0) {
                batch.records.push_back({specPrefix + id.str(), {}});
            }
            batch.records.push_back({progressPrefix + id.str(), encodeEnd(*job)});
            continue;
        }
        if (m_storedSpecs.insert(id.str()).second) {
            batch.records.push_back({specPrefix + id.str(), codec::encodeJob(*job)});
            bytes += sizeOf(batch.records.back());
        }
        batch.records.push_back({progressPrefix + id.str(), jobs::encodeProgress(*job)});
        bytes += sizeOf(batch.records.back());
    }
    m_batches.back().onStored.push_back(std::move(onStored));
    scheduleSend();
}

// The batch in flight is not extended, as a retry must repeat the same append.
auto journal::pendingBatch() -> batch &
{
    if (m_batches.size() <= (m_busy ? 1U : 0U)) {
        m_batches.emplace_back();
    }
    return m_batches.back();
}

// Sending is deferred so that all records of one decision cycle about jobs, hosts and waves share one append: with a
// slow store the number of appends determines the latency.
auto journal::scheduleSend() -> void
{
    if (!m_busy && !std::exchange(m_sendScheduled, true)) {
        m_time.callAfter(core::duration{0}, m_lifetime.guard([this] {
            m_sendScheduled = false;
            sendNextBatch();
        }));
    }
}

auto journal::writeRecord(store::keyed_record record, std::function<void()> onStored) -> void
{
    auto &batch = pendingBatch();
    batch.records.push_back(std::move(record));
    if (onStored) {
        batch.onStored.push_back(std::move(onStored));
    }
    scheduleSend();
}

auto journal::remove(std::span<const jobs::job_id> jobIds) -> void
{
    if (jobIds.empty()) {
        return;
    }
    auto &removal = pendingBatch();
    for (const auto &id : jobIds) {
        removal.records.push_back({specPrefix + id.str(), {}});
        removal.records.push_back({progressPrefix + id.str(), {}});
        m_storedSpecs.erase(id.str());
    }
    scheduleSend();
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

auto journal::markSpecStored(const jobs::job_id &id) -> void
{
    m_storedSpecs.insert(id.str());
}

auto journal::stop() -> void
{
    m_lifetime.end();
    m_batches.clear();
}

auto journal::sendNextBatch() -> void
{
    if (!m_busy && !m_batches.empty()) {
        m_busy = true;
        m_sentAt = m_time.now();
        appendBatch();
    }
}

auto journal::appendBatch() -> void
{
    store::record_append request;
    request.to = store::topic::jobs;
    request.keyedRecords = m_batches.front().records;
    request.fence = store::writer_fence{m_epoch, m_sequence};
    m_store.append(std::move(request),
                   m_lifetime.guard([this](const store::append_result &answer) { onAnswer(answer); }));
}

auto journal::onAnswer(const store::append_result &answer) -> void
{
    switch (answer.outcome) {
    case store::append_outcome::appended:
        break;
    case store::append_outcome::refused:
    case store::append_outcome::unknown:
        if (!std::exchange(m_appendFailing, true)) {
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
    if (std::exchange(m_appendFailing, false)) {
        m_log.log(observe::log_level::info, "journal_resumed", {{"epoch", m_epoch}, {"sequence", m_sequence}});
    }
    if (const auto latency = m_time.now() - m_sentAt; latency >= slowAppendThreshold) {
        m_log.log(observe::log_level::warning, "journal_slow",
                  {{"epoch", m_epoch},
                   {"sequence", m_sequence},
                   {"records", m_batches.front().records.size()},
                   {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(latency).count()}});
    }
    ++m_sequence;
    m_busy = false;
    const auto completed = std::move(m_batches.front());
    m_batches.pop_front();
    const auto alive = m_lifetime.aliveFlag();
    for (const auto &callback : completed.onStored) {
        callback();
        if (!*alive) {
            return;
        }
    }
    if (m_batches.empty()) {
        m_onIdle();
    } else {
        sendNextBatch();
    }
}

auto journal::retryLater() -> void
{
    m_time.callAfter(storeRetryDelay, m_lifetime.guard([this] { appendBatch(); }));
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
        if (auto ended = decodeEnd(jobs::job_id{id}, record.value)) {
            found.insert_or_assign(id, std::move(*ended));
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

auto restoreUnrenewedLeases(const store::newest_result &newest, observe::logger &log)
    -> std::vector<jobs::unrenewed_lease>
{
    std::vector<jobs::unrenewed_lease> leases;
    for (const auto &record : newest.records) {
        if (record.key.size() < 2 || record.key.front() != leasePrefix) {
            continue;
        }
        if (auto lease = decodeLease(record)) {
            leases.push_back(std::move(*lease));
        } else {
            log.log(observe::log_level::error, "silence_record_unreadable", {{"worker", record.key.substr(1)}});
        }
    }
    return leases;
}
} // namespace poplarpass::host
