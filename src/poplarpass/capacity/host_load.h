#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/jobs/job_engine.h>

namespace poplarpass::capacity::internal
{
/// \brief Worker of a host; null when there is none.
auto workerSlotOf(const tracked_host &host, jobs::job_engine &engine) -> jobs::worker_slot *;

/// \brief Whether nothing is placed on a host's worker.
auto isEmpty(const tracked_host &host, jobs::job_engine &engine) -> bool;

/// \brief Time until the last short task of a host should have ended.
auto remainingRunTimeOf(const tracked_host &host, jobs::job_engine &engine, core::monotonic_time now) -> core::duration;

/// \brief Long-running tasks on a host's worker.
auto longRunningCountOf(const tracked_host &host, jobs::job_engine &engine) -> std::size_t;

/// \brief Share of a host that work takes, for choosing the host that is easiest to drain.
auto occupancyOf(const tracked_host &host, jobs::job_engine &engine) -> std::int64_t;
} // namespace poplarpass::capacity::internal
