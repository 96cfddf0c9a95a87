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
/// \brief A worker and the right to start one job on it.
struct worker_choice
{
    core::host_id host; ///< The worker.
    std::string address; ///< "IP:port" of its endpoint.
    request::worker_lease lease; ///< Lease under which to start.
};

/// \brief Every worker as this entry sees it: pools, leases, health and who is leaving.
class worker_directory
{
public:
    /// \param onChange called when workers may have become free or known
    worker_directory(process_runtime &process, std::function<void()> onChange);

    /// \brief Takes the whole agreed state.
    auto useState(const replication::fleet_state &state) -> void;

    /// \brief Takes one host of the agreed state, or its removal when there is none of that name.
    auto useHost(const replication::fleet_state &state, const core::host_id &host) -> void;

    /// \brief Renews the leases that are due and opens or closes workers.
    auto renewLeases() -> void;

    /// \brief Fetches the platform's host list.
    auto pollHostList() -> void;

    /// \brief Chooses a worker of \p pool; the caller must start the job on it or call notSent().
    auto choose(const core::pool_id &pool, const request::placement_query &query) -> std::optional<worker_choice>;

    /// \brief Notes that a start is sent to \p host. Asserts that it is not leaving.
    auto sent(const core::pool_id &pool, const core::host_id &host, core::monotonic_time at) -> void;

    /// \brief Notes the end of the attempt that was sent at \p sentAt.
    auto ended(const core::pool_id &pool, const core::host_id &host, core::monotonic_time sentAt,
               const core::work_kind &kind, const platform::start_answer &answer) -> void;

    /// \brief Whether some worker of \p pool is large enough; true while the pool's workers are not known.
    [[nodiscard]] auto fitsAnyWorker(const core::pool_id &pool, const request::placement_query &query) const -> bool;

    /// \brief Estimate of the free slots of \p pool.
    [[nodiscard]] auto freeSlots(const core::pool_id &pool) const -> int;

    /// \brief Whether some worker of \p pool is being asked for its first lease, so that slots may open at once.
    [[nodiscard]] auto opensSoon(const core::pool_id &pool) const -> bool;

    /// \brief Slots of \p pool that are open for new work.
    [[nodiscard]] auto openSlots(const core::pool_id &pool) const -> int;

    /// \brief Address of \p host, empty when it is not known.
    [[nodiscard]] auto addressOf(const core::host_id &host) const -> std::string;

    /// \brief Contacts with workers since the call before, at most one for each worker.
    auto takeSightings() -> std::vector<request::worker_contact>;

    /// \brief Workers known.
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
        platform::worker_report report;
        core::monotonic_time at;
    };

    auto poolOf(const core::pool_id &pool) -> request::worker_pool &;
    auto addOrUpdate(const replication::host_state &host) -> void;
    auto forget(const core::host_id &host) -> void;
    auto requestLease(const core::host_id &host, const known_host &known) -> void;
    auto leaseAnswered(const core::host_id &host, core::monotonic_time sentAt,
                       const core::result<platform::worker_report> &answer) -> void;
    auto updateOpen(const core::host_id &host, const known_host &known, core::monotonic_time now) -> void;
    auto noteListed(const std::vector<platform::listed_host> &listed) -> void;

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
