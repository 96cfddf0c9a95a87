#include <poplarpass/request/constants.h>
#include <poplarpass/request/lease_table.h>

#include <algorithm>

namespace poplarpass::request
{
auto lease_table::requestSent(const core::host_id &host, core::monotonic_time at) -> void
{
    auto &current = m_leases[host];
    current.failed = current.failed || current.requestedAt.has_value();
    current.requestedAt = at;
}

auto lease_table::granted(const core::host_id &host, const platform::lease_response &report,
                          core::monotonic_time sentAt) -> bool
{
    auto &current = m_leases[host];
    current.requestedAt.reset();
    current.failed = false;
    const bool restarted = current.lease && current.lease->bootId != report.bootId;
    const auto term = std::min(report.leaseTerm, workerLeaseTerm);
    const auto expiry = sentAt + term;
    if (current.lease && !restarted && current.lease->expiry > expiry) {
        return false;
    }
    current.lease = worker_lease{report.leaseId, expiry, report.bootId, report.pool, report.generation};
    return restarted;
}

auto lease_table::requestFailed(const core::host_id &host) -> void
{
    auto &current = m_leases[host];
    current.requestedAt.reset();
    current.failed = true;
}

auto lease_table::discardLease(const core::host_id &host) -> void
{
    m_leases.erase(host);
}

auto lease_table::usable(const core::host_id &host, const core::pool_id &pool, std::uint64_t generation,
                         core::monotonic_time now) const -> std::optional<worker_lease>
{
    const auto found = m_leases.find(host);
    if (found == m_leases.end() || !found->second.lease) {
        return std::nullopt;
    }
    const auto &lease = *found->second.lease;
    const bool sameAssignment = lease.pool == pool && lease.generation == generation;
    if (!sameAssignment || now >= lease.expiry) {
        return std::nullopt;
    }
    return lease;
}

auto lease_table::renewalDue(const core::host_id &host, core::monotonic_time now) const -> bool
{
    const auto found = m_leases.find(host);
    if (found == m_leases.end()) {
        return true;
    }
    const auto &current = found->second;
    if (current.requestedAt && now - *current.requestedAt < leaseRequestTimeout) {
        return false;
    }
    return !current.lease || current.lease->expiry - now < leaseRenewalMargin;
}

auto lease_table::awaitsFirstLease(const core::host_id &host) const -> bool
{
    const auto found = m_leases.find(host);
    return found == m_leases.end() || (!found->second.lease && !found->second.failed);
}

auto lease_table::size() const -> std::size_t
{
    return m_leases.size();
}
} // namespace poplarpass::request
