#pragma once

#include <poplarpass/host/client_request.h>
#include <poplarpass/owner/owner_monitor.h>

#include <functional>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief Another host's answer to a request that was handed to it.
struct peer_answer
{
    std::optional<net::http_response> response; ///< What it answered; nothing when no answer came.
    bool maybeTaken = true; ///< Without an answer: whether it may have got the request.
};

/// \brief Calls of the other hosts, by "IP:port"; completions run on the event loop.
struct peer_calls
{
    /// \brief Hands a caller's request to the host that owns the pools.
    std::function<void(const std::string &, const client_request &, std::function<void(peer_answer)>)> hand;
    /// \brief Tells a host who owns the pools; the completion says whether it took note.
    std::function<void(const std::string &, const owner::owner_record &, std::function<void(bool)>)> announce;
};
} // namespace poplarpass::host
