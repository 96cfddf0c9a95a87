#pragma once

#include <poplarpass/jobs/job_state.h>

#include <cstdint>

namespace poplarpass::jobs
{
/// \brief Where a job stands among the jobs of its pool; the least comes first.
struct job_rank
{
    std::uint32_t tier = 0; ///< Long-running work, then work that can still meet its objective, then the rest.
    std::uint32_t priority = 0; ///< Priority of its queue.
    std::int64_t key = 0; ///< Within the tier: remaining work or time of acceptance.

    auto operator<=>(const job_rank &) const = default;
};

/// \brief Rank of \p job at \p now.
///
/// Answers the load of the turns, when a queue asks for more than its pool holds for seconds: then jobs that can still
/// meet their objective go first, the one with the least remaining work before larger ones, so that most callers are
/// served in time; jobs that are late already take what is left, in order of arrival.
auto rankOf(const job_record &job, core::wall_time now) -> job_rank;

/// \brief Time by which \p job meets its objective.
auto objectiveOf(const job_record &job) -> core::wall_time;

/// \brief Longest chain of estimates through the tasks that are not done.
auto remainingChain(const job_record &job) -> std::chrono::milliseconds;
} // namespace poplarpass::jobs
