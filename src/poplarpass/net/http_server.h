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
class http_connection;
class server_state;
} // namespace internal

/// \brief Sends the response to one request; used from the event loop. If it is destroyed without a response, the error
/// `internal` is sent.
class responder
{
public:
    /// \brief For use by the server only.
    explicit responder(std::shared_ptr<internal::http_connection> connection);
    ~responder();
    responder(const responder &) = delete;
    auto operator=(const responder &) -> responder & = delete;

    /// \brief Sends the response; no effect if the caller has disconnected.
    /// \pre respond() was not called before
    auto respond(http_response response) -> void;

    /// \brief Closes the connection without a response.
    auto disconnect() -> void;

    /// \brief Calls \p hook once if the caller closes its connection before the response.
    auto onDisconnect(std::function<void()> hook) -> void;

private:
    std::shared_ptr<internal::http_connection> m_connection;
};

/// \brief Handles one request; called from the event loop.
using http_handler = std::function<void(http_request, std::shared_ptr<responder>)>;

/// \brief Creates the response to a request that was not passed to the handler: invalid_request, payload_too_large,
/// request_timeout, overloaded.
using error_responder = std::function<http_response(const core::error &)>;

/// \brief Returns a response with the HTTP status and the Retry-After of the error kind and its wire name as JSON.
auto defaultErrorResponse(const core::error &problem) -> http_response;

/// \brief HTTP/1.1 server on one address; runs on the given event loop.
class http_server
{
public:
    /// \brief Binds and listens.
    /// \param address "IP:port"; port 0 selects a free port
    /// \throws boost::system::system_error when the address cannot be bound
    http_server(boost::asio::io_context &loop, std::string_view address, const server_limits &limits,
                http_handler handler, error_responder onError = defaultErrorResponse);

    /// \brief Closes all connections immediately.
    ~http_server();
    http_server(const http_server &) = delete;
    auto operator=(const http_server &) -> http_server & = delete;

    /// \brief Reads the maximum size of a request body, bytes, from \p limit at the start of each request.
    ///
    /// A request with a larger body is passed to the handler as soon as that is known, without the body and with
    /// isBodyTooLarge set; the connection is closed after its response.
    auto setBodyLimit(std::function<std::uint64_t()> limit) -> void;

    /// \brief Returns the listening port.
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// \brief Returns the listening address as "IP:port".
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Returns the number of open connections.
    [[nodiscard]] auto connectionCount() const -> std::size_t;

    /// \brief Stops accepting connections, completes the requests in progress and closes each connection after its
    /// response.
    auto drain() -> void;

    /// \brief Calls \p hook once when the drain is complete and no connection is left.
    auto setOnDrained(std::function<void()> hook) -> void;

private:
    std::shared_ptr<internal::server_state> m_state;
};
} // namespace poplarpass::net
