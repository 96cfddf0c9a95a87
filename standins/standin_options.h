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
/// \brief Command-line options.
struct standin_options
{
    std::string verb; ///< log, hostlist, workers, proxy, collector or all.
    std::string listen = "127.0.0.1:0"; ///< "IP:port" of log, host list, collector, or the workers' control port.
    std::string hostListListen = "127.0.0.1:0"; ///< "IP:port" of the host list with the verb `all`.
    std::string logListen = "127.0.0.1:0"; ///< "IP:port" of the log with the verb `all`.
    std::string inventory; ///< Inventory file of the workers; if empty they are generated.
    std::string registrationAddress; ///< "IP:port" of the host list where the workers register; may be empty.
    int count = 8; ///< Number of generated workers.
    std::vector<std::string> pools; ///< Pools of the generated workers.
    std::chrono::milliseconds hostListLag{1000}; ///< Time until a change is visible in the host list.
    worker_options worker; ///< Timing of the workers.
    std::vector<fault_proxy::route> routes; ///< Address pairs of the proxy.
    std::uint64_t seed = 1; ///< Seed of random faults.
};

/// \brief Parses the command line.
/// \returns nothing if the help was printed, on request or for lack of a verb
/// \throws std::exception if the command line is invalid
auto parseOptions(int argc, char *argv[]) -> std::optional<standin_options>;
} // namespace standins
