#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace poplarpass::app
{
/// \brief State of a pool at one moment, from a pool_load line of the owner's log.
struct pool_sample
{
    std::int64_t hosts = 0; ///< Hosts in the pool or on their way to it.
    std::int64_t wanted = 0; ///< Hosts that the planner wants in it.
    std::int64_t spread = 0; ///< Hosts that the anti-affinity of long-running tasks needs.
    std::int64_t draining = 0; ///< Hosts that are drained.
    std::int64_t arriving = 0; ///< Hosts that are on their way to the pool.
    std::int64_t maintenance = 0; ///< Hosts in maintenance.
    std::int64_t idle = 0; ///< Usable hosts without a task.
    double atWork = 0; ///< Reserved processor time, in hosts.
    double waiting = 0; ///< Processor time of the tasks that could start if there were room, in hosts.
    bool standby = false; ///< Whether the hosts of the pool are powered off.
};

/// \brief The pools at one moment.
struct capacity_moment
{
    std::int64_t atMs = 0; ///< Time of day, milliseconds.
    std::map<std::string, pool_sample> pools; ///< By name.
};

/// \brief A log line that cannot be used.
struct log_line_error
{
    std::size_t line = 0; ///< Number of the line, from 1.
    std::string detail; ///< What is wrong with it.
};

/// \brief Reads the pool_load lines of \p in; other lines are skipped.
/// \returns the moments in order of time, or the first pool_load line without a time or with a missing or bad field
auto readCapacityMoments(std::istream &in) -> tl::expected<std::vector<capacity_moment>, log_line_error>;

/// \brief Returns the least number of hosts that could carry the placed and spread tasks of \p sample.
auto leastHosts(const pool_sample &sample) -> double;

/// \brief Prints how many host-seconds each pool held and for what, and a chart of the moments.
auto printCapacityReport(const std::vector<capacity_moment> &moments, std::ostream &out) -> void;
} // namespace poplarpass::app
