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
/// \brief The right to start jobs on one worker, as this entry must count it.
struct worker_lease
{
    std::uint64_t leaseId = 0; ///< Grant that starts must name.
    core::monotonic_time expiry; ///< Counted from the sending of the request, so never later than the worker's.
    std::uint64_t bootId = 0; ///< Boot of the worker that gave it.
    core::pool_id pool; ///< Pool that the worker serves.
    std::uint64_t generation = 0; ///< Generation of that assignment.
};

/// \brief Leases that this entry has on workers.
class lease_table
{
public:
    /// \brief Notes that a lease request is sent to \p host.
    auto requestSent(const core::host_id &host, core::monotonic_time at) -> void;
    /// \brief Takes the worker's answer to the request that was sent at \p sentAt.
    /// \returns whether the worker restarted since the grant before
    auto granted(const core::host_id &host, const platform::worker_report &report, core::monotonic_time sentAt) -> bool;
    /// \brief Notes that the request failed.
    auto requestFailed(const core::host_id &host) -> void;
    /// \brief Forgets the lease: the worker refused it, or it moved to another pool.
    auto drop(const core::host_id &host) -> void;
    /// \brief The lease under which a job for \p pool in \p generation may be sent to \p host at \p now.
    [[nodiscard]] auto usable(const core::host_id &host, const core::pool_id &pool, std::uint64_t generation,
                              core::monotonic_time now) const -> std::optional<worker_lease>;
    /// \brief Whether a request should be sent to \p host at \p now: none is under way and the lease ends soon.
    [[nodiscard]] auto renewalDue(const core::host_id &host, core::monotonic_time now) const -> bool;
    /// \brief Whether \p host may still answer the first request since its lease was last unknown.
    [[nodiscard]] auto awaitsFirst(const core::host_id &host) const -> bool;
    /// \brief Workers known.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        std::optional<worker_lease> lease;
        std::optional<core::monotonic_time> requestedAt;
        bool failed = false; ///< A request got no answer or a refusal, and none was granted since.
    };

    std::unordered_map<core::host_id, entry> m_leases;
};
} // namespace poplarpass::request
