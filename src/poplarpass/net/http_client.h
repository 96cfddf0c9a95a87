#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/net/constants.h>
#include <poplarpass/net/http_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace poplarpass::net
{
namespace internal
{
class client_state;
} // namespace internal

/// \brief Whether a request may have reached its endpoint.
enum class sent_state {
    not_sent, ///< No byte of it was written.
    maybe_sent, ///< Some or all of it may have been written.
};

/// \brief Completion handler of one request; receives the response or the failure.
///
/// Failures: invalid_request (malformed address), peer_unreachable (connection refused, reset, closed, or not
/// established in time), outcome_unknown (no complete response within the timeout), malformed_message (response
/// truncated, unparsable, of unknown length, or to another request), cancelled, queue_full (too many waiting requests).
using http_completion = std::function<void(core::result<http_response>, sent_state)>;

/// \brief Identifies a request of a client.
enum class request_ticket : std::uint64_t {};

/// \brief Counters of a client, for metrics.
struct http_client_counters
{
    std::uint64_t requests = 0; ///< Requests submitted.
    std::uint64_t connects = 0; ///< Connection attempts.
    std::uint64_t reused = 0; ///< Requests sent over an idle connection of the pool.
    std::uint64_t timedOut = 0; ///< Requests without a complete response in time.
    std::uint64_t truncated = 0; ///< Responses that were truncated or unparsable.
    std::uint64_t mismatched = 0; ///< Responses with the id of another request.
    std::uint64_t extraBytes = 0; ///< Connections closed because of unsolicited bytes.
};

/// \brief HTTP/1.1 client with persistent connections; runs on the given event loop.
///
/// A request is written at most once and never retried. A connection is reused only after a complete response with no
/// bytes after it. A completion is called exactly once, never from inside a call, and not after the destruction.
///
/// Bytes of a request that the peer's kernel has not acknowledged are discarded when the request times out or is
/// cancelled, when the client or the process ends, and after client_limits::unacknowledgedTimeout even if the process
/// is frozen. Acknowledged bytes may still be read, and the request carried out, at any later time.
class http_client
{
public:
    http_client(boost::asio::io_context &loop, const client_limits &limits);
    ~http_client();
    http_client(const http_client &) = delete;
    auto operator=(const http_client &) -> http_client & = delete;

    /// \brief Sends one request.
    /// \param address "IP:port"
    /// \param timeout time until the last byte of the response, including the wait for a connection; no byte of the
    /// request is written after it, also if the process was frozen or its machine suspended meanwhile
    auto send(std::string_view address, http_request request, core::duration timeout, http_completion completion)
        -> request_ticket;

    /// \brief Cancels a request and closes its connection; the request completes with cancelled.
    auto cancel(request_ticket ticket) -> void;

    /// \brief Closes the idle connections.
    auto closeIdle() -> void;

    /// \brief Returns the number of connections to \p address, busy or idle.
    [[nodiscard]] auto connectionCount(std::string_view address) const -> std::size_t;

    /// \brief Returns the counters since construction.
    [[nodiscard]] auto counters() const -> const http_client_counters &;

private:
    std::shared_ptr<internal::client_state> m_state;
};
} // namespace poplarpass::net
