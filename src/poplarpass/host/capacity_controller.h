#pragma once

#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/ended_workers.h>
#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/host/host_calls.h>
#include <poplarpass/host/journal.h>
#include <poplarpass/host/wave_codec.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/store/record_store.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace poplarpass::host
{
/// \brief Dependencies of a capacity_controller, supplied by the owner.
struct capacity_environment
{
    const core::time_source &time; ///< Clocks and timer.
    const store::record_store &records; ///< The store.
    const host_calls &hosts; ///< Calls of the platform's host service.
    const wave_codec &waves; ///< Decodes waves and encodes their status.
    const route::route_table &routes; ///< Active configuration of this host.
    observe::logger &log; ///< Event log.
    journal &stateJournal; ///< The owner's journal.
    jobs::job_engine &engine; ///< State of jobs and workers.
    host_lease_holder holder; ///< Name and fencing token of this owner, sent with every order.
    core::duration holderTerm{}; ///< Time for which only one holder may send orders for a host.
    std::function<bool()> mayOrder; ///< Whether orders may be sent at present.
    std::function<const std::map<std::string, std::string> &()> operatorRecords; ///< Latest records of the operator.
    std::function<void()> onChange; ///< Called when new information requires a decision cycle.
    std::function<void()> onFenced; ///< Called when a later owner has fenced this one off.
};

/// \brief Executes the decisions of the capacity planner: polls the list of hosts, sends orders and reports waves.
class capacity_controller
{
public:
    explicit capacity_controller(capacity_environment environment);

    /// \brief Restores what former owners stored and begins to poll the list of hosts.
    auto start(const store::newest_result &stored) -> void;

    /// \brief Adds an accepted job to the demand.
    auto onJob(const jobs::multistep_job_record &job) -> void;

    /// \brief Returns whether hosts are moving to a pool.
    [[nodiscard]] auto isAwaitingHosts() const -> bool;

    /// \brief Plans, stores the resulting orders and sends each one once it is stored.
    ///
    /// Runs at most once per capacityPlanPeriod and only while orders may be sent; otherwise it only excludes the
    /// workers of draining hosts from placement.
    auto plan() -> void;

private:
    struct status_write
    {
        std::string key;
        std::string value;
    };

    auto readHosts() -> void;
    auto onWorkerEnded(const jobs::worker_id &worker, core::monotonic_time requestedAt) -> void;
    [[nodiscard]] auto hostListDelay() const -> core::duration;
    auto readWaves() -> void;
    auto restoreRecord(const store::stored_record &record) -> void;
    auto recordOrder(const capacity::host_order &order) -> void;
    auto sendOrder(const capacity::host_order &order) -> void;
    auto onAnswer(const capacity::host_order &order, const jobs::worker_id &worker,
                  capacity::host_order_outcome outcome) -> void;
    auto recordMaintained() -> void;
    auto logLoads(core::monotonic_time now) -> void;
    auto queueStatus() -> void;
    auto writeStatus() -> void;
    auto onStatusWritten(const store::append_result &answer) -> void;

    capacity_environment m_env;
    capacity::capacity_planner m_planner;
    capacity::ended_workers m_endedWorkers;
    std::map<std::string, std::string> m_waveRecords;
    std::map<std::int64_t, core::wall_time> m_waveDeadlines;
    std::deque<status_write> m_statusWrites;
    std::uint64_t m_statusSequence = 0;
    bool m_statusAppendInFlight = false;
    std::size_t m_hostCount = 0; ///< Hosts in the latest list.
    bool m_hostServiceUnavailable = false;
    core::monotonic_time m_lastPlan{};
    core::monotonic_time m_lastLoadLog{};
    core::lifetime m_lifetime;
};
} // namespace poplarpass::host
