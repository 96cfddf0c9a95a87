#pragma once

#include <poplarpass/settings/fleet_file.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarpass::settings
{
/// \brief Settings of one `poplarpass host` process.
struct host_settings
{
    std::string name; ///< Name of the host.
    std::string zone; ///< Availability zone of the host.
    std::string callers; ///< "IP:port" for callers.
    std::string readiness; ///< "IP:port" on which readiness is asked for.
    std::string peers; ///< "IP:port" for the other hosts.
    std::string metrics; ///< "IP:port" for metrics.
    std::string store; ///< "IP:port" of the platform's store.
    std::string hostService; ///< "IP:port" of the platform's service for hosts of workers.
    std::string advice; ///< "IP:port" of the service that advises on placement; empty when there is none.
    double cores = 1; ///< Processor time a second, cores.
    double linkMbps = 1000; ///< Bandwidth of the host's link, megabits a second.
    std::chrono::milliseconds stopGrace{0}; ///< From the order to stop to the end of the process.
    std::chrono::milliseconds holderTerm{0}; ///< Term within which orders for one host come from one holder.
    std::string logLevel; ///< Least level of events that are written.
};

/// \brief Settings, or everything that is wrong in the file.
using host_settings_result = tl::expected<host_settings, std::vector<toml_problem>>;

/// \brief Whether the two differ in an address that a process uses from its start to its end.
auto differsInAddresses(const host_settings &first, const host_settings &second) -> bool;

/// \brief Reads the settings of a host from TOML \p text.
/// \param file name of the file, for the problems
auto parseHostSettings(std::string_view text, std::string_view file) -> host_settings_result;

/// \brief Reads the settings of a host from the file \p path.
auto loadHostSettings(const std::string &path) -> host_settings_result;
} // namespace poplarpass::settings
