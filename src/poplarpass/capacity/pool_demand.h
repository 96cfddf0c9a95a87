#pragma once

#include <poplarpass/capacity/capped_demand.h>
#include <poplarpass/capacity/host_table.h>
#include <poplarpass/jobs/job_engine.h>

#include <deque>
#include <map>

namespace poplarpass::capacity
{
/// \brief Capacity and demand of one pool, in thousandths of a core.
struct pool_load
{
    std::int64_t capacity = 0; ///< Capacity of listed workers that are neither draining nor leaving.
    std::int64_t placed = 0; ///< Processor time reserved by the placed runs.
    std::int64_t waiting = 0; ///< Demand of tasks that could start now if there were capacity; none beyond caps.
    std::int64_t offered = 0; ///< Rate of arriving work, from the averages over offeredWindow and burstWindow; none
                              ///< beyond caps.
    std::uint32_t minWorkers = 0; ///< Minimum number of workers that satisfies the anti-affinity of long-running tasks.
    double longRunningHosts = 0; ///< Hosts that the long-running tasks fill, whether they run or wait.
    std::int64_t longRunningTasks = 0; ///< Long-running tasks that have to run.
    std::int64_t longRunningWaiting = 0; ///< Those of longRunningTasks without a run.
    std::int64_t longRunningInService = 0; ///< Long-running runs on workers that accept starts.
};

/// \brief Measures the demand of each pool.
class demand_meter
{
public:
    /// \brief Records the arrival of a job that was accepted at \p now.
    auto onJob(const jobs::multistep_job_record &job, core::monotonic_time now) -> void;

    /// \brief Returns the load of each pool that has workers or jobs.
    /// \param hostCapacity resources of one host, by which the hosts for long-running tasks are counted
    auto measure(jobs::job_engine &engine, const jobs::resources &hostCapacity, core::monotonic_time now)
        -> std::map<core::pool_id, pool_load>;

private:
    struct arrival
    {
        core::monotonic_time at;
        std::int64_t work; ///< Thousandths of core-seconds.
        jobs::account_id account; ///< Account that submitted it; empty for none.
    };

    auto measureOffered(const jobs::job_engine &engine, core::monotonic_time now,
                        std::map<core::pool_id, pool_load> &loads) -> void;

    std::map<core::pool_id, std::deque<arrival>> m_arrivals;
};
} // namespace poplarpass::capacity
