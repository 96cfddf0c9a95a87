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
/// \brief Progress of a wave.
struct wave_progress
{
    wave_request request; ///< Request of the operator.
    core::monotonic_time deadline{}; ///< Time by which all hosts should be maintained.
    std::set<core::host_id> done; ///< Hosts whose maintenance began or was refused.
    bool completed = false; ///< Whether no listed host of the wave remains to be maintained.
    bool reported = false; ///< Whether the current state was reported.
};

/// \brief Stored record of a host whose maintenance began.
struct maintained_host
{
    std::int64_t wave = 0; ///< Wave number.
    core::host_id host; ///< Host name.
};

/// \brief Hosts of a pool by what they do.
struct host_usage
{
    std::int64_t draining =
        0; ///< Drained for a move or for maintenance: no starts; tasks end or are stopped to resume elsewhere.
    std::int64_t arriving = 0; ///< Ordered to the pool, not yet listed there.
    std::int64_t inMaintenance = 0; ///< Ordered into maintenance, not yet back.
    std::int64_t idle = 0; ///< In the pool, not drained, without a task.
};

/// \brief Hosts that a pool has and needs.
struct pool_balance
{
    pool_load load; ///< Measured load.
    std::int64_t have = 0; ///< Hosts in the pool or moving to it, except those leaving for maintenance.
    std::int64_t requiredHosts = 0; ///< Hosts required by the load.
    std::int64_t inService = 0; ///< Hosts in the pool whose workers accept starts.
    std::int64_t arriving = 0; ///< Hosts on their way to the pool, and those that have just arrived.
    std::int64_t longRunningHosts = 0; ///< Hosts that its long-running tasks need.
    std::int64_t reservedHosts = 0; ///< Hosts that it gets even while all pools are short.
    std::int64_t targetHosts = 0; ///< Target: requiredHosts, one more while hosts of the pool await maintenance, and
                                  ///< extra hosts for waiting steps that no worker of the pool may run.
    bool standby = false; ///< Whether hosts of the pool are powered off.
    std::string requirement; ///< Label required of hosts that move to the pool; empty for none.
};

/// \brief Plans drains, maintenance and moves of hosts on behalf of the owner of the pools.
class capacity_planner
{
public:
    /// \brief Applies the platform's host list, which was requested at \p requestedAt.
    auto updateHosts(std::span<const host_entry> hosts, core::monotonic_time requestedAt, core::monotonic_time now)
        -> void;

    /// \brief Adds a wave; has no effect when the wave number is already present.
    auto addWave(const wave_request &request, core::monotonic_time now) -> void;

    /// \brief Restores a maintenance record of a former owner. Call before addWave() of that wave.
    auto restoreMaintained(const maintained_host &record) -> void;

    /// \brief Excludes the workers of hosts that are drained or under an order from placement.
    ///
    /// plan() includes this step. Call it before a placement without a preceding plan(), as a worker may be listed for
    /// the first time after the order for its host was issued.
    auto excludeLeavingWorkers(jobs::job_engine &engine) -> void;

    /// \brief Issues no order for \p host before \p time, as an order of a former owner may still be executing.
    auto restoreOrderDelay(const core::host_id &host, core::monotonic_time time) -> void;

    /// \brief Records an accepted job for the demand measurement.
    auto onJob(const jobs::multistep_job_record &job, core::monotonic_time now) -> void;

    /// \brief Plans moves and maintenance; drains and evacuates workers in \p engine.
    /// \param pools pools of the configuration
    /// \returns orders to issue now; none before the first host list
    auto plan(jobs::job_engine &engine, std::span<const route::pool_config> pools, core::monotonic_time now)
        -> std::vector<host_order>;

    /// \brief Returns the balance of each pool at the latest plan().
    [[nodiscard]] auto balances() const -> const std::map<core::pool_id, pool_balance> &;

    /// \brief Returns by pool what the hosts do; looks at every host.
    [[nodiscard]] auto usageByPool(jobs::job_engine &engine) const -> std::map<core::pool_id, host_usage>;

    /// \brief Returns the processor capacity of the largest host, thousandths of a core; at least 1.
    [[nodiscard]] auto largestHostCpu() const -> std::int64_t;

    /// \brief Returns the largest capacity of any host, for each resource by itself.
    [[nodiscard]] auto largestHostCapacity() const -> jobs::resources;

    /// \brief Handles the answer to an order.
    auto onOrderAnswer(const host_order &order, host_order_outcome outcome, core::monotonic_time now) -> void;

    /// \brief Returns and clears the hosts whose maintenance began since the last call.
    auto consumeMaintained() -> std::vector<maintained_host>;

    /// \brief Returns the waves whose state has to be reported, and marks them as reported.
    auto consumeWaveUpdates() -> std::vector<wave_progress>;

    /// \brief Returns the worker of a host; empty when there is none.
    [[nodiscard]] auto workerOf(const core::host_id &host) -> jobs::worker_id;

    /// \brief Returns whether \p order is still valid: its host has the same worker as when its drain began.
    [[nodiscard]] auto isCurrent(const host_order &order) -> bool;

