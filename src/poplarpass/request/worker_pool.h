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
/// \brief Workers of one pool, with usage estimates that combine the workers' reports and this entry's own jobs.
class worker_pool
{
public:
    explicit worker_pool(placement_policy policy);

    /// \brief Adds \p worker, or updates its address, zone, size and generation.
    auto addOrUpdate(worker_view worker) -> void;
    auto remove(const core::host_id &host) -> void;
    /// \brief Updates the usage estimate of a worker from its report; reports older than the last one are ignored.
    /// \param requestedAt time at which the lease request was sent; starts sent from then on are taken as not included
    auto report(const core::host_id &host, const platform::lease_response &figures, core::monotonic_time requestedAt)
        -> void;
    /// \brief Sets whether a worker may receive new jobs.
    auto setOpen(const core::host_id &host, bool open) -> void;
    /// \brief Sets the share of a worker's attempts that failed because of the worker.
    auto setFailureRate(const core::host_id &host, double rate) -> void;
    /// \brief Records that a start was sent.
    auto sent(const core::host_id &host, core::monotonic_time at) -> void;
    /// \brief Records that the attempt sent at \p sentAt ended or was rejected.
    auto ended(const core::host_id &host, core::monotonic_time sentAt) -> void;
    /// \brief Marks a worker as full after it rejected a start for lack of a slot; its last report is out of date.
    auto rejectedNoSlot(const core::host_id &host) -> void;

    /// \brief Returns a worker chosen for the job, or null if none can accept it.
    auto choose(const placement_query &query, std::mt19937_64 &random) -> const worker_view *;
    /// \brief Returns whether any worker, including full and closed ones, is large enough for the job.
    [[nodiscard]] auto fitsAnyWorker(const placement_query &query) const -> bool;
    /// \brief Returns the worker on \p host, or null.
    [[nodiscard]] auto find(const core::host_id &host) const -> const worker_view *;
    [[nodiscard]] auto workers() const -> std::span<const worker_view>;
    /// \brief Returns the total number of slots of the open workers.
    [[nodiscard]] auto openSlots() const -> int;
    /// \brief Returns an estimate of the free slots of the open workers.
    [[nodiscard]] auto freeSlots() const -> int;

private:
    struct totals
    {
        int open = 0;
        int free = 0;
    };

    struct send_history
    {
        std::optional<core::monotonic_time> lastReportRequestedAt;
        std::vector<core::monotonic_time> openSends;
    };

    template <class change>
    auto updateWorker(const core::host_id &host, change apply) -> void;

    placement_policy m_policy;
    std::vector<worker_view> m_workers;
    std::vector<send_history> m_histories;
    std::unordered_map<core::host_id, std::size_t> m_index;
    totals m_totals;
};
} // namespace poplarpass::request
