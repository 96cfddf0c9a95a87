#pragma once

#include <poplarpass/net/incoming_links.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace poplarpass::net
{
/// \brief What stands behind a peer_link: its peers, its connections to them and the timer of their deadlines.
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

    /// \brief Calls of the transport; as it is a member, they end before this object does.
    auto transportHooks() -> websocket::transport_hooks;

    /// \brief Calls of the incoming connections.
    auto incomingHooks() -> internal::incoming_hooks;

    /// \brief The earliest moment at which runDueActions() has something to do.
    [[nodiscard]] auto nextDue() const -> clock::time_point;

    /// \brief Makes the timer fire when something is due.
    auto armTimer() -> void;

    /// \brief Does what is due now.
    auto runDueActions() -> void;

    /// \brief Connects, pings or drops one peer, whatever is due.
    auto runPeerActions(peer_entry &peer, clock::time_point now) -> void;

    /// \brief Starts an attempt to reach a peer.
    auto connect(peer_entry &peer, clock::time_point now) -> void;

    /// \brief Ends the connection to a peer without a report.
    auto abortOutgoing(internal::peer_link_state &peer) -> void;

    /// \brief Ends the connection to a peer, reports it and sets the next attempt.
    auto failOutgoing(peer_entry &peer, down_reason reason) -> void;

    /// \brief Reads a message on the connection to a peer.
    auto handleOutgoing(peer_entry &peer, const std::string &message) -> void;

    /// \brief Answers the server's challenge.
    auto handleChallenge(peer_entry &peer, const std::string &message) -> void;

    /// \brief Takes the connection to a peer into use.
    auto markPeerUp(peer_entry &peer) -> void;

    /// \brief Sends a frame to a peer.
    auto sendFrame(internal::outgoing_connection &connection, frame_type type, std::string_view payload) -> void;

    /// \brief Whether a client may connect, if it can prove its name.
    auto isAdmitted(const peer_identity &client) -> bool;

    /// \brief Notes that a client has proven its name.
    auto handleAuthenticated(const peer_identity &client) -> void;

    /// \brief Makes the next attempt to reach a peer due now.
    auto retryNow(internal::peer_link_state &peer) -> void;

    /// \brief Notes the incarnation of a peer, and reports when it supersedes another.
    auto applyIncarnation(peer_entry &peer, std::uint64_t incarnation) -> void;

    /// \brief Greets the server of a connection that has opened.
    auto handleOpen(session_id session) -> void;

    /// \brief Hands a message to the connection that it came on.
    auto dispatchMessage(session_id session, const std::string &message) -> void;

    /// \brief Forgets a connection that has ended.
    auto handleEnd(session_id session, websocket::end_reason reason) -> void;

    /// \brief Adds a peer, or changes its address.
    auto setPeer(const peer_address &wanted) -> void;

    /// \brief Drops the peers that are not wanted.
    auto dropPeersExcept(std::span<const peer_address> wanted) -> void;

    /// \brief Whether messages can be sent to a peer.
    [[nodiscard]] auto isUp(const core::member_id &member) const -> bool;

    /// \brief Sends a message to a peer.
    auto send(const core::member_id &member, std::string_view bytes) -> bool;
};
} // namespace poplarpass::net
