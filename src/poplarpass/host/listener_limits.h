#pragma once

#include <poplarpass/net/constants.h>

#include <cstddef>

namespace poplarpass::host
{
/// \brief Limits of the HTTP servers of a host.
struct listener_limits
{
    net::server_limits callers; ///< Server for callers; the limit of a body comes from the configuration.
    net::server_limits peers; ///< Server for other hosts.
    net::server_limits status; ///< Each of the servers for readiness and for metrics.
};

/// \brief Divides what clients may take of a host, so that no server can take the share of another.
/// \param memoryBytes memory that the process may use
/// \param maxDescriptors file descriptors that the process may have open
auto divideAmongListeners(std::size_t memoryBytes, std::size_t maxDescriptors) -> listener_limits;
} // namespace poplarpass::host
