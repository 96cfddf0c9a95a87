#pragma once

#include <poplarpass/net/incoming_links.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace poplarpass::net
{
/// \brief Implementation of peer_link: its peers, the connections to them and the timer for their deadlines.
struct peer_link::implementation : std::enable_shared_from_this<implementation>
{
    using clock = internal::link_clock;
    using session_id = websocket::session_id;
    using peer_entry = std::pair<const core::member_id, internal::peer_link_state>;

    implementation(boost::asio::io_context &context, peer_link_options linkOptions, peer_link_hooks linkHooks);

    peer_link_options options;
    peer_link_hooks hooks;
    peer_identity self;
    peer_link_counters counters;
    std::uint16_t port = 0;
    bool closed = false;
    std::map<core::member_id, internal::peer_link_state> peers;
    std::map<session_id, core::member_id> outgoingMembers;
    boost::asio::steady_timer timer;
    clock::time_point armedFor = clock::time_point::max();
    websocket::transport transport;
    internal::incoming_links incoming;

    /// \brief Returns the hooks of the transport; the transport is a member and calls none after the destruction.
    auto transportHooks() -> websocket::transport_hooks;

    /// \brief Returns the hooks of the incoming connections.
    auto incomingHooks() -> internal::incoming_hooks;

    /// \brief Returns the earliest time at which runDueActions() has something to do.
    [[nodiscard]] auto nextDue() const -> clock::time_point;

    /// \brief Sets the timer to nextDue(), unless it expires earlier already.
    auto armTimer() -> void;

    /// \brief Drops expired connections, and connects to or pings peers where due.
    auto runDueActions() -> void;

    /// \brief Connects to, pings or drops one peer, as due.
    auto runPeerActions(peer_entry &peer, clock::time_point now) -> void;

    /// \brief Starts a connection attempt to a peer.
    auto connect(peer_entry &peer, clock::time_point now) -> void;

    /// \brief Aborts the connection to a peer without calling a hook.
    auto abortOutgoing(internal::peer_link_state &peer) -> void;

    /// \brief Aborts the connection to a peer, schedules the next attempt and calls onDown.
    auto failOutgoing(peer_entry &peer, down_reason reason) -> void;

    /// \brief Handles a message received on the connection to a peer.
    auto handleOutgoing(peer_entry &peer, const std::string &message) -> void;

    /// \brief Verifies the server's challenge and sends the client's proof.
    auto handleChallenge(peer_entry &peer, const std::string &message) -> void;

    /// \brief Marks the connection to a peer as up after the server's welcome frame.
    auto markPeerUp(peer_entry &peer) -> void;

    auto sendFrame(internal::outgoing_connection &connection, frame_type type, std::string_view payload) -> void;

    /// \brief Returns whether a client may connect, subject to authentication.
    auto isAdmitted(const peer_identity &client) -> bool;

    /// \brief Handles the authentication of a client.
    auto handleAuthenticated(const peer_identity &client) -> void;

    /// \brief Resets the backoff of a peer and makes its next connection attempt due now.
    auto retryNow(internal::peer_link_state &peer) -> void;

    /// \brief Records the incarnation of a peer; if it supersedes another, drops its connections and calls onDown.
    auto applyIncarnation(peer_entry &peer, std::uint64_t incarnation) -> void;

    /// \brief Sends the hello on an outgoing connection that has opened.
    auto handleOpen(session_id session) -> void;

    /// \brief Passes a message to the handler of its connection.
    auto dispatchMessage(session_id session, const std::string &message) -> void;

    /// \brief Handles the end of a connection.
    auto handleEnd(session_id session, websocket::end_reason reason) -> void;

    /// \brief Adds a peer, or changes its address.
    auto setPeer(const peer_address &wanted) -> void;

    /// \brief Drops the peers that are not in \p wanted.
    auto dropPeersExcept(std::span<const peer_address> wanted) -> void;

    /// \brief Returns whether messages can be sent to a peer.
    [[nodiscard]] auto isUp(const core::member_id &member) const -> bool;

    /// \brief Sends a message to a peer.
    /// \returns false when it was dropped
    auto send(const core::member_id &member, std::string_view bytes) -> bool;
};
} // namespace poplarpass::net
