#pragma once

#include <poplarpass/net/peer_link_state.h>

#include <functional>
#include <map>
#include <string>

namespace poplarpass::net::internal
{
/// \brief Connection from a peer, on which messages are received.
struct incoming_connection
{
    server_handshake handshake;
    std::optional<sealed_channel> channel; ///< Set once the client is authenticated.
    bool helloReceived = false; ///< Whether a valid hello was received.
    link_clock::time_point deadline; ///< Time at which the connection is dropped.
};

/// \brief Callbacks of incoming_links.
struct incoming_hooks
{
    std::function<bool(const peer_identity &)> isAdmitted; ///< Whether a client may connect, subject to authentication.
    std::function<void(const peer_identity &)> onAuthenticated; ///< A client was authenticated.
    std::function<void(const peer_identity &, std::string)> onMessage; ///< Message from an authenticated client.
};

/// \brief The connections from peers: authenticates them, verifies their frames and responds to their pings.
class incoming_links
{
public:
    /// \pre all arguments outlive this object
    incoming_links(const peer_link_options &options, websocket::transport &transport, peer_link_counters &counters,
                   incoming_hooks hooks);

    /// \brief Adds the accepted connection \p session.
    auto add(websocket::session_id session) -> void;

    /// \brief Handles \p message if \p session is one of these connections.
    auto handleMessage(websocket::session_id session, const std::string &message) -> void;

    /// \brief Removes \p session after its end.
    auto remove(websocket::session_id session) -> void;

    /// \brief Removes all connections without closing them.
    auto removeAll() -> void;

    /// \brief Aborts the connections whose deadline has passed.
    auto dropExpired(link_clock::time_point now) -> void;

    /// \brief Aborts the authenticated connections of \p member, except for the session \p kept.
    auto dropMember(const core::member_id &member, websocket::session_id kept = 0) -> void;

    /// \brief Aborts the connections with the name of \p current and another incarnation.
    auto dropOtherIncarnations(const peer_identity &current) -> void;

    /// \brief Returns the earliest deadline, or time_point::max().
    [[nodiscard]] auto nextDue() const -> link_clock::time_point;

private:
    auto handleHello(websocket::session_id session, incoming_connection &connection, const std::string &message)
        -> void;
    auto handleProof(websocket::session_id session, incoming_connection &connection, const std::string &message)
        -> void;
    auto handleFrame(websocket::session_id session, incoming_connection &connection, const std::string &message)
        -> void;
    auto drop(websocket::session_id session) -> void;

    template <class condition_type>
    auto abortIf(condition_type condition) -> void;

    const peer_link_options &m_options;
    websocket::transport &m_transport;
    peer_link_counters &m_counters;
    incoming_hooks m_hooks;
    std::map<websocket::session_id, incoming_connection> m_connections;
};
} // namespace poplarpass::net::internal
