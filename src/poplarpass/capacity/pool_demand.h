#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/jobs/job_engine.h>

#include <deque>
#include <map>

namespace poplarpass::capacity
{
/// \brief What one pool has and is asked for, thousandths of a core.
struct pool_load
{
    std::int64_t capacity = 0; ///< Of workers that take starts, or will within a moment.
    std::int64_t placed = 0; ///< Of runs in progress.
    std::int64_t waiting = 0; ///< Of tasks that could start now if there were room.
    std::int64_t offered = 0; ///< Work that came in over the last moments, per second.
    std::uint32_t minWorkers = 0; ///< Workers that the long-running tasks need at least, to stay apart.
};

/// \brief Measures the demand of each pool.
class demand_meter
{
public:
    /// \brief Notes a job that was accepted at \p now.
    auto onJob(const jobs::job_record &job, core::monotonic_time now) -> void;

    /// \brief Load of each pool that has workers or jobs.
    auto measure(jobs::job_engine &engine, core::monotonic_time now) -> std::map<core::pool_id, pool_load>;

private:
    struct arrival
    {
        core::monotonic_time at;
        std::int64_t work; ///< Thousandths of core-seconds.
    };

    std::map<core::pool_id, std::deque<arrival>> m_arrivals;
};
} // namespace poplarpass::capacity
