#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

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

/// \brief Returns the number of tasks of a step that are placed on \p worker, or have room reserved there.
auto tasksOfStepOn(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   const worker_slot &worker) -> std::uint32_t;
} // namespace poplarpass::jobs::internal
