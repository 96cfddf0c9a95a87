#pragma once

#include <poplarpass/host/peer_calls.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_message.h>

#include <optional>
#include <string_view>

namespace poplarpass::host
{
/// \brief Header with the version of the configuration: in requests the oldest one by which the owner may handle them,
/// in the owner's answers the one by which it did.
inline constexpr std::string_view configHeader = "X-Poplarpass-Config";

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
