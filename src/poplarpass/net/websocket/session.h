#pragma once

#include <poplarpass/net/websocket/transport.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/connection.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>

#include <array>

namespace poplarpass::net::websocket::internal
{
// NOLINTBEGIN(readability-identifier-naming): the names are websocketpp's
/// \brief Configuration of websocketpp: no threads, no logs, and I/O by the session.
struct protocol_config : public websocketpp::config::core
{
    using type = protocol_config;
    using base = websocketpp::config::core;

    using concurrency_type = websocketpp::concurrency::none;
    using request_type = base::request_type;
    using response_type = base::response_type;
    using message_type = base::message_type;
    using con_msg_manager_type = base::con_msg_manager_type;
    using endpoint_msg_manager_type = base::endpoint_msg_manager_type;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    struct transport_config : public base::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        static const bool enable_multithreading = false;
    };

    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

    static const bool enable_multithreading = false;
    static const std::size_t max_http_body_size = 1024;
};
// NOLINTEND(readability-identifier-naming)

/// \brief Connection object of websocketpp.
using protocol_connection = websocketpp::connection<protocol_config>;

/// \brief Callbacks of a session.
struct session_hooks
{
    std::function<void()> onOpen; ///< The opening handshake is complete.
    std::function<void(std::string)> onMessage; ///< A complete message was received.
    std::function<void(end_reason)> onEnd; ///< The session ended other than by close() or abort().
};

/// \brief One WebSocket connection over TCP.
class session : public std::enable_shared_from_this<session>
{
public:
    session(boost::asio::ip::tcp::socket socket, protocol_connection::ptr protocol, session_hooks hooks);

    /// \brief Connects to \p address, then starts the client handshake by calling \p startProtocol.
    auto connect(const boost::asio::ip::tcp::endpoint &address, std::function<void()> startProtocol) -> void;

    /// \brief Starts the server handshake on an accepted connection.
    auto accept() -> void;

    /// \brief Ends the session with \p reason from the event loop.
    auto postEnd(end_reason reason) -> void;

    auto send(const std::string &message) -> bool;
    auto setMaxMessageBytes(std::size_t bytes) -> void;
    [[nodiscard]] auto queuedBytes() const -> std::size_t;

    /// \brief Sends the closing frame, then closes the socket after writing the queued bytes.
    auto close() -> void;

    /// \brief Closes the socket immediately.
    auto abort() -> void;

private:
    auto attachHandlers() -> void;
    auto finishConnect(const boost::system::error_code &problem, const std::function<void()> &startProtocol) -> void;
    auto isConnectedToItself() const -> bool;
    auto read() -> void;
    auto finishRead(const boost::system::error_code &problem, std::size_t length) -> void;
    auto append(const char *bytes, std::size_t length) -> void;
    auto write() -> void;
    auto finishWrite(const boost::system::error_code &problem) -> void;
    auto checkProtocol() -> void;
    auto end(end_reason reason) -> void;
    auto drain() -> void;
    auto closeSocket() -> void;
    auto releaseProtocol() -> void;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_drainTimer;
    protocol_connection::ptr m_protocol;
    session_hooks m_hooks;
    std::array<char, 16384> m_readBuffer{};
    std::string m_pending;
    std::string m_writing;
    bool m_parsing = false;
    bool m_ended = false;
};
} // namespace poplarpass::net::websocket::internal
