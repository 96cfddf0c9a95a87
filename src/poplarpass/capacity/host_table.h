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

/// Capacity of the pools: maintenance waves, and moves of hosts to where the demand is. No I/O and no clock.
namespace poplarpass::capacity
{
/// \brief State of a host as the platform lists it.
enum class host_condition : std::uint8_t {
    up, ///< Its worker serves its pool.
    moving, ///< On its way to another pool.
    maintenance, ///< In maintenance.
    down, ///< Lost.
};

/// \brief One host as the platform lists it.
struct host_entry
{
    core::host_id id; ///< The host.
    core::pool_id pool; ///< Its pool.
    host_condition condition = host_condition::up; ///< Its state.
    jobs::worker_id worker; ///< Its worker; empty when there is none.
    std::string zone; ///< Availability zone.
    std::vector<std::string> labels; ///< Kind and rack.
    jobs::resources capacity; ///< What it has.
};

/// \brief A maintenance wave that the operator asked for.
struct wave_request
{
    std::int64_t number = 0; ///< Number of the wave.
    std::vector<core::host_id> hosts; ///< Hosts to maintain.
    std::chrono::milliseconds duration{0}; ///< Time for all of them.
    std::uint32_t cap = 1; ///< Hosts down at once at most.
};

/// \brief An order for one host.
struct host_order
{
    core::host_id host; ///< The host.
    std::optional<core::pool_id> pool; ///< Pool to move to; none for maintenance.
    std::int64_t wave = 0; ///< Wave of the maintenance.
};

/// \brief What became of an order.
enum class host_order_outcome : std::uint8_t {
    done, ///< It begins, or was done before.
    fenced, ///< Another owner gave an order with a greater token.
    busy, ///< The host is not up.
    refused, ///< The order does not fit the host.
    failed, ///< Nothing was done; a repeat may succeed.
    unknown, ///< No answer; it may have been carried out, or will be.
};

/// \brief Name of \p outcome in logs and metrics.
auto nameOf(host_order_outcome outcome) -> std::string_view;

/// \brief What the system is doing with a host.
enum class host_step : std::uint8_t {
    none, ///< Nothing.
    draining, ///< Its worker gets no work and is being emptied.
    ordered, ///< An order is in progress.
    awaiting_return, ///< An order was carried out; its new worker is awaited.
};

/// \brief One host and what is being done with it.
struct tracked_host
{
    host_entry entry; ///< As last listed.
    bool listed = false; ///< Whether the last list had it.
    host_step step = host_step::none; ///< What is being done.
    host_order order; ///< The order that is prepared or in progress.
    core::monotonic_time since{}; ///< When the step began.
    jobs::worker_id previousWorker; ///< Worker before the order.
    core::monotonic_time idleSince{}; ///< Since when nothing is placed on its worker.
    std::optional<core::monotonic_time> emptyAt; ///< When it was first found empty while it is drained.
    std::set<core::pool_id> refusedPools; ///< Pools that refused it.
};

/// \brief All hosts.
class host_table
{
public:
    /// \brief Takes in the whole list, which was asked for at \p requestedAt.
    auto update(std::span<const host_entry> entries, core::monotonic_time requestedAt, core::monotonic_time now)
        -> void;

    /// \brief Host \p id; null when it is not known.
    auto find(const core::host_id &id) -> tracked_host *;

    /// \brief All hosts.
    [[nodiscard]] auto all() -> std::map<core::host_id, tracked_host> &;

    /// \brief All hosts.
    [[nodiscard]] auto all() const -> const std::map<core::host_id, tracked_host> &;

    /// \brief When the newest list was asked for.
    [[nodiscard]] auto listRequestedAt() const -> std::optional<core::monotonic_time>;

private:
    std::map<core::host_id, tracked_host> m_hosts;
    std::optional<core::monotonic_time> m_listRequestedAt;
};
} // namespace poplarpass::capacity
