#pragma once

#include "fault_proxy.h"
#include "worker_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standins
{
/// \brief Settings of one run of the stand-ins.
struct standin_options
{
    std::string verb; ///< log, hostlist, workers, proxy, collector or all.
    std::string listen = "127.0.0.1:0"; ///< "IP:port" of log, host list, collector, or the workers' control port.
    std::string hostListListen = "127.0.0.1:0"; ///< "IP:port" of the host list with the verb `all`.
    std::string logListen = "127.0.0.1:0"; ///< "IP:port" of the log with the verb `all`.
    std::string inventory; ///< File that lists the workers; empty generates them.
    std::string registrationAddress; ///< "IP:port" of a host list that the workers register with; may be empty.
    int count = 8; ///< Number of workers when they are generated.
    std::vector<std::string> pools; ///< Pools of the workers when they are generated.
    std::chrono::milliseconds hostListLag{1000}; ///< Lag of the host list.
    worker_options worker; ///< Timing of the workers.
    std::vector<fault_proxy::route> routes; ///< Pairs of a proxy.
    std::uint64_t seed = 1; ///< Seed of random faults.
};

/// \brief Reads the command line.
/// \returns nothing after printing the help
/// \throws std::exception for a command line that is wrong
auto parseOptions(int argc, char *argv[]) -> std::optional<standin_options>;
} // namespace standins
