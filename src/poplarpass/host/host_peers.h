#pragma once

#include <poplarpass/host/peer_calls.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_message.h>

#include <optional>

namespace poplarpass::host
{
/// \brief Makes an HTTP client of the other hosts.
/// \param http must outlive the result
auto makePeerCalls(net::http_client &http) -> peer_calls;

/// \brief Parses a caller's request that another host forwarded.
/// \returns nothing if \p call is malformed
auto parseForwardedRequest(const net::http_request &call) -> std::optional<client_request>;

/// \brief Whether \p call announces an owner; parseAnnouncement() parses it.
auto isAnnouncement(const net::http_request &call) -> bool;

/// \brief Parses the owner that \p call announces.
/// \returns nothing if \p call is malformed
auto parseAnnouncement(const net::http_request &call) -> std::optional<owner::owner_record>;
} // namespace poplarpass::host
