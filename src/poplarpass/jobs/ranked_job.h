#pragma once

#include <poplarpass/jobs/account_numbers.h>
#include <poplarpass/jobs/job_order.h>

#include <tuple>

namespace poplarpass::jobs::internal
{
/// \brief A job of a pool in one planning cycle.
struct ranked_job
{
    job_rank rank;
    multistep_job_record *job = nullptr;
    account_number account = 0;
};

/// \brief Returns whether \p entry is planned after \p other.
inline auto isPlannedLater(const ranked_job &entry, const ranked_job &other) -> bool
{
    return std::tie(entry.rank, entry.job->id) > std::tie(other.rank, other.job->id);
}
} // namespace poplarpass::jobs::internal
