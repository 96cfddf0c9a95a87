#pragma once

#include <poplarpass/jobs/job_state.h>

#include <optional>

namespace poplarpass::jobs::internal
{
/// \brief What a run of a task's step usually takes, by the other tasks of the step; by the estimate when there are
/// none.
auto typicalRunTime(const job_record &job, const task_ref &task) -> core::duration;

/// \brief Time that is left of a run by its reported progress.
/// \returns nothing when it made no progress
auto remainingRunTime(const task_state &state) -> std::optional<core::duration>;

/// \brief Whether a run is so slow that its task is done sooner by a new run elsewhere.
///
/// Answers workers that turn slow, or on which runs stand still, while their health is good.
auto isStraggler(const job_record &job, const task_ref &task) -> bool;
} // namespace poplarpass::jobs::internal
