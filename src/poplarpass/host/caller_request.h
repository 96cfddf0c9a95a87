#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/route/route_table.h>

#include <tl/expected.hpp>

namespace poplarpass::host
{
/// \brief A valid request of a caller to a queue.
struct caller_request
{
    client_request request; ///< The request.
    core::duration time{}; ///< Time limit for the answer.
};

/// \brief Validates a caller's HTTP request against the routes of the active configuration.
/// \returns the parsed request, or the error response to send
auto parseCallerRequest(const net::http_request &call, const route::route_table &routes)
    -> tl::expected<caller_request, net::http_response>;
} // namespace poplarpass::host
