#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/run_time_model.h>

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

/// \brief What the rank of a job depends on; changes only when one of its tasks is done.
struct job_outlook
{
    bool isLongRunning = false; ///< Whether it runs until it is cancelled.
    bool isScheduled = false; ///< Whether it runs at set times.
    std::uint32_t priority = 0; ///< Priority of its queue.
    core::wall_time acceptedAt{}; ///< When it was first received.
    core::wall_time objective{}; ///< Time by which it has to complete to meet its objective.
    std::chrono::milliseconds remainingChain{0}; ///< Critical path through the steps with unfinished tasks.
    std::int64_t remainingWork = 0; ///< Expected processor time of the unfinished tasks, microseconds.
    std::int64_t leastCpu = 0; ///< No task reserves less processor time, thousandths of a core.
};

/// \brief Returns the outlook of \p job, given the expected run times of its tasks.
auto outlookOf(const multistep_job_record &job, const run_time_hook &runTimeOf = declaredRunTime) -> job_outlook;

/// \brief Returns the rank at \p now of a job with \p outlook.
///
/// During load spikes a queue demands more than its pool's capacity for seconds. Jobs that can still meet their
/// objective then run first, the shortest remaining work before longer, so that most callers are served in time; jobs
/// that are already late use the remaining capacity in order of arrival.
auto rankOf(const job_outlook &outlook, core::wall_time now) -> job_rank;

/// \brief Returns the time from the acceptance of a job to its objective.
auto objectiveSpan(const queue_policy &queue, const multistep_job_spec &spec,
                   const run_time_hook &runTimeOf = declaredRunTime) -> core::duration;

/// \brief Returns the time by which \p job has to complete to meet its objective.
auto objectiveOf(const multistep_job_record &job, const run_time_hook &runTimeOf = declaredRunTime) -> core::wall_time;

/// \brief Returns the expected length of the critical path through the steps with unfinished tasks.
auto remainingChain(const multistep_job_record &job, const run_time_hook &runTimeOf = declaredRunTime)
    -> std::chrono::milliseconds;
} // namespace poplarpass::jobs
