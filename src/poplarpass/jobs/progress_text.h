#pragma once

#include <poplarpass/jobs/job_state.h>

#include <string>
#include <string_view>

namespace poplarpass::jobs
{
/// \brief The part of \p job that changes, as text for the store.
auto encodeProgress(const job_record &job) -> std::string;

/// \brief Puts progress that encodeProgress() wrote into a job made from the same specification.
/// \returns whether \p text could be read; if not, \p job is unchanged
auto applyProgress(job_record &job, std::string_view text) -> bool;
} // namespace poplarpass::jobs
