#include <poplarpass/core/invariant.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/leaving_tracker.h>

#include <algorithm>

namespace poplarpass::request
{
// Each source clears only its own report: the host list lags, and an outdated list must not cancel a newer drain.
auto leaving_tracker::update(const core::host_id &host, leaving_source source, bool leaving, core::monotonic_time now)
    -> void
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        if (leaving) {
            auto &added = m_hosts[host];
            added.reports[static_cast<std::size_t>(source)] = true;
            added.since = now;
        }
        return;
    }
    found->second.reports[static_cast<std::size_t>(source)] = leaving;
    if (std::ranges::none_of(found->second.reports, [](bool reported) { return reported; })) {
        m_hosts.erase(found);
    }
}

auto leaving_tracker::discardHost(const core::host_id &host) -> void
{
    m_hosts.erase(host);
}

auto leaving_tracker::isLeaving(const core::host_id &host) const -> bool
{
    return m_hosts.contains(host);
}

auto leaving_tracker::leavingSince(const core::host_id &host) const -> std::optional<core::monotonic_time>
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return std::nullopt;
    }
    return found->second.since;
}

auto leaving_tracker::requireMaySend(const core::host_id &host, core::monotonic_time now) const -> void
{
    const auto since = leavingSince(host);
    core::requireInvariant(!since || now - *since < leavingGracePeriod, core::invariant_kind::no_work_when_leaving,
                           [&host] { return "host=" + host.str() + " was sent new work although it is leaving"; });
}

auto leaving_tracker::size() const -> std::size_t
{
    return m_hosts.size();
}
} // namespace poplarpass::request
