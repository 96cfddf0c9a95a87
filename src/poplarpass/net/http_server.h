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

/// \brief Answers one request, from the event loop. When it is destroyed unanswered, the error `internal` is answered.
class responder
{
public:
    /// \brief Used by the server only.
    explicit responder(std::shared_ptr<internal::http_connection> connection);
    ~responder();
    responder(const responder &) = delete;
    auto operator=(const responder &) -> responder & = delete;

    /// \brief Sends the answer; without effect when the caller is gone.
    /// \pre not answered before
    auto respond(http_response response) -> void;

    /// \brief Closes the connection without an answer.
    auto disconnect() -> void;

    /// \brief Calls \p hook once when the caller closes its connection before the answer.
    auto onDisconnect(std::function<void()> hook) -> void;

private:
    std::shared_ptr<internal::http_connection> m_connection;
};

/// \brief Handles one request; called from the event loop.
using http_handler = std::function<void(http_request, std::shared_ptr<responder>)>;

/// \brief Makes the answer to a request that could not be read: invalid_request, payload_too_large, request_timeout.
using error_responder = std::function<http_response(const core::error &)>;

/// \brief Answer with the status of the error table and its wire name as JSON.
auto defaultErrorResponse(const core::error &problem) -> http_response;

/// \brief HTTP/1.1 server on one address; everything runs on the given event loop.
class http_server
{
public:
    /// \brief Binds and listens.
    /// \param address "IP:port"; port 0 takes a free one
    /// \throws boost::system::system_error when the address cannot be bound
    http_server(boost::asio::io_context &loop, std::string_view address, const server_limits &limits,
                http_handler handler, error_responder onError = defaultErrorResponse);

    /// \brief Closes every connection at once.
    ~http_server();
    http_server(const http_server &) = delete;
    auto operator=(const http_server &) -> http_server & = delete;

    /// \brief Port that it listens on.
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// \brief "IP:port" that it listens on.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Connections that are open.
    [[nodiscard]] auto connectionCount() const -> std::size_t;

    /// \brief Accepts no more connections, answers the requests in progress and closes each connection after its
    /// answer.
    auto drain() -> void;

    /// \brief Calls \p hook once when the drain has ended and no connection is left.
    auto setOnDrained(std::function<void()> hook) -> void;

private:
    std::shared_ptr<internal::server_state> m_state;
};
} // namespace poplarpass::net
