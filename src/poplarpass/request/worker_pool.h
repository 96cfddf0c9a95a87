#pragma once

#include <poplarpass/platform/worker_service.h>
#include <poplarpass/request/placement.h>
#include <poplarpass/request/worker_view.h>

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace poplarpass::request
{
/// \brief The workers of one pool, with their usage corrected by what this entry sends.
class worker_pool
{
public:
    /// \param policy chooses among the workers
    explicit worker_pool(placement_policy policy);

    /// \brief Adds \p worker, or replaces its address, zone, size and generation.
    auto put(worker_view worker) -> void;
    /// \brief Forgets a worker.
    auto remove(const core::host_id &host) -> void;
    /// \brief Takes a worker's report.
    /// \param requestedAt when the lease request was sent; starts sent later are not in the report
    auto report(const core::host_id &host, const platform::worker_report &figures, core::monotonic_time requestedAt)
        -> void;
    /// \brief Opens or closes a worker for new work.
    auto setOpen(const core::host_id &host, bool open) -> void;
    /// \brief Sets the share of a worker's attempts that failed by its own fault.
    auto setFailureRate(const core::host_id &host, double rate) -> void;
    /// \brief Notes that a start is sent.
    auto sent(const core::host_id &host, core::monotonic_time at) -> void;
    /// \brief Notes that a start that was sent at \p sentAt ended or was refused.
    auto ended(const core::host_id &host, core::monotonic_time sentAt) -> void;
    /// \brief Notes that a worker refused a start for want of a slot, so its report is out of date.
    auto refusedForRoom(const core::host_id &host) -> void;

    /// \brief Worker for the job, or null when none has room.
    auto choose(const placement_query &query, std::mt19937_64 &random) -> const worker_view *;
    /// \brief Whether some worker, full or closed or not, is large enough.
    [[nodiscard]] auto couldEverHold(const placement_query &query) const -> bool;
    /// \brief One worker, or null.
    [[nodiscard]] auto find(const core::host_id &host) const -> const worker_view *;
    /// \brief All workers.
    [[nodiscard]] auto workers() const -> std::span<const worker_view>;
    /// \brief Slots of the open workers.
    [[nodiscard]] auto openSlots() const -> int;
    /// \brief Estimate of the free slots of the open workers.
    [[nodiscard]] auto freeSlots() const -> int;

private:
    struct totals
    {
        int open = 0;
        int free = 0;
    };

    struct history
    {
        std::optional<core::monotonic_time> reportedFor;
        std::vector<core::monotonic_time> sends;
    };

    template <class change>
    auto alter(const core::host_id &host, change apply) -> void;

    placement_policy m_policy;
    std::vector<worker_view> m_workers;
    std::vector<history> m_histories;
    std::unordered_map<core::host_id, std::size_t> m_index;
    totals m_totals;
};
} // namespace poplarpass::request
