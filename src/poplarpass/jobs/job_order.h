#pragma once

#include <poplarpass/jobs/job_state.h>

#include <cstdint>

namespace poplarpass::jobs
{
/// \brief Scheduling rank of a job among the jobs of its pool; the lowest is planned first.
struct job_rank
{
    std::uint32_t tier = 0; ///< Long-running jobs, then jobs that can still meet their objective, then the rest.
    std::uint32_t priority = 0; ///< Priority of its queue.
    std::int64_t key = 0; ///< Order within the tier and priority: remaining work or time of acceptance.

    auto operator<=>(const job_rank &) const = default;
};

/// \brief Returns the rank of \p job at \p now.
///
/// During load spikes a queue demands more than its pool's capacity for seconds. Jobs that can still meet their
/// objective then run first, the shortest remaining work before longer, so that most callers are served in time; jobs
/// that are already late use the remaining capacity in order of arrival.
auto rankOf(const multistep_job_record &job, core::wall_time now) -> job_rank;

/// \brief Returns the time by which \p job has to complete to meet its objective.
auto objectiveOf(const multistep_job_record &job) -> core::wall_time;

/// \brief Returns the length of the critical path, by estimates, through the steps with unfinished tasks.
auto remainingChain(const multistep_job_record &job) -> std::chrono::milliseconds;
} // namespace poplarpass::jobs
