#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/jobs/job_engine.h>

namespace poplarpass::capacity::internal
{
/// \brief Returns the worker of a host; null when there is none.
auto workerSlotOf(const tracked_host &host, jobs::job_engine &engine) -> jobs::worker_slot *;

/// \brief Returns whether no task is placed on the host's worker; true for a host without a worker.
auto isEmpty(const tracked_host &host, jobs::job_engine &engine) -> bool;

/// \brief Returns whether the host's worker accepts starts.
auto isInService(const tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> bool;

/// \brief Returns the expected time until the last task has left \p worker once it is drained; zero when it has none.
auto remainingRunTimeOf(const jobs::worker_slot &worker, const jobs::job_engine &engine, core::monotonic_time now)
    -> core::duration;

/// \brief Returns the score by which hosts are ordered for draining, lowest first: reserved processor time in
/// thousandths of a core plus number of tasks.
auto occupancyOf(const tracked_host &host, jobs::job_engine &engine) -> std::int64_t;
} // namespace poplarpass::capacity::internal
