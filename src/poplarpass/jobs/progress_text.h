#pragma once

#include <poplarpass/jobs/job_state.h>

#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::jobs
{
/// \brief Encodes the mutable part of \p job as text for the store.
auto encodeProgress(const multistep_job_record &job) -> std::string;

/// \brief Encodes the final phase of a settled job as text for the store.
auto encodeEnd(multistep_job_phase phase) -> std::string;

/// \brief Decodes a text that encodeEnd() wrote.
/// \returns nothing when \p text is not valid
auto decodeEnd(std::string_view text) -> std::optional<multistep_job_phase>;

/// \brief Applies progress that encodeProgress() wrote to a job made from the same specification.
/// \returns whether \p text is valid; if not, \p job is unchanged
auto applyProgress(multistep_job_record &job, std::string_view text) -> bool;
} // namespace poplarpass::jobs
