#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/capacity/pool_demand.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/route/route_table.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::capacity
{
/// \brief How far a wave is.
struct wave_state
{
    wave_request request; ///< What was asked for.
    core::monotonic_time deadline{}; ///< When all hosts should be done.
    std::set<core::host_id> done; ///< Hosts whose maintenance began.
    bool completed = false; ///< Whether no host is left.
    bool reported = false; ///< Whether its present state was reported.
};

/// \brief A host whose maintenance began, for the store.
struct maintained_host
{
    std::int64_t wave = 0; ///< Wave.
    core::host_id host; ///< Host.
};

/// \brief What one pool has and needs.
struct pool_balance
{
    pool_load load; ///< What it is asked for.
    std::int64_t have = 0; ///< Hosts in it or on their way to it, without those that leave for their maintenance.
    std::int64_t need = 0; ///< Hosts that its load takes.
    std::int64_t want = 0; ///< The same, and one more while hosts of it are to be maintained.
    bool standby = false; ///< Whether its hosts are off.
    std::string requirement; ///< Label that hosts on their way to it should have; empty for any.
};

/// \brief Decides which hosts are drained, maintained and moved, for the owner of the pools.
class capacity_planner
{
public:
    /// \brief Takes in the platform's list of hosts, asked for at \p requestedAt.
    auto updateHosts(std::span<const host_entry> hosts, core::monotonic_time requestedAt, core::monotonic_time now)
        -> void;

    /// \brief Takes in a wave; one that is known already changes nothing.
    auto addWave(const wave_request &request, core::monotonic_time now) -> void;

    /// \brief Takes in what a former owner recorded.
    auto restoreMaintained(const maintained_host &record) -> void;

    /// \brief Keeps work from the workers of hosts that are being drained or ordered away.
    ///
    /// plan() does so too. Before a placing without a plan this is called by itself: a worker may be answeredRecently
    /// of first after its host was ordered away.
    auto withhold(jobs::job_engine &engine) -> void;

    /// \brief A former owner ordered \p host about: no order for it before \p time.
    auto restoreOrder(const core::host_id &host, core::monotonic_time time) -> void;

    /// \brief Notes an accepted job.
    auto onJob(const jobs::job_record &job, core::monotonic_time now) -> void;

    /// \brief Decides; drains and evacuates workers in \p engine.
    /// \param pools pools of the configuration
    /// \returns orders to give now
    auto plan(jobs::job_engine &engine, std::span<const route::pool_config> pools, core::monotonic_time now)
        -> std::vector<host_order>;

    /// \brief What each pool had and needed when plan() was last called.
    [[nodiscard]] auto balances() const -> const std::map<core::pool_id, pool_balance> &;

    /// \brief Takes in the answer to an order.
    auto onOrderAnswer(const host_order &order, host_order_outcome outcome, core::monotonic_time now) -> void;

    /// \brief Hosts whose maintenance began since the last call.
    auto takeMaintained() -> std::vector<maintained_host>;

    /// \brief Waves whose state has to be reported; they count as reported from now on.
    auto takeAnnouncements() -> std::vector<wave_state>;

    /// \brief Worker of a host; empty when there is none.
    [[nodiscard]] auto workerOf(const core::host_id &host) -> jobs::worker_id;

    /// \brief Whether \p order still stands: its host has the worker that it had when the order was decided.
    [[nodiscard]] auto isCurrent(const host_order &order) -> bool;

    /// \brief Whether hosts are on their way, so that the list should be read soon.
    [[nodiscard]] auto isAwaitingHosts() const -> bool;

private:
    /// \brief Hosts that a pool gets because its own may not run what waits.
    struct extra_hosts
    {
        std::int64_t extra = 0;
        core::monotonic_time since{}; ///< When what waits was first seen, or the last such host was asked for.
    };

    auto readmitWorkers(jobs::job_engine &engine) -> void;
    auto trackIdle(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto planWaves(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto planWave(wave_state &wave, jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto measure(jobs::job_engine &engine, std::span<const route::pool_config> pools, core::monotonic_time now) -> void;
    [[nodiscard]] auto maxMoving() const -> std::size_t;
    auto trackShortages(core::monotonic_time now) -> void;
    auto addHostsForUnplaceable(jobs::job_engine &engine, core::monotonic_time now) -> void;
    [[nodiscard]] auto hasRequiredLabel(const tracked_host &host, const pool_balance &balance) const -> bool;
    auto planMoves(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto fillPool(const core::pool_id &pool, std::span<tracked_host *const> candidates, jobs::job_engine &engine,
                  core::monotonic_time now) -> void;
    [[nodiscard]] auto isDemandEstablished(const jobs::job_engine &engine, core::monotonic_time now) -> bool;
    auto moveIdleToStandby(std::span<tracked_host *const> candidates, jobs::job_engine &engine,
                           core::monotonic_time now) -> void;
    auto move(tracked_host &host, const core::pool_id &pool, jobs::job_engine &engine, core::monotonic_time now)
        -> void;
    [[nodiscard]] auto canDrainForMove(const tracked_host &host, const core::pool_id &pool, jobs::job_engine &engine,
                                       core::monotonic_time now) const -> bool;
    [[nodiscard]] auto isAnyPoolShort() const -> bool;
    [[nodiscard]] auto awaitsMaintenance(const tracked_host &host) const -> bool;
    auto advanceDrains(jobs::job_engine &engine, core::monotonic_time now) -> std::vector<host_order>;
    [[nodiscard]] auto isWorkerConfirmed(const tracked_host &host, jobs::job_engine &engine,
                                         core::monotonic_time now) const -> bool;
    auto beginDrain(tracked_host &host, host_order order, jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto stopDrain(tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> void;

    host_table m_hosts;
    demand_meter m_demand;
    std::map<core::pool_id, pool_balance> m_balances;
    std::map<core::pool_id, extra_hosts> m_extraHosts;
    std::map<core::pool_id, core::monotonic_time> m_shortSince; ///< Pools that have fewer hosts than they want.
    std::optional<core::monotonic_time> m_demandEstablishedAt; ///< When the demand counts as known.
    std::size_t m_moving = 0; ///< Hosts that are to change their pool.
    std::map<std::int64_t, wave_state> m_waves;
    std::map<core::host_id, core::monotonic_time> m_notBefore;
    std::vector<maintained_host> m_restored;
    std::vector<maintained_host> m_newlyMaintained;
};
} // namespace poplarpass::capacity
