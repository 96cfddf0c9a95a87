#pragma once

#include <poplarpass/settings/fleet_file.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpass::settings
{
/// \brief Settings of one `poplarpass host` process.
struct host_settings
{
    std::string name; ///< Name of the host.
    std::string zone; ///< Availability zone of the host.
    std::string callers; ///< "IP:port" for callers' requests.
    std::string readiness; ///< "IP:port" of the readiness endpoint.
    std::string peers; ///< "IP:port" for the other hosts.
    std::string metrics; ///< "IP:port" for metrics.
    std::string store; ///< "IP:port" of the platform's store.
    std::string hostService; ///< "IP:port" of the platform's worker host service.
    std::string advice; ///< "IP:port" of the placement advice service; empty if there is none.
    double cores = 1; ///< Processor time per second, cores.
    double linkMbps = 1000; ///< Bandwidth of the host's link, megabits per second.
    std::optional<int> memoryMb; ///< Memory that the process may use, MB (10^6 bytes); by default what the machine has.
    int maxDescriptors = 4096; ///< File descriptors that the process may have open.
    std::chrono::milliseconds stopGrace{0}; ///< Time from the stop command to the end of the process.
    std::chrono::milliseconds holderTerm{0}; ///< Lease term during which commands for a host come from a single holder.
    std::optional<std::chrono::milliseconds>
        keyWithdrawal; ///< Time after which a removed key of a client account must be refused; no bound without it.
    std::string logLevel; ///< Minimum level of logged events.
};

/// \brief Settings, or all problems in the file.
using host_settings_result = tl::expected<host_settings, std::vector<toml_problem>>;

/// \brief Returns whether the two differ in the name or an address, which a process reads only at its start.
auto differsInAddresses(const host_settings &first, const host_settings &second) -> bool;

/// \brief Parses the settings of a host from TOML \p text.
/// \param file file name to report in problems
auto parseHostSettings(std::string_view text, std::string_view file) -> host_settings_result;

/// \brief Reads the settings of a host from the file \p path.
auto loadHostSettings(const std::string &path) -> host_settings_result;
} // namespace poplarpass::settings
