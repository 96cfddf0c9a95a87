#pragma once

#include <poplarpass/jobs/job_state.h>

#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::jobs
{
/// \brief The part of \p job that changes, as text for the store.
auto encodeProgress(const job_record &job) -> std::string;

/// \brief The end of a settled job, as text for the store.
auto encodeEnd(job_phase phase) -> std::string;

/// \brief Phase in a text that encodeEnd() wrote, if it is one.
auto decodeEnd(std::string_view text) -> std::optional<job_phase>;

/// \brief Puts progress that encodeProgress() wrote into a job made from the same specification.
/// \returns whether \p text could be read; if not, \p job is unchanged
auto applyProgress(job_record &job, std::string_view text) -> bool;
} // namespace poplarpass::jobs
