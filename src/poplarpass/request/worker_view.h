#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace poplarpass::request
{
/// \brief This entry's view of one worker.
struct worker_view
{
    core::host_id host; ///< Name of the host that the worker runs on.
    std::string address; ///< "IP:port" of its endpoint.
    core::zone_id zone; ///< Availability zone.
    std::uint64_t generation = 0; ///< Generation of its assignment to the pool.
    int slots = 0; ///< Maximum number of concurrent jobs.
    int connections = 0; ///< Maximum number of connections.
    int cores = 0; ///< Processor cores.
    int memoryMb = 0; ///< Memory in MB.
    double otherSlots = 0.0; ///< Smoothed estimate of the slots used by other entries.
    double otherConnections = 0.0; ///< Smoothed estimate of the connections used by other entries.
    int outstanding = 0; ///< Jobs of this entry without an answer.
    double failureRate = 0.0; ///< Share of its recent attempts that failed because of the worker.
    bool open = true; ///< Whether it may receive new jobs: not leaving, not ejected, with a valid lease.

    /// \brief Returns an estimate of the slots in use by this entry and, according to the reports, by others.
    [[nodiscard]] auto usedSlots() const -> int
    {
        return outstanding + static_cast<int>(std::lround(otherSlots));
    }

    /// \brief Returns an estimate of the free slots, never negative.
    [[nodiscard]] auto freeSlots() const -> int
    {
        return std::max(0, slots - usedSlots());
    }

    /// \brief Returns an estimate of the free connections, never negative.
    [[nodiscard]] auto freeConnections() const -> int
    {
        return std::max(0, connections - outstanding - static_cast<int>(std::lround(otherConnections)));
    }
};
} // namespace poplarpass::request
