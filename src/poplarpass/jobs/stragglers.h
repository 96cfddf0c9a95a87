#pragma once

#include <poplarpass/jobs/job_state.h>

namespace poplarpass::jobs::internal
{
/// \brief Returns the typical run time of a task's step: the median of its other tasks on other workers, or a bound
/// derived from the estimate when none of them has a known run time.
auto typicalRunTime(const multistep_job_record &job, const task_ref &task) -> core::duration;

/// \brief Returns whether a run is so slow that a new run elsewhere would finish its task sooner.
///
/// Detects workers that become slow, or whose runs stall, while their health checks pass.
auto isStraggler(const multistep_job_record &job, const task_ref &task) -> bool;
} // namespace poplarpass::jobs::internal
