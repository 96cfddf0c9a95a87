#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>
#include <poplarpass/jobs/job_spec.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Capacity planning for pools: maintenance waves and demand-driven moves of hosts. Performs no I/O and reads no clock.
namespace poplarpass::capacity
{
/// \brief State of a host in the platform's host list.
enum class host_condition : std::uint8_t {
    up, ///< Available in its pool.
    moving, ///< Moving to another pool.
    maintenance, ///< In maintenance.
    down, ///< Lost, that is out of service without a plan.
};

/// \brief Entry of the platform's host list.
struct host_entry
{
    core::host_id id; ///< Host name.
    core::pool_id pool; ///< Pool that the host belongs to.
    host_condition condition = host_condition::up; ///< State of the host.
    jobs::worker_id worker; ///< Worker on the host; empty when there is none.
    std::string zone; ///< Availability zone.
    std::vector<std::string> labels; ///< Labels that a step may require, such as kind and rack.
    jobs::resources capacity; ///< Resources of the host.
};

/// \brief Maintenance wave requested by the operator.
struct wave_request
{
    std::int64_t number = 0; ///< Wave number.
    std::vector<core::host_id> hosts; ///< Hosts to maintain.
    std::chrono::milliseconds duration{0}; ///< Time within which all hosts are to be maintained.
    std::uint32_t cap = 1; ///< Maximum number of hosts out of service at once.
};

/// \brief Order to move or maintain one host.
struct host_order
{
    core::host_id host; ///< Host name.
    std::optional<core::pool_id> pool; ///< Target pool of a move; none for maintenance.
    std::int64_t wave = 0; ///< Wave number of a maintenance order.
};

/// \brief Outcome of an order.
enum class host_order_outcome : std::uint8_t {
    done, ///< Execution began, or the order had been executed before.
    fenced, ///< An order with a greater fencing token was received from another owner.
    busy, ///< The host is not up.
    refused, ///< The order is not valid for the host.
    failed, ///< The order was not executed; a retry may succeed.
    unknown, ///< No answer; the order may have been executed, or may still be.
};

/// \brief Returns the name of \p outcome in logs and metrics.
auto nameOf(host_order_outcome outcome) -> std::string_view;

/// \brief Step of a move or of maintenance that a host is in.
enum class host_step : std::uint8_t {
    none, ///< No move or maintenance in progress.
    draining, ///< The host's worker gets no new work, and its tasks are moved or run to their end.
    ordered, ///< The order was issued and is unanswered.
    awaiting_return, ///< The order was executed; the host is not yet listed as up again.
};

/// \brief Host with the progress of its move or maintenance.
struct tracked_host
{
    host_entry entry; ///< Latest entry of the host list.
    bool listed = false; ///< Whether the latest host list contains the host.
    host_step step = host_step::none; ///< Current step.
    host_order order; ///< Order that the host is drained for or that is in progress.
    core::monotonic_time since{}; ///< Start of the current step.
    jobs::worker_id previousWorker; ///< Worker when the drain began.
    core::monotonic_time idleSince{}; ///< Time since which no task is placed on the host's worker.
    std::optional<core::monotonic_time> emptyAt; ///< When the draining host was first found empty.
    std::set<core::pool_id> refusedPools; ///< Pools to which a move of the host was refused.
};

/// \brief Table of all listed hosts.
class host_table
{
public:
    /// \brief Applies a complete host list that was requested at \p requestedAt; removes hosts that it does not
    /// contain.
    auto update(std::span<const host_entry> entries, core::monotonic_time requestedAt, core::monotonic_time now)
        -> void;

    /// \brief Returns host \p id; null when it is not listed.
    auto find(const core::host_id &id) -> tracked_host *;

    [[nodiscard]] auto all() -> std::map<core::host_id, tracked_host> &;

    [[nodiscard]] auto all() const -> const std::map<core::host_id, tracked_host> &;

    /// \brief Returns when the latest list was requested; none before the first list.
    [[nodiscard]] auto listRequestedAt() const -> std::optional<core::monotonic_time>;

private:
    std::map<core::host_id, tracked_host> m_hosts;
    std::optional<core::monotonic_time> m_listRequestedAt;
};
} // namespace poplarpass::capacity
