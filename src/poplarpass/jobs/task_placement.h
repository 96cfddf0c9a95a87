#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <span>
#include <string_view>

namespace poplarpass::jobs::internal
{
/// \brief Returns the resources that a run of \p step reserves on a worker; best-effort steps reserve no processor
/// time.
auto requiredResources(const step_spec &step) -> resources;

/// \brief Adds a run of \p step to, or removes it from, the usage of a worker.
auto addUsage(worker_slot &worker, const step_spec &step) -> void;
auto removeUsage(worker_slot &worker, const step_spec &step) -> void;

/// \brief Returns the worker's rack label; empty when there is none.
auto rackOf(const worker_slot &worker) -> std::string_view;

/// \brief Chooses the worker for one more task of a step.
///
/// Considers only workers that satisfy the step's resources, label and anti-affinity. Avoids mixing best-effort and
/// serving tasks, then prefers the step's affinity rack and, for rack-local steps, the rack of its other tasks; then
/// the worker that is left with the least processor time, so that whole workers stay free for large tasks and for
/// moves.
/// \param occurrence occurrence of the task
/// \param step number of its step
/// \returns null when no worker is suitable
auto chooseWorker(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                  std::span<worker_slot *const> workers) -> worker_slot *;
} // namespace poplarpass::jobs::internal
