#pragma once

#include <poplarpass/host/peer_calls.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_message.h>

#include <optional>

namespace poplarpass::host
{
/// \brief Calls of the other hosts over HTTP.
auto makePeerCalls(net::http_client &http) -> peer_calls;

/// \brief The request that another host handed on, if \p call is one.
auto handedRequest(const net::http_request &call) -> std::optional<client_request>;

/// \brief Whether \p call announces an owner; if so, ownerAnnounced() reads it.
auto isAnnouncement(const net::http_request &call) -> bool;

/// \brief The owner that \p call announces, if it can be read.
auto ownerAnnounced(const net::http_request &call) -> std::optional<owner::owner_record>;
} // namespace poplarpass::host
