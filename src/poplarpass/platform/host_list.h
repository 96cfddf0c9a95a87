#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <functional>
#include <string>
#include <vector>

namespace poplarpass::platform
{
/// \brief One worker host as the platform's lagging list shows it.
struct listed_host
{
    core::host_id host; ///< Its name.
    std::string address; ///< "IP:port" of its endpoint.
    core::region_id region; ///< Region that it stands in.
    core::zone_id zone; ///< Availability zone that it stands in.
    core::rack_id rack; ///< Rack that it stands in.
    core::pool_id pool; ///< Pool that it serves when the system first sees it.
    int slots = 0; ///< Jobs that it runs at once.
    int connections = 0; ///< Connections that it accepts.
    int cores = 0; ///< Processor cores.
    int memoryMb = 0; ///< Memory in MB.
    int accelerators = 0; ///< Accelerators.
    bool leaving = false; ///< Whether the platform says that it is leaving.
};

/// \brief The platform's list of live and leaving hosts. It lags.
struct host_list
{
    /// \brief Fetches the list.
    std::function<void(std::function<void(core::result<std::vector<listed_host>>)>)> fetch;
};
} // namespace poplarpass::platform
