#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace poplarpass::request
{
/// \brief One worker as this entry sees it.
struct worker_view
{
    core::host_id host; ///< Its name.
    std::string address; ///< "IP:port" of its endpoint.
    core::zone_id zone; ///< Availability zone that it stands in.
    std::uint64_t generation = 0; ///< Generation of its assignment to the pool.
    int slots = 0; ///< Jobs that it runs at once.
    int connections = 0; ///< Connections that it accepts.
    int cores = 0; ///< Processor cores.
    int memoryMb = 0; ///< Memory in MB.
    double otherSlots = 0.0; ///< Smoothed estimate of the slots that others use.
    double otherConnections = 0.0; ///< Smoothed estimate of the connections that others use.
    int outstanding = 0; ///< Own jobs without an answer.
    double failureRate = 0.0; ///< Share of its recent attempts that failed by its own fault.
    bool open = true; ///< Whether it may get new work: neither leaving nor taken out.

    /// \brief Estimate of the slots in use: what this entry has sent, and what others use by the reports.
    [[nodiscard]] auto usedSlots() const -> int
    {
        return outstanding + static_cast<int>(std::lround(otherSlots));
    }

    /// \brief Estimate of the free slots, never negative.
    [[nodiscard]] auto freeSlots() const -> int
    {
        return std::max(0, slots - usedSlots());
    }

    /// \brief Estimate of the free connections, never negative.
    [[nodiscard]] auto freeConnections() const -> int
    {
        return std::max(0, connections - outstanding - static_cast<int>(std::lround(otherConnections)));
    }
};
} // namespace poplarpass::request
