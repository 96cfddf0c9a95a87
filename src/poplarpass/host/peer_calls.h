#pragma once

#include <poplarpass/host/client_request.h>
#include <poplarpass/owner/owner_monitor.h>

#include <functional>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief Another host's answer to a forwarded request.
struct peer_answer
{
    std::optional<net::http_response> response; ///< The response; nothing if none arrived.
    bool maybeReceived = true; ///< Without a response: whether the host may have received the request.
};

/// \brief Client interface of the other hosts, addressed by "IP:port"; completions run on the event loop.
struct peer_calls
{
    /// \brief Forwards a caller's request to the host that owns the pools.
    std::function<void(const std::string &, const client_request &, std::function<void(peer_answer)>)> forwardRequest;
    /// \brief Announces the owner of the pools to a host; completes with whether the host acknowledged.
    std::function<void(const std::string &, const owner::owner_record &, std::function<void(bool)>)> announce;
};
} // namespace poplarpass::host
