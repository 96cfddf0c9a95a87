#include <poplarpass/request/constants.h>
#include <poplarpass/request/worker_pool.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
namespace
{
auto openSlotsOf(const worker_view &worker) -> int
{
    return worker.open ? worker.slots : 0;
}

auto freeSlotsOf(const worker_view &worker) -> int
{
    return worker.open ? worker.freeSlots() : 0;
}
} // namespace

worker_pool::worker_pool(placement_policy policy)
    : m_policy{std::move(policy)}
{
}

auto worker_pool::addOrUpdate(worker_view worker) -> void
{
    if (!m_index.contains(worker.host)) {
        m_index.emplace(worker.host, m_workers.size());
        m_totals.open += openSlotsOf(worker);
        m_totals.free += freeSlotsOf(worker);
        m_workers.push_back(std::move(worker));
        m_histories.emplace_back();
        return;
    }
    updateWorker(worker.host, [&worker](worker_view &existing, send_history & /*record*/) {
        existing.address = std::move(worker.address);
        existing.zone = std::move(worker.zone);
        existing.generation = worker.generation;
        existing.slots = worker.slots;
        existing.connections = worker.connections;
        existing.cores = worker.cores;
        existing.memoryMb = worker.memoryMb;
    });
}

auto worker_pool::remove(const core::host_id &host) -> void
{
    const auto found = m_index.find(host);
    if (found == m_index.end()) {
        return;
    }
    const auto index = found->second;
    m_totals.open -= openSlotsOf(m_workers[index]);
    m_totals.free -= freeSlotsOf(m_workers[index]);
    m_index.erase(found);
    if (index + 1 != m_workers.size()) {
        m_workers[index] = std::move(m_workers.back());
        m_histories[index] = std::move(m_histories.back());
        m_index[m_workers[index].host] = index;
    }
    m_workers.pop_back();
    m_histories.pop_back();
}

// Most short jobs counted in a report have ended by the time it arrives. The report is therefore used only to estimate,
// with smoothing, the usage by other entries; this entry's own usage is known exactly.
auto worker_pool::report(const core::host_id &host, const platform::lease_response &figures,
                         core::monotonic_time requestedAt) -> void
{
    updateWorker(host, [&figures, requestedAt](worker_view &worker, send_history &record) {
        if (record.lastReportRequestedAt && requestedAt < *record.lastReportRequestedAt) {
            return;
        }
        const double weight = record.lastReportRequestedAt ? reportWeight : 1.0;
        record.lastReportRequestedAt = requestedAt;
        std::erase_if(record.openSends, [requestedAt](core::monotonic_time sentAt) { return sentAt < requestedAt; });
        const int ownReported = worker.outstanding - static_cast<int>(record.openSends.size());
        const double others = std::max(0, figures.usedSlots - ownReported);
        const double otherConnections = std::max(0, figures.usedConnections - ownReported);
        worker.otherSlots += weight * (others - worker.otherSlots);
        worker.otherConnections += weight * (otherConnections - worker.otherConnections);
    });
}

auto worker_pool::setOpen(const core::host_id &host, bool open) -> void
{
    updateWorker(host, [open](worker_view &worker, send_history & /*record*/) { worker.open = open; });
}

auto worker_pool::setFailureRate(const core::host_id &host, double rate) -> void
{
    updateWorker(host, [rate](worker_view &worker, send_history & /*record*/) { worker.failureRate = rate; });
}

auto worker_pool::sent(const core::host_id &host, core::monotonic_time at) -> void
{
    updateWorker(host, [at](worker_view &worker, send_history &record) {
        ++worker.outstanding;
        record.openSends.push_back(at);
    });
}

auto worker_pool::ended(const core::host_id &host, core::monotonic_time sentAt) -> void
{
    updateWorker(host, [sentAt](worker_view &worker, send_history &record) {
        worker.outstanding = std::max(0, worker.outstanding - 1);
        const auto send = std::ranges::find(record.openSends, sentAt);
        if (send != record.openSends.end()) {
            record.openSends.erase(send);
        }
    });
}

auto worker_pool::rejectedNoSlot(const core::host_id &host) -> void
{
    updateWorker(host, [](worker_view &worker, send_history & /*record*/) {
        worker.otherSlots = std::max(worker.otherSlots, static_cast<double>(worker.slots - worker.outstanding));
    });
}

auto worker_pool::choose(const placement_query &query, std::mt19937_64 &random) -> const worker_view *
{
    if (m_totals.free <= 0) {
        return nullptr;
    }
    const auto index = m_policy(query, m_workers, random);
    return index ? &m_workers[*index] : nullptr;
}

auto worker_pool::fitsAnyWorker(const placement_query &query) const -> bool
{
    return std::ranges::any_of(m_workers, [&query](const worker_view &worker) { return isLargeEnough(worker, query); });
}

auto worker_pool::find(const core::host_id &host) const -> const worker_view *
{
    const auto found = m_index.find(host);
    return found == m_index.end() ? nullptr : &m_workers[found->second];
}

auto worker_pool::workers() const -> std::span<const worker_view>
{
    return m_workers;
}

auto worker_pool::openSlots() const -> int
{
    return m_totals.open;
}

auto worker_pool::freeSlots() const -> int
{
    return m_totals.free;
}

template <class change>
auto worker_pool::updateWorker(const core::host_id &host, change apply) -> void
{
    const auto found = m_index.find(host);
    if (found == m_index.end()) {
        return;
    }
    auto &worker = m_workers[found->second];
    m_totals.open -= openSlotsOf(worker);
    m_totals.free -= freeSlotsOf(worker);
    apply(worker, m_histories[found->second]);
    m_totals.open += openSlotsOf(worker);
    m_totals.free += freeSlotsOf(worker);
}
} // namespace poplarpass::request