    /// \brief Returns whether any host is being drained, moved or maintained; the host list should then be polled
    /// faster.
    [[nodiscard]] auto isAwaitingHosts() const -> bool;

private:
    /// \brief Hosts added to a pool because its own workers may not run its waiting steps.
    struct extra_hosts
    {
        std::int64_t count = 0;
        core::monotonic_time since{}; ///< When the waiting steps were first seen, or the latest extra host was added.
    };

    /// \brief A host that may move to another pool, and its work.
    struct move_candidate
    {
        tracked_host *host = nullptr;
        jobs::worker_slot *worker = nullptr; ///< Its worker; null when it has none.
        bool hasWork = false; ///< Whether tasks are placed on its worker.
        bool isOnStandby = false; ///< Whether it belongs to a standby pool.
        std::uint32_t longRunningRuns = 0; ///< Long-running tasks placed on its worker.
        core::duration remainingRunTime{0}; ///< Estimated time until the last of its tasks has ended.
    };

    auto countHost(const tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto trackLongRunningShortages(core::monotonic_time now) -> void;
    [[nodiscard]] static auto isShortForLongRunning(const pool_balance &balance) -> bool;
    /// \brief Returns whether \p host is on its way to a pool and expected to arrive soon.
    [[nodiscard]] static auto isArriving(const tracked_host &host, core::monotonic_time now) -> bool;
    /// \brief Returns whether the pool to which \p host moves would lack hosts for its long-running tasks without it.
    [[nodiscard]] auto isNeededForLongRunning(const tracked_host &host, core::monotonic_time now) const -> bool;
    auto fillForLongRunning(std::span<const move_candidate> candidates, jobs::job_engine &engine,
                            core::monotonic_time now) -> void;
    [[nodiscard]] auto mayMoveForLongRunning(const move_candidate &candidate, const core::pool_id &pool,
                                             core::monotonic_time now) const -> bool;
    auto updateFromWorkers(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto planWaves(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto planWave(wave_progress &wave, jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto measure(jobs::job_engine &engine, std::span<const route::pool_config> pools, core::monotonic_time now) -> void;
    auto countHosts(jobs::job_engine &engine, core::monotonic_time now) -> void;
    [[nodiscard]] auto maxMoving() const -> std::size_t;
    auto trackShortages(core::monotonic_time now) -> void;
    auto addHostsForMismatches(jobs::job_engine &engine, core::monotonic_time now) -> void;
    [[nodiscard]] auto hasRequiredLabel(const tracked_host &host, const pool_balance &balance) const -> bool;
    auto planMoves(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto poolsByShortage() -> std::vector<core::pool_id>;
    auto moveCandidates(jobs::job_engine &engine, core::monotonic_time now) -> std::vector<move_candidate>;
    [[nodiscard]] auto isMovable(const tracked_host &host, core::monotonic_time now) const -> bool;
    auto fillPool(const core::pool_id &pool, std::span<const move_candidate> candidates, jobs::job_engine &engine,
                  core::monotonic_time now) -> void;
    [[nodiscard]] auto isDemandEstablished(const jobs::job_engine &engine, core::monotonic_time now) -> bool;
    auto moveIdleToStandby(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto move(tracked_host &host, const core::pool_id &pool, jobs::job_engine &engine, core::monotonic_time now)
        -> void;
    [[nodiscard]] auto canDrainForMove(const move_candidate &candidate, const core::pool_id &pool,
                                       core::monotonic_time now) const -> bool;
    [[nodiscard]] auto isAnyPoolShort() const -> bool;
    [[nodiscard]] static auto takesNeededHost(const tracked_host &host, const pool_balance &balance,
                                              jobs::job_engine &engine, core::monotonic_time now) -> bool;
    [[nodiscard]] auto poolsAwaitingMaintenance() -> std::set<core::pool_id>;
    auto suspendOnDrained(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto advanceDrains(jobs::job_engine &engine, core::monotonic_time now) -> std::vector<host_order>;
    [[nodiscard]] auto isWorkerConfirmed(const tracked_host &host, jobs::job_engine &engine,
                                         core::monotonic_time now) const -> bool;
    auto beginDrain(tracked_host &host, host_order order, jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto stopBlockingDrains(jobs::job_engine &engine, core::monotonic_time now) -> void;
    auto stopDrain(tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> void;

    host_table m_hosts;
    demand_meter m_demand;
    std::map<core::pool_id, pool_balance> m_balances;
    std::map<core::pool_id, extra_hosts> m_extraHosts;
    std::set<core::pool_id> m_maintenanceBlocked; ///< Pools with maintenance behind schedule that cannot begin, as
                                                  ///< their long-running tasks need all hosts.
    std::map<core::pool_id, core::monotonic_time>
        m_longRunningShortSince; ///< When each pool began to lack hosts for its long-running tasks.
    std::map<core::pool_id, core::monotonic_time>
        m_shortSince; ///< When each pool that has fewer hosts than its target became short.
    std::optional<core::monotonic_time> m_demandEstablishedAt; ///< From when on idle hosts may move to standby.
    std::size_t m_moving = 0; ///< Hosts that are moving to another pool.
    std::map<std::int64_t, wave_progress> m_waves;
    std::map<core::host_id, core::monotonic_time> m_orderNotBefore;
    std::vector<maintained_host> m_restoredMaintained;
    std::vector<maintained_host> m_newlyMaintained;
};
} // namespace poplarpass::capacity
