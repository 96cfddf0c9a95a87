#pragma once

#include <poplarpass/jobs/job_state.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace poplarpass::jobs
{
/// \brief Encodes the mutable part of \p job as text for the store.
auto encodeProgress(const multistep_job_record &job) -> std::string;

/// \brief Encodes the phase of \p job as a text that applyProgress() reads as the progress of a job without any run.
auto encodePhase(const multistep_job_record &job) -> std::string;

/// \brief Encodes the state of the tasks from position \p first to \p first + \p count, without checkpoints longer than
/// \p maxCheckpointBytes.
/// \returns an empty text when no run of these tasks ever existed
auto encodeTasks(const multistep_job_record &job, std::size_t first, std::size_t count, std::size_t maxCheckpointBytes)
    -> std::string;

/// \brief Encodes the final phase of a settled job as text for the store.
auto encodeEnd(multistep_job_phase phase) -> std::string;

/// \brief Decodes a text that encodeEnd() wrote.
/// \returns nothing when \p text is not valid
auto decodeEnd(std::string_view text) -> std::optional<multistep_job_phase>;

/// \brief Applies progress that encodeProgress() wrote to a job made from the same specification.
/// \returns whether \p text is valid; if not, \p job is unchanged
auto applyProgress(multistep_job_record &job, std::string_view text) -> bool;

/// \brief Applies progress in parts: the texts of encodeTasks(), and the ends in \p phaseText, which an owner that
/// does not know the parts may have added to the text of encodePhase().
/// \returns whether all texts are valid; if not, \p job is unchanged
auto applyProgressParts(multistep_job_record &job, std::string_view phaseText, std::span<const std::string_view> parts)
    -> bool;
} // namespace poplarpass::jobs
