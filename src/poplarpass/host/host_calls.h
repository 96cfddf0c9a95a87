#pragma once

#include <poplarpass/capacity/host_table.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarpass::host
{
/// \brief By what right a host is ordered about.
struct host_holder
{
    std::string name; ///< Name of this process.
    std::uint64_t fencingToken = 0; ///< Epoch of the owner.
};

/// \brief Calls of the platform's service for hosts of workers; completions run on the event loop.
struct host_calls
{
    /// \brief Lists all hosts; nothing when the service did not answer.
    std::function<void(std::function<void(std::optional<std::vector<capacity::host_entry>>)>)> list;
    /// \brief Moves or maintains a host.
    std::function<void(const host_holder &, const capacity::host_order &,
                       std::function<void(capacity::host_order_outcome)>)>
        order;
};
} // namespace poplarpass::host
