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

/// WebSocket connections by websocketpp. This header uses standard types only: its sources are C++17, its users C++20.
namespace poplarpass::net::websocket
{
/// \brief Identifies a connection of one transport; never used twice, never zero.
using session_id = std::uint64_t;

/// \brief How a connection, or the attempt to open it, ended.
enum class end_reason {
    refused, ///< The other host refused the connection: no process listens there.
    unreachable, ///< There was no way to the other host.
    closed, ///< The other side closed or reset the connection.
    malformed, ///< The other side does not speak the protocol.
    oversized, ///< The other side sent a message over the limit.
};

/// \brief Calls from the event loop, never from inside a call to the transport.
struct transport_hooks
{
    std::function<void(session_id)> onAccepted; ///< Another process has connected; it is not open yet.
    std::function<void(session_id)> onOpen; ///< Messages can be sent and received.
    std::function<void(session_id, std::string)> onMessage; ///< A whole binary message has arrived.
    std::function<void(session_id, end_reason)> onEnd; ///< The connection ended by itself; not called after close().
};

/// \brief Bounds on connections.
struct transport_limits
{
    std::size_t maxIncoming = 256; ///< Incoming connections at a time; more are closed at once.
    std::size_t initialMessageBytes = 1024; ///< Greatest message until setMaxMessageBytes().
};

/// \brief Opens, accepts and carries WebSocket connections on a shared event loop.
class transport
{
public:
    transport(boost::asio::io_context &context, transport_limits limits, transport_hooks hooks);
    ~transport();
    transport(const transport &) = delete;
    auto operator=(const transport &) -> transport & = delete;

    /// \brief Listens on \p address, "IP:port".
    /// \param problem set to the reason of a failure
    /// \returns the port, or 0 on failure
    auto listen(const std::string &address, std::string &problem) -> std::uint16_t;

    /// \brief Opens a connection to \p address, "IP:port"; onOpen or onEnd follows.
    auto connect(const std::string &address) -> session_id;

    /// \brief Sends one binary message.
    /// \returns whether the connection is open
    auto send(session_id session, const std::string &message) -> bool;

    /// \brief Bytes that wait to be written on \p session.
    [[nodiscard]] auto queuedBytes(session_id session) const -> std::size_t;

    /// \brief Sets the greatest message that is accepted on \p session from now on.
    auto setMaxMessageBytes(session_id session, std::size_t bytes) -> void;

    /// \brief Ends \p session after what is queued was written, for at most a second.
    auto close(session_id session) -> void;

    /// \brief Ends \p session at once.
    auto abort(session_id session) -> void;

    /// \brief Stops listening and ends all connections as close() does.
    auto closeAll() -> void;

    /// \brief Number of incoming connections that were turned away as there were too many.
    [[nodiscard]] auto rejectedIncomingCount() const -> std::uint64_t;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};
} // namespace poplarpass::net::websocket
