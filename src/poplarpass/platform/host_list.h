#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <functional>
#include <string>
#include <vector>

namespace poplarpass::platform
{
/// \brief One worker host as listed by the platform; the list lags behind the actual state.
struct listed_host
{
    core::host_id host;
    std::string address; ///< "IP:port" of the worker's endpoint.
    core::region_id region;
    core::zone_id zone; ///< Availability zone.
    core::rack_id rack;
    core::pool_id pool; ///< Pool that the host serves when it is first discovered.
    int slots = 0; ///< Maximum number of concurrent jobs.
    int connections = 0; ///< Maximum number of connections.
    int cores = 0; ///< CPU cores.
    int memoryMb = 0;
    int accelerators = 0;
    bool leaving = false; ///< Whether the platform reports that the host is leaving.
};

/// \brief The platform's list of live and leaving hosts; lags behind the actual state.
struct host_list
{
    /// \brief Fetches the list; fails with peer_unreachable or malformed_message.
    std::function<void(std::function<void(core::result<std::vector<listed_host>>)>)> fetch;
};
} // namespace poplarpass::platform
