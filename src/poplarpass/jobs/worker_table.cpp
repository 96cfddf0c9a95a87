#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/worker_table.h>

#include <algorithm>

namespace poplarpass::jobs
{
auto worker_slot::acceptsStarts(core::monotonic_time now) const -> bool
{
    return listed && synced && responsive && !leaving && !entry.draining && now >= pausedUntil
        && now - lastResponseAt < workerResponseTimeout && listedEnds < maxUnacknowledgedEnds;
}

// An acknowledgement covers all ends up to its number.
auto worker_slot::acknowledgeableEnd() const -> std::uint64_t
{
    return heldEnds.empty() ? lastHandledEnd : heldEnds.begin()->first - 1;
}

auto worker_slot::isReserved(core::monotonic_time now) const -> bool
{
    return observation && now < observation->until;
}

auto worker_slot::free() const -> resources
{
    auto remaining = entry.capacity;
    remaining -= used;
    remaining -= lingering;
    remaining -= reservedRoom;
    return remaining;
}

auto worker_slot::freeOfShortTasks() const -> resources
{
    auto remaining = entry.capacity;
    remaining -= longRunningUse;
    remaining -= reservedRoom;
    return remaining;
}

auto worker_slot::mayRunTasks() const -> bool
{
    return !placed.empty() || waitingOpenStarts > 0;
}

auto worker_slot::isIdleAndUnlisted() const -> bool
{
    return !listed && !mayRunTasks() && lingering == resources{};
}

auto worker_slot::hasLabel(std::string_view label) const -> bool
{
    return std::ranges::find(entry.labels, label) != entry.labels.end();
}

auto worker_slot::clockAt(core::monotonic_time now) const -> std::int64_t
{
    return clockMs + std::chrono::duration_cast<std::chrono::milliseconds>(now - clockReadAt).count();
}

auto worker_table::update(std::span<const worker_entry> entries, core::monotonic_time now) -> void
{
    m_areIndexesCurrent = false;
    for (auto &[id, worker] : m_workers) {
        worker.listed = false;
    }
    for (const auto &entry : entries) {
        auto &worker = findOrCreate(entry.id);
        if (worker.entry.incarnation != 0 && entry.incarnation > worker.entry.incarnation) {
            worker.synced = false;
            markUnresponsive(worker, now);
            onRestartNoticed(worker, now);
        }
        // An entry of an earlier incarnation was written late, unless only an entry has named the later one: that entry
        // may be wrong, and the newest one counts.
        const bool isConfirmed = worker.reportedIncarnation == worker.entry.incarnation;
        if (entry.incarnation < worker.entry.incarnation && isConfirmed) {
            worker.listed = true;
            continue;
        }
        if (!worker.synced) {
            worker.clockMs = entry.clockMs;
            worker.clockReadAt = now;
        }
        worker.entry = entry;
        worker.listed = true;
    }
}

auto worker_table::startIncarnation(worker_slot &worker, std::int64_t incarnation) -> void
{
    worker.entry.incarnation = incarnation;
    worker.reportedIncarnation = incarnation;
    worker.synced = false;
    worker.lastHandledEnd = 0;
    worker.listedEnds = 0;
    worker.heldEnds.clear();
    worker.consecutiveFailures = 0;
    worker.observation.reset();
}

auto worker_table::find(const worker_id &id) -> worker_slot *
{
    const auto found = m_byId.find(id.str());
    return found == m_byId.end() ? nullptr : found->second;
}

auto worker_table::findOrAdd(const worker_id &id) -> worker_slot &
{
    m_areIndexesCurrent = false;
    auto &worker = findOrCreate(id);
    worker.entry.id = id;
    return worker;
}

auto worker_table::findOrCreate(const worker_id &id) -> worker_slot &
{
    const auto [entry, isNew] = m_workers.try_emplace(id);
    if (isNew) {
        m_byId.emplace(entry->first.str(), &entry->second);
        m_unrenewed.emplace(id, &entry->second);
    }
    return entry->second;
}

auto worker_table::markResponsive(worker_slot &worker, core::monotonic_time now) -> void
{
    worker.responsive = true;
    worker.isCrashRecorded = false;
    worker.openStartsEnd = {};
    worker.lastResponseAt = now;
    worker.lastHeardAt = now;
}

auto worker_table::markUnresponsive(worker_slot &worker, core::monotonic_time now) -> void
{
    worker.contactLostAt = worker.responsive ? now : worker.contactLostAt;
    worker.responsive = false;
    m_unrenewed.emplace(worker.entry.id, &worker);
}

auto worker_table::unrenewed() const -> const std::map<worker_id, worker_slot *> &
{
    return m_unrenewed;
}

auto worker_table::draining() -> std::span<worker_slot *const>
{
    if (!m_areIndexesCurrent) {
        updateIndexes();
    }
    return m_draining;
}

auto worker_table::all() -> std::map<worker_id, worker_slot> &
{
    return m_workers;
}

auto worker_table::all() const -> const std::map<worker_id, worker_slot> &
{
    return m_workers;
}

auto worker_table::ofPool(const core::pool_id &pool) -> std::span<worker_slot *const>
{
    const auto found = byPool().find(pool);
    return found == m_byPool.end() ? std::span<worker_slot *const>{} : std::span<worker_slot *const>{found->second};
}

auto worker_table::byPool() -> const std::map<core::pool_id, std::vector<worker_slot *>> &
{
    if (!m_areIndexesCurrent) {
        updateIndexes();
    }
    return m_byPool;
}

auto worker_table::updateIndexes() -> void
{
    m_byPool.clear();
    m_draining.clear();
    for (auto &[id, worker] : m_workers) {
        m_byPool[worker.entry.pool].push_back(&worker);
        if (worker.listed && worker.entry.draining) {
            m_draining.push_back(&worker);
        }
    }
    m_areIndexesCurrent = true;
}

// The worker's clock had reached c by local time t, so it reaches c + d by t + d / minWorkerClockRate.
auto worker_table::extendLease(worker_slot &worker, core::monotonic_time now) -> std::int64_t
{
    const auto deadline =
        worker.clockAt(now) + std::chrono::duration_cast<std::chrono::milliseconds>(workerLease).count();
    const auto span =
        std::chrono::duration<double, std::milli>{static_cast<double>(deadline - worker.clockMs) / minWorkerClockRate};
    const auto end = worker.clockReadAt + std::chrono::duration_cast<core::duration>(span) + leaseMargin;
    worker.leaseEnd = std::max(worker.leaseEnd, end);
    worker.leaseSentAt = now;
    return deadline;
}

// A deadline in terms of the former clock bounds nothing once the clock began again: the worker then grants the longest
// lease, counted from the arrival of the call.
auto worker_table::onRestartNoticed(worker_slot &worker, core::monotonic_time now) -> void
{
    const auto lastArrival = std::max(now, worker.leaseSentAt.value_or(core::monotonic_time{}) + maxCallDelay);
    worker.leaseEnd = std::max(worker.leaseEnd, lastArrival + maxGrantedLease + leaseMargin);
}

// Leases in terms of the present clock end within maxRealLease. A former owner may also have sent some in terms of an
// earlier clock, but only until it noticed the restart.
auto worker_table::limitFormerLease(worker_slot &worker, core::monotonic_time startedAt, core::monotonic_time now)
    -> void
{
    const auto lastArrival = std::min(now, startedAt + maxRestartNotice + maxCallDelay);
    worker.leaseEnd = std::max(now + maxRealLease, lastArrival + maxGrantedLease) + leaseMargin;
}

auto worker_table::leaseEndAfterRestart(core::monotonic_time lastSentAt) -> core::monotonic_time
{
    return lastSentAt + maxCallDelay + maxGrantedLease + leaseMargin;
}

// The former owner extended no lease of that worker after writing the record, so the recorded remainder replaces the
// bound derived from the former owner's term.
auto worker_table::restoreUnrenewedLease(const unrenewed_lease &record, core::monotonic_time now) -> void
{
    auto *worker = find(record.worker);
    if (worker != nullptr && record.remaining && worker->entry.incarnation == record.incarnation) {
        worker->leaseEnd = now + *record.remaining;
        worker->recordedRemainder = record.remaining;
    }
}

auto worker_table::limitFormerLeases(core::monotonic_time ordersUntil) -> void
{
    for (auto &[id, worker] : m_workers) {
        if (!worker.synced) {
            worker.leaseEnd = std::min(worker.leaseEnd, leaseEndAfterRestart(ordersUntil));
        }
    }
}

auto worker_table::collectUnrenewedLeases(core::monotonic_time now) -> std::vector<unrenewed_lease>
{
    std::vector<unrenewed_lease> changed;
    for (auto &[id, worker] : m_unrenewed) {
        if (worker->responsive || worker->placed.empty()) {
            if (worker->recordedRemainder) {
                changed.push_back({id, worker->entry.incarnation, std::nullopt});
            }
            worker->recordedRemainder.reset();
            continue;
        }
        const auto end = std::max(worker->leaseEnd, worker->openStartsEnd);
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::max(end - now, core::duration{0}));
        if (!worker->recordedRemainder || *worker->recordedRemainder - remaining >= leaseRecordStep) {
            worker->recordedRemainder = remaining;
            changed.push_back({id, worker->entry.incarnation, remaining});
        }
    }
    std::erase_if(m_unrenewed, [](const auto &entry) { return entry.second->responsive; });
    return changed;
}

// A worker whose entry is missing may be back under its identifier. Calls to its former incarnation then extend the
// leases of its next runs, so their bound has to outlast the entry.
auto worker_table::removeUnused(core::monotonic_time now) -> void
{
    m_areIndexesCurrent = false;
    const auto isUnused = [now](const worker_slot &worker) {
        const bool mayExtend = worker.leaseSentAt && now < leaseEndAfterRestart(*worker.leaseSentAt);
        return worker.isIdleAndUnlisted() && !mayExtend && now >= worker.leaseEnd;
    };
    std::erase_if(m_unrenewed, [&](const auto &entry) { return isUnused(*entry.second); });
    std::erase_if(m_byId, [&](const auto &entry) { return isUnused(*entry.second); });
    std::erase_if(m_workers, [&](const auto &entry) { return isUnused(entry.second); });
}
} // namespace poplarpass::jobs
