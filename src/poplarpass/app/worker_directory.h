#pragma once

#include <poplarpass/app/process_runtime.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/request.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace poplarpass::app
{
/// \brief Worker chosen for a job, with the lease that permits the start.
struct worker_choice
{
    core::host_id host; ///< Host of the worker.
    std::string address; ///< "IP:port" of its endpoint.
    request::worker_lease lease; ///< Lease under which the job is started.
};

/// \brief Workers known to this entry, with their pools, leases, health and whether they are leaving.
class worker_directory
{
public:
    /// \param onChange called when workers may have been added or slots may have become free
    worker_directory(process_runtime &process, std::function<void()> onChange);

    /// \brief Applies all hosts of the replicated state and removes all others.
    auto applyState(const replication::fleet_state &state) -> void;

    /// \brief Applies one host of the replicated state; removes it if the state does not contain it.
    auto applyHost(const replication::fleet_state &state, const core::host_id &host) -> void;

    /// \brief Renews the leases that are due and updates which workers are open for new jobs.
    auto renewLeases() -> void;

    /// \brief Fetches the platform's host list and applies addresses and leaving marks.
    auto pollHostList() -> void;

    /// \brief Chooses an open worker of \p pool that has a usable lease.
    /// \returns nullopt if there is none
    auto choose(const core::pool_id &pool, const request::placement_query &query) -> std::optional<worker_choice>;

    /// \brief Records that a start is sent to \p host; asserts the invariant no_work_when_leaving.
    auto recordSent(const core::pool_id &pool, const core::host_id &host, core::monotonic_time at) -> void;

    /// \brief Records the end of the attempt that was sent at \p sentAt.
    auto recordEnded(const core::pool_id &pool, const core::host_id &host, core::monotonic_time sentAt,
                     const core::work_kind &kind, const platform::start_response &answer) -> void;

    /// \brief Returns whether some worker of \p pool is large enough; true while no worker of the pool is known.
    [[nodiscard]] auto fitsAnyWorker(const core::pool_id &pool, const request::placement_query &query) const -> bool;

    /// \brief Returns the estimated number of free slots of \p pool.
    [[nodiscard]] auto freeSlots(const core::pool_id &pool) const -> int;

    /// \brief Returns whether the first lease of some worker of \p pool is pending, so that slots may open shortly.
    [[nodiscard]] auto hasPendingFirstLease(const core::pool_id &pool) const -> bool;

    /// \brief Returns the number of slots of \p pool that are open for new jobs.
    [[nodiscard]] auto openSlots(const core::pool_id &pool) const -> int;

    /// \brief Returns the address of \p host; empty if the host is unknown.
    [[nodiscard]] auto addressOf(const core::host_id &host) const -> std::string;

    /// \brief Returns and clears the contacts with workers since the last call, at most one for each worker.
    auto drainContacts() -> std::vector<request::worker_contact>;

    /// \brief Returns the number of known workers.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct known_host
    {
        core::pool_id pool;
        std::string address;
        std::uint64_t generation = 0;
        std::uint64_t bootId = 0;
    };

    struct contact
    {
        bool reached = false;
        platform::lease_response report;
        core::monotonic_time at;
    };

    auto poolOf(const core::pool_id &pool) -> request::worker_pool &;
    auto addOrUpdate(const replication::host_state &host) -> void;
    auto removeHost(const core::host_id &host) -> void;
    auto requestLease(const core::host_id &host, const known_host &known) -> void;
    auto handleLeaseAnswer(const core::host_id &host, core::monotonic_time sentAt,
                           const core::result<platform::lease_response> &answer) -> void;
    auto updateOpen(const core::host_id &host, const known_host &known, core::monotonic_time now) -> void;
    auto applyHostList(const std::vector<platform::listed_host> &listed) -> void;

    process_runtime &m_process;
    std::function<void()> m_onChange;
    std::map<core::pool_id, request::worker_pool> m_pools;
    std::map<core::host_id, known_host> m_hosts;
    std::map<core::host_id, contact> m_contacts;
    request::lease_table m_leases;
    request::leaving_tracker m_leaving;
    request::worker_health m_health;
};
} // namespace poplarpass::app
