#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/host/config_standing.h>
#include <poplarpass/host/request_authenticator.h>
#include <poplarpass/route/route_table.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief A valid request of a caller to a queue.
struct caller_request
{
    client_request request; ///< The request.
    core::duration time{}; ///< Time limit for the answer.
};

/// \brief A call that is refused at once by the host that received it.
struct caller_refusal
{
    net::http_response response; ///< Response to send.
    std::optional<authentication_error> authentication; ///< Set when it is refused because of its key.
    std::string job; ///< Job that the call names; empty if it names none.
    std::string_view verb = "none"; ///< Requested operation.
};

/// \brief Validates a caller's HTTP request against the routes and accounts of the active configuration.
///
/// Where client accounts are enabled and \p standing does not let this host decide, a request is not refused for its
/// key or route: the owner decides.
/// \returns the parsed request, or the refusal to send
auto parseCallerRequest(const net::http_request &call, const route::route_table &routes,
                        const config_standing &standing = {}) -> tl::expected<caller_request, caller_refusal>;
} // namespace poplarpass::host
