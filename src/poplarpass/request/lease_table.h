#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>
#include <poplarpass/platform/worker_service.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace poplarpass::request
{
/// \brief Lease under which this entry may start jobs on one worker.
struct worker_lease
{
    std::uint64_t leaseId = 0; ///< Lease ID that every start request must contain.
    core::monotonic_time expiry; ///< Term counted from the sending of the request, so never later than the worker's.
    std::uint64_t bootId = 0; ///< Boot ID of the worker that granted it.
    core::pool_id pool; ///< Pool that the worker serves.
    std::uint64_t generation = 0; ///< Generation of the pool assignment.
};

/// \brief Leases of this entry on workers.
class lease_table
{
public:
    /// \brief Records that a lease request is sent to \p host.
    auto requestSent(const core::host_id &host, core::monotonic_time at) -> void;
    /// \brief Records the lease granted in reply to the request sent at \p sentAt.
    /// \returns whether the worker restarted since the previous grant
    auto granted(const core::host_id &host, const platform::lease_response &report, core::monotonic_time sentAt)
        -> bool;
    /// \brief Records that the request failed.
    auto requestFailed(const core::host_id &host) -> void;
    /// \brief Removes the lease, after the worker refused it or moved to another pool.
    auto discardLease(const core::host_id &host) -> void;
    /// \brief Returns the lease under which a job for \p pool in \p generation may be sent to \p host at \p now.
    [[nodiscard]] auto usable(const core::host_id &host, const core::pool_id &pool, std::uint64_t generation,
                              core::monotonic_time now) const -> std::optional<worker_lease>;
    /// \brief Returns whether a request should be sent to \p host at \p now: none was sent within leaseRequestTimeout,
    /// and the lease is missing or expires within leaseRenewalMargin.
    [[nodiscard]] auto renewalDue(const core::host_id &host, core::monotonic_time now) const -> bool;
    /// \brief Returns whether \p host has no lease and no lease request to it has failed yet.
    [[nodiscard]] auto awaitsFirstLease(const core::host_id &host) const -> bool;
    /// \brief Returns the number of workers with a lease or a lease request.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        std::optional<worker_lease> lease;
        std::optional<core::monotonic_time> requestedAt;
        bool failed = false; ///< Whether a request was refused or unanswered and no lease was granted since.
    };

    std::unordered_map<core::host_id, entry> m_leases;
};
} // namespace poplarpass::request
