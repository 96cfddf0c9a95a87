#pragma once

#include <poplarpass/capacity/capacity_planner.h>
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
/// \brief What the keeper needs of its owner.
struct capacity_environment
{
    const core::time_source &time; ///< Clocks and timer.
    const store::record_store &records; ///< The store.
    const host_calls &hosts; ///< Calls of the platform's service for hosts.
    const wave_codec &waves; ///< Reads and reports waves.
    const route::route_table &routes; ///< Configuration in force here.
    observe::logger &log; ///< Event log.
    journal &stateJournal; ///< The owner's journal.
    jobs::job_engine &engine; ///< Jobs and workers.
    host_holder holder; ///< By what right hosts are ordered about.
    core::duration holderTerm{}; ///< Term within which orders for one host come from one holder.
    std::function<bool()> mayOrder; ///< Whether orders may be given at present.
    std::function<const std::map<std::string, std::string> &()> operatorRecords; ///< Newest records of the operator.
    std::function<void()> onChange; ///< Something was learnt: decide again.
    std::function<void()> onFenced; ///< Hosts obey a later owner.
};

/// \brief Carries out what the capacity planner decides: reads the list of hosts, orders, reports waves.
class capacity_controller
{
public:
    explicit capacity_controller(capacity_environment environment);

    /// \brief Takes in what former owners recorded, and begins.
    auto start(const store::newest_result &stored) -> void;

    /// \brief Notes an accepted job.
    auto onJob(const jobs::job_record &job) -> void;

    /// \brief Whether hosts are on their way to a pool.
    [[nodiscard]] auto isAwaitingHosts() const -> bool;

    /// \brief Decides and orders.
    auto plan() -> void;

private:
    struct status_write
    {
        std::string key;
        std::string value;
    };

    auto readHosts() -> void;
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
    std::map<std::string, std::string> m_waveRecords;
    std::map<std::int64_t, core::wall_time> m_waveDeadlines;
    std::deque<status_write> m_statusWrites;
    std::uint64_t m_statusSequence = 0;
    bool m_statusAppendInFlight = false;
    bool m_hostServiceUnavailable = false;
    core::monotonic_time m_lastPlan{};
    core::monotonic_time m_lastLoadLog{};
    core::lifetime m_life;
};
} // namespace poplarpass::host
