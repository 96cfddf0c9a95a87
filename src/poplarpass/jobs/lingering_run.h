#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/account_limits.h>

#include <cstdint>
#include <string>

namespace poplarpass::jobs
{
/// \brief A run that may still exist although its task is done or has a newer run. It counts against the capacity of
/// its worker and the cap of its account until its end is certain.
struct lingering_run
{
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::int64_t incarnation = 0; ///< Incarnation of the worker.
    account_id account;
    core::pool_id pool; ///< Pool of the job's queue.
    resources need; ///< Resources that it uses.
    resources reserved; ///< Resources that it reserves on the worker.
    bool acknowledged = false; ///< Whether the worker acknowledged its start.
    core::monotonic_time acknowledgedAt{}; ///< When it did.
    bool stopConfirmed = false; ///< Whether the worker confirmed a stop.
    core::monotonic_time stopConfirmedAt{}; ///< When it did.
    core::monotonic_time stopSentAt{}; ///< When a stop was last ordered.
    core::monotonic_time leaseEnd{}; ///< Time by which it has ended if the worker's lease is not extended.
};
} // namespace poplarpass::jobs
