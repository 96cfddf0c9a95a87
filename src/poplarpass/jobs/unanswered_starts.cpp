#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/unanswered_starts.h>

#include <algorithm>

namespace poplarpass::jobs::internal
{
// The incarnation that was sent the start refuses it once the run has ended or was stopped there, for which the engine
// waits.
auto unanswered_starts::add(const start_order &order, core::monotonic_time now) -> void
{
    auto &starts = m_starts[order.worker];
    const auto task = nameOf(order.task);
    auto found = std::ranges::find_if(
        starts, [&](const unanswered_start &entry) { return entry.run == order.run && entry.task == task; });
    if (found == starts.end()) {
        found = starts.insert(found, {task, order.run, {}, 0, 0, {}});
    }
    found->expiresAt = now + maxCallDelay;
    found->refusedBy = order.incarnation;
}

auto unanswered_starts::stopsFor(const worker_id &worker, std::int64_t incarnation, const current_run_check &isCurrent,
                                 core::monotonic_time now) -> std::vector<stop_order>
{
    std::vector<stop_order> stops;
    const auto found = m_starts.find(worker);
    if (found == m_starts.end()) {
        return stops;
    }
    for (auto &entry : found->second) {
        const bool isOrdered = entry.stoppedAt == incarnation && now - entry.stopSentAt < stopRetryInterval;
        const bool isOpen = now < entry.expiresAt && entry.refusedBy != incarnation;
        stop_order order{worker, entry.task, entry.run};
        if (!isOpen || isOrdered || isCurrent(order)) {
            continue;
        }
        entry.stoppedAt = incarnation;
        entry.stopSentAt = now;
        stops.push_back(std::move(order));
    }
    return stops;
}

auto unanswered_starts::onStopped(const stop_order &order) -> void
{
    const auto found = m_starts.find(order.worker);
    if (found == m_starts.end()) {
        return;
    }
    for (auto &entry : found->second) {
        if (entry.run == order.run && entry.task == order.task && entry.stoppedAt != 0) {
            entry.refusedBy = entry.stoppedAt;
        }
    }
}

auto unanswered_starts::removeExpired(core::monotonic_time now) -> void
{
    for (auto &[worker, starts] : m_starts) {
        std::erase_if(starts, [now](const unanswered_start &entry) { return now >= entry.expiresAt; });
    }
    std::erase_if(m_starts, [](const auto &entry) { return entry.second.empty(); });
}
} // namespace poplarpass::jobs::internal
