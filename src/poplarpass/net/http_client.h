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

/// \brief What is known about whether a request reached its endpoint.
enum class sent_state {
    not_sent, ///< Sure sign that no byte of it was written.
    maybe_sent, ///< Some or all of it was written.
};

/// \brief Takes the answer or the failure of one request.
///
/// Kinds of failure: invalid_request (the address cannot be read), peer_unreachable (refused, reset, closed, or no
/// connection in time), outcome_unknown (no whole answer within the time limit), malformed_message (truncated,
/// unreadable, of unknown length, or the answer to another request), cancelled, queue_full (too many requests wait).
using http_completion = std::function<void(core::result<http_response>, sent_state)>;

/// \brief Identifies a request that was sent through a client.
enum class request_ticket : std::uint64_t {};

/// \brief What a client has seen, for metrics.
struct http_client_counters
{
    std::uint64_t requests = 0; ///< Requests that were given to it.
    std::uint64_t connects = 0; ///< Connections that it tried to open.
    std::uint64_t reused = 0; ///< Requests that went over a kept connection.
    std::uint64_t timedOut = 0; ///< Requests without a whole answer in time.
    std::uint64_t truncated = 0; ///< Answers that ended early or could not be read.
    std::uint64_t mismatched = 0; ///< Answers that carried the id of another request.
    std::uint64_t extraBytes = 0; ///< Connections closed for bytes that no request asked for.
};

/// \brief HTTP/1.1 client with kept connections; everything runs on the given event loop.
///
/// A request is written at most once and never repeated. A connection is used again only after a whole answer that
/// left nothing over. Completions are called exactly once, never from inside a call, and not after the destruction.
class http_client
{
public:
    http_client(boost::asio::io_context &loop, const client_limits &limits);
    ~http_client();
    http_client(const http_client &) = delete;
    auto operator=(const http_client &) -> http_client & = delete;

    /// \brief Sends one request.
    /// \param address "IP:port"
    /// \param timeout from now to the last byte of the answer, with the wait for a connection
    auto send(std::string_view address, http_request request, core::duration timeout, http_completion completion)
        -> request_ticket;

    /// \brief Gives up a request and closes its connection; it completes with cancelled.
    auto cancel(request_ticket ticket) -> void;

    /// \brief Closes the connections that no request uses.
    auto closeIdle() -> void;

    /// \brief Connections to \p address, busy or not.
    [[nodiscard]] auto connectionCount(std::string_view address) const -> std::size_t;

    /// \brief Figures since the start.
    [[nodiscard]] auto counters() const -> const http_client_counters &;

private:
    std::shared_ptr<internal::client_state> m_state;
};
} // namespace poplarpass::net
