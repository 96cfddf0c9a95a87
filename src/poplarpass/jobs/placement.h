#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <span>
#include <string_view>

namespace poplarpass::jobs::internal
{
/// \brief What a run of \p step takes from a worker; steps that fill take processor time only as others leave it.
auto needOf(const step_spec &step) -> resources;

/// \brief Counts a run of \p step in or out at a worker.
auto addUsage(worker_slot &worker, const step_spec &step) -> void;
auto removeUsage(worker_slot &worker, const step_spec &step) -> void;

/// \brief Label of the worker that names its rack; empty when there is none.
auto rackOf(const worker_slot &worker) -> std::string_view;

/// \brief Worker for one more task of a step.
///
/// Among the workers with room: one on the rack that the step is near to, or on the rack of its other tasks when it is
/// slow across racks, before others; then the one that is left with the least processor time, so that whole workers
/// stay free for large tasks and for moves.
/// \param occurrence occurrence of the task
/// \param step number of its step
/// \returns null when no worker has room
auto chooseWorker(const job_record &job, std::uint32_t occurrence, std::uint32_t step,
                  std::span<worker_slot *const> workers) -> worker_slot *;
} // namespace poplarpass::jobs::internal
