#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_table.h>

#include <array>

namespace poplarpass::capacity
{
namespace
{
/// \brief Returns whether a list that was requested after the order shows that the host has returned.
///
/// An order that is retried because its answer was lost may have been executed before. The host then keeps its worker,
/// so a maintained host also counts as returned after maintenanceReturnTimeout.
auto hasReturned(const tracked_host &host, core::monotonic_time requestedAt) -> bool
{
    if (host.step != host_step::awaiting_return || requestedAt <= host.since
        || host.entry.condition != host_condition::up) {
        return false;
    }
    if (host.order.pool) {
        return host.entry.pool == *host.order.pool;
    }
    // A host on standby has no worker, so a change of worker cannot show its return.
    const bool isChanged = host.entry.worker != host.previousWorker || host.previousWorker.empty();
    return isChanged || requestedAt - host.since >= maintenanceReturnTimeout;
}
} // namespace

auto nameOf(host_order_outcome outcome) -> std::string_view
{
    static constexpr std::array<std::string_view, 6> names{"done", "fenced", "busy", "refused", "failed", "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

auto host_table::update(std::span<const host_entry> entries, core::monotonic_time requestedAt, core::monotonic_time now)
    -> void
{
    m_listRequestedAt = requestedAt;
    for (auto &[id, host] : m_hosts) {
        host.listed = false;
    }
    for (const auto &entry : entries) {
        auto &host = m_hosts[entry.id];
        if (host.entry.worker != entry.worker) {
            host.idleSince = now;
        }
        host.entry = entry;
        host.listed = true;
        if (hasReturned(host, requestedAt)) {
            host.step = host_step::none;
            host.since = now;
        }
    }
    std::erase_if(m_hosts, [](const auto &entry) { return !entry.second.listed; });
}

auto host_table::find(const core::host_id &id) -> tracked_host *
{
    const auto found = m_hosts.find(id);
    return found == m_hosts.end() ? nullptr : &found->second;
}

auto host_table::all() -> std::map<core::host_id, tracked_host> &
{
    return m_hosts;
}

auto host_table::all() const -> const std::map<core::host_id, tracked_host> &
{
    return m_hosts;
}

auto host_table::listRequestedAt() const -> std::optional<core::monotonic_time>
{
    return m_listRequestedAt;
}
} // namespace poplarpass::capacity
