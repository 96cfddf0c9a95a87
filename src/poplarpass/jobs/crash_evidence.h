#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

namespace poplarpass::jobs::internal
{
/// \brief Returns for how long a run is known to have been executed: from its acknowledgement until its worker last
/// answered any call; zero when the worker has answered none since.
auto knownRunTime(const task_record &state, const worker_slot &worker) -> core::duration;

/// \brief Returns whether the crash of \p worker may have been caused by the start of this run.
auto isCrashSuspect(const task_record &state, const worker_slot &worker) -> bool;
} // namespace poplarpass::jobs::internal
