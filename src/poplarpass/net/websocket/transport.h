#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

/// \brief WebSocket connections over websocketpp.
///
/// This header uses standard types only, because its sources are compiled as C++17 and its users as C++20.
namespace poplarpass::net::websocket
{
/// \brief Identifies a connection of one transport; never reused, never zero.
using session_id = std::uint64_t;

/// \brief Reason for which a connection, or an attempt to open it, ended.
enum class end_reason {
    refused, ///< Connection refused: no process listens at the address.
    unreachable, ///< The other host is unreachable.
    closed, ///< The other side closed or reset the connection.
    malformed, ///< The other side violated the protocol.
    oversized, ///< The other side sent a message over the size limit.
};

/// \brief Callbacks of a transport; called from the event loop, never from inside a call to the transport.
struct transport_hooks
{
    std::function<void(session_id)> onAccepted; ///< A connection was accepted; it is not open yet.
    std::function<void(session_id)> onOpen; ///< Messages can be sent and received.
    std::function<void(session_id, std::string)> onMessage; ///< A complete binary message was received.
    std::function<void(session_id, end_reason)> onEnd; ///< The connection ended; not called after close().
};

/// \brief Limits of a transport.
struct transport_limits
{
    std::size_t maxIncoming = 256; ///< Maximum number of incoming connections; others are closed immediately.
    std::size_t initialMessageBytes = 1024; ///< Maximum message size until setMaxMessageBytes().
};

/// \brief Opens and accepts WebSocket connections on a shared event loop.
class transport
{
public:
    transport(boost::asio::io_context &context, transport_limits limits, transport_hooks hooks);
    ~transport();
    transport(const transport &) = delete;
    auto operator=(const transport &) -> transport & = delete;

    /// \brief Listens on \p address, "IP:port".
    /// \param problem set to the error message on failure
    /// \returns the port, or 0 on failure
    auto listen(const std::string &address, std::string &problem) -> std::uint16_t;

    /// \brief Opens a connection to \p address, "IP:port"; onOpen or onEnd follows.
    auto connect(const std::string &address) -> session_id;

    /// \brief Sends one binary message.
    /// \returns whether the connection is open
    auto send(session_id session, const std::string &message) -> bool;

    /// \brief Returns the number of bytes queued on \p session.
    [[nodiscard]] auto queuedBytes(session_id session) const -> std::size_t;

    /// \brief Sets the maximum size of messages received on \p session from now on.
    auto setMaxMessageBytes(session_id session, std::size_t bytes) -> void;

    /// \brief Closes \p session after writing the queued bytes, or after one second.
    auto close(session_id session) -> void;

    /// \brief Closes \p session immediately.
    auto abort(session_id session) -> void;

    /// \brief Stops listening and closes all connections as close() does.
    auto closeAll() -> void;

    /// \brief Returns the number of incoming connections rejected at the limit maxIncoming.
    [[nodiscard]] auto rejectedIncomingCount() const -> std::uint64_t;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};
} // namespace poplarpass::net::websocket
