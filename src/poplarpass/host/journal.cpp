#include <poplarpass/host/constants.h>
#include <poplarpass/host/journal.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

namespace poplarpass::host
{
namespace
{
constexpr char leasePrefix = 's';
/// \brief Bytes of a record in an append beside its key and value: its length and the length of its key.
constexpr std::size_t recordOverheadBytes = 5;

auto sizeOf(const store::keyed_record &record) -> std::size_t
{
    return recordOverheadBytes + record.key.size() + record.value.size();
}

auto encodeLease(const jobs::unrenewed_lease &lease) -> std::string
{
    if (!lease.remaining) {
        return {};
    }
    return std::to_string(lease.incarnation) + " " + std::to_string(lease.remaining->count());
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
                 std::uint64_t epoch, failed_hook onFailed, std::function<void()> onIdle)
    : m_time{time}
    , m_store{records}
    , m_log{log}
    , m_epoch{epoch}
    , m_onFailed{std::move(onFailed)}
    , m_onIdle{std::move(onIdle)}
    , m_jobRecords{records.limits, [this](const jobs::multistep_job_record &job, codec::progress_layout layout) {
                       m_log.log(observe::log_level::info, "progress_layout_changed",
                                 {{"job", job.id.str()},
                                  {"tasks", job.tasks.size()},
                                  {"layout", layout == codec::progress_layout::parts ? "parts" : "one_record"}});
                   }}
{
}

auto journal::open(std::function<void()> done) -> void
{
    assert(m_batches.empty());
    pendingBatch().onStored.push_back(std::move(done));
    sendNextBatch();
}

auto journal::write(const jobs::job_engine &engine, const std::set<jobs::job_id> &changed,
                    std::span<const jobs::unrenewed_lease> leases, std::function<void()> onStored) -> void
{
    for (const auto &lease : leases) {
        add({{leasePrefix + lease.worker.str(), encodeLease(lease)}});
    }
    for (const auto &id : changed) {
        const auto *job = engine.findRecord(id);
        if (job == nullptr) {
            continue;
        }
        for (auto &group : m_jobRecords.update(*job)) {
            add(std::move(group)).jobs.insert(id);
        }
    }
    pendingBatch().onStored.push_back(std::move(onStored));
    scheduleSend();
}

auto journal::add(record_group records) -> batch &
{
    std::size_t bytes = 0;
    for (const auto &record : records) {
        bytes += sizeOf(record);
    }
    auto *last = &pendingBatch();
    if (!last->records.empty() && last->bytes + bytes > std::min(maxAppendBytes, m_store.limits.callBytes)) {
        last = &m_batches.emplace_back();
    }
    last->bytes += bytes;
    std::ranges::move(records, std::back_inserter(last->records));
    return *last;
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
    auto &batch = add({std::move(record)});
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
    for (const auto &id : jobIds) {
        add(m_jobRecords.removalOf(id));
    }
    scheduleSend();
}

auto journal::removeKeys(std::span<const std::string> keys) -> void
{
    if (keys.empty()) {
        return;
    }
    for (const auto &key : keys) {
        add({{key, {}}});
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

auto journal::canStore(const jobs::multistep_job_record &job) const -> bool
{
    return m_jobRecords.canStore(job);
}

auto journal::markStored(const restored_job &job) -> void
{
    m_jobRecords.markStored(job);
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
    case store::append_outcome::rejected:
        m_log.log(observe::log_level::error, "journal_rejected",
                  {{"epoch", m_epoch},
                   {"sequence", m_sequence},
                   {"records", m_batches.front().records.size()},
                   {"bytes", m_batches.front().bytes}});
        m_onFailed();
        return;
    case store::append_outcome::fenced:
    case store::append_outcome::conflict:
    case store::append_outcome::out_of_sequence:
        m_log.log(observe::log_level::warning, "journal_fenced", {{"epoch", m_epoch}, {"sequence", m_sequence}});
        m_onFailed();
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
