#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/route/route_table.h>

#include <tl/expected.hpp>

namespace poplarpass::host
{
/// \brief A caller's request that a queue takes.
struct caller_request
{
    client_request request; ///< What the caller asks for.
    core::duration time{}; ///< The caller has an answer after this, or has gone.
};

/// \brief Reads a caller's call by the configuration in force.
/// \returns the request, or the answer that refuses it
auto readCallerRequest(const net::http_request &call, const route::route_table &routes)
    -> tl::expected<caller_request, net::http_response>;
} // namespace poplarpass::host
