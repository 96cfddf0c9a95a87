#pragma once

#include <poplarpass/net/peer_link_state.h>

#include <functional>
#include <map>
#include <string>

namespace poplarpass::net::internal
{
/// \brief Connection from a peer, from which messages are received.
struct incoming_connection
{
    server_handshake handshake; ///< Its opening.
    std::optional<sealed_channel> channel; ///< Set once it is authenticated.
    bool helloReceived = false; ///< Whether the hello has come.
    link_clock::time_point deadline; ///< It is dropped at that time.
};

/// \brief Questions and events of incoming connections.
struct incoming_hooks
{
    std::function<bool(const peer_identity &)> isAdmitted; ///< Whether a client may connect, if it can prove its name.
    std::function<void(const peer_identity &)> onAuthenticated; ///< A client has proven its name.
    std::function<void(const peer_identity &, std::string)> onMessage; ///< A message of an authenticated client.
};

/// \brief The connections from peers: authenticates them, opens their frames and answers their pings.
class incoming_links
{
public:
    /// \pre all arguments outlive this object
    incoming_links(const peer_link_options &options, websocket::transport &transport, peer_link_counters &counters,
                   incoming_hooks hooks);

    /// \brief Takes over the accepted connection \p session.
    auto add(websocket::session_id session) -> void;

    /// \brief Reads \p message if \p session is one of these connections.
    auto handleMessage(websocket::session_id session, const std::string &message) -> void;

    /// \brief Forgets \p session, which has ended.
    auto remove(websocket::session_id session) -> void;

    /// \brief Forgets all connections.
    auto removeAll() -> void;

    /// \brief Drops the connections whose deadline has passed.
    auto dropExpired(link_clock::time_point now) -> void;

    /// \brief Drops the authenticated connections of \p member, except for the session \p kept.
    auto dropMember(const core::member_id &member, websocket::session_id kept = 0) -> void;

    /// \brief Drops the connections that have the name of \p current and another incarnation.
    auto dropOtherIncarnations(const peer_identity &current) -> void;

    /// \brief The earliest deadline.
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
