#pragma once

#include <poplarpass/capacity/host_table.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarpass::host
{
/// \brief Lease holder and fencing token that are sent with each order for a host.
struct host_lease_holder
{
    std::string name; ///< Name of this process.
    std::uint64_t fencingToken = 0; ///< Epoch of the owner of the pools.
};

/// \brief Client interface of the platform's service for the hosts of workers; completions run on the event loop.
struct host_calls
{
    /// \brief Lists all hosts; completes with nothing if the service did not answer.
    std::function<void(std::function<void(std::optional<std::vector<capacity::host_entry>>)>)> list;
    /// \brief Moves a host to another pool, or starts its maintenance.
    std::function<void(const host_lease_holder &, const capacity::host_order &,
                       std::function<void(capacity::host_order_outcome)>)>
        order;
};
} // namespace poplarpass::host
