#include <poplarpass/net/peer_link_implementation.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <vector>

namespace poplarpass::net
{
namespace internal
{
auto downReasonOf(websocket::end_reason reason) -> down_reason
{
    switch (reason) {
    case websocket::end_reason::refused:
        return down_reason::refused;
    case websocket::end_reason::unreachable:
        return down_reason::timed_out;
    default:
        return down_reason::closed;
    }
}
} // namespace internal

peer_link::implementation::implementation(boost::asio::io_context &context, peer_link_options linkOptions,
                                          peer_link_hooks linkHooks)
    : options{std::move(linkOptions)}
    , hooks{std::move(linkHooks)}
    , self{options.name, options.incarnation}
    , timer{context}
    , transport{context, {options.maxIncoming}, transportHooks()}
    , incoming{options, transport, counters, incomingHooks()}
{
}

auto peer_link::implementation::transportHooks() -> websocket::transport_hooks
{
    websocket::transport_hooks result;
    result.onAccepted = [this](session_id session) {
        incoming.add(session);
        armTimer();
    };
    result.onOpen = [this](session_id session) {
        handleOpen(session);
    };
    result.onMessage = [this](session_id session, const std::string &message) {
        dispatchMessage(session, message);
    };
    result.onEnd = [this](session_id session, websocket::end_reason reason) {
        handleEnd(session, reason);
    };
    return result;
}

auto peer_link::implementation::incomingHooks() -> internal::incoming_hooks
{
    internal::incoming_hooks result;
    result.isAdmitted = [this](const peer_identity &client) {
        return isAdmitted(client);
    };
    result.onAuthenticated = [this](const peer_identity &client) {
        handleAuthenticated(client);
    };
    result.onMessage = [this](const peer_identity &client, std::string bytes) {
        hooks.onMessage(client.name, client.incarnation, std::move(bytes));
    };
    return result;
}

auto peer_link::implementation::nextDue() const -> clock::time_point
{
    auto due = incoming.nextDue();
    for (const auto &[member, peer] : peers) {
        if (!peer.outgoing) {
            due = std::min(due, peer.retryAt);
        } else {
            due = std::min({due, peer.outgoing->deadline, peer.outgoing->nextPing});
        }
    }
    return due;
}

// Most messages only postpone a deadline. The timer is then left to expire early and set again, which costs less than
// setting it for each message.
auto peer_link::implementation::armTimer() -> void
{
    const auto due = nextDue();
    if (closed || due >= armedFor) {
        return;
    }
    armedFor = due;
    timer.expires_at(due);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code &problem) {
        const auto link = weak.lock();
        if (link && !problem && !link->closed) {
            link->armedFor = clock::time_point::max();
            link->runDueActions();
            link->armTimer();
        }
    });
}

auto peer_link::implementation::runDueActions() -> void
{
    const auto now = clock::now();
    incoming.dropExpired(now);
    std::vector<core::member_id> members;
    for (const auto &[member, peer] : peers) {
        members.push_back(member);
    }
    for (const auto &member : members) {
        const auto found = peers.find(member);
        if (!closed && found != peers.end()) {
            runPeerActions(*found, now);
        }
    }
}

auto peer_link::implementation::runPeerActions(peer_entry &peer, clock::time_point now) -> void
{
    if (!peer.second.outgoing) {
        if (peer.second.retryAt <= now) {
            connect(peer, now);
        }
    } else if (peer.second.outgoing->deadline <= now) {
        failOutgoing(peer, down_reason::timed_out);
    } else if (peer.second.outgoing->nextPing <= now) {
        sendFrame(*peer.second.outgoing, frame_type::ping, {});
        peer.second.outgoing->nextPing = now + options.pingInterval;
    }
}

auto peer_link::implementation::connect(peer_entry &peer, clock::time_point now) -> void
{
    const auto session = transport.connect(peer.second.address);
    peer.second.outgoing.emplace(
        internal::outgoing_connection{session, client_handshake{options.secret, self, peer.first}, std::nullopt, false,
                                      now + options.openTimeout, clock::time_point::max()});
    outgoingMembers.emplace(session, peer.first);
}

auto peer_link::implementation::abortOutgoing(internal::peer_link_state &peer) -> void
{
    if (peer.outgoing) {
        transport.abort(peer.outgoing->session);
        outgoingMembers.erase(peer.outgoing->session);
        peer.outgoing.reset();
    }
}

auto peer_link::implementation::failOutgoing(peer_entry &peer, down_reason reason) -> void
{
    abortOutgoing(peer.second);
    peer.second.retryAt = clock::now() + peer.second.retryDelay.next(options.random());
    hooks.onDown(core::member_id{peer.first}, reason);
}

auto peer_link::implementation::handleOutgoing(peer_entry &peer, const std::string &message) -> void
{
    auto &connection = *peer.second.outgoing;
    if (!connection.channel) {
        handleChallenge(peer, message);
        return;
    }
    const auto frame = connection.channel->opener.open(message);
    if (frame.problem) {
        internal::countProblem(counters, *frame.problem);
        failOutgoing(peer, down_reason::closed);
        return;
    }
    if (frame.type == frame_type::welcome && !connection.up) {
        markPeerUp(peer);
    } else if (connection.up) {
        connection.deadline = clock::now() + options.receiveTimeout;
    }
}

auto peer_link::implementation::handleChallenge(peer_entry &peer, const std::string &message) -> void
{
    auto &connection = *peer.second.outgoing;
    const auto proof = connection.handshake.acceptChallenge(message);
    if (!proof) {
        internal::countProblem(counters, proof.error());
        failOutgoing(peer, down_reason::closed);
        return;
    }
    connection.channel.emplace(connection.handshake.channel());
    transport.send(connection.session, *proof);
}

// A superseded process that still responds is treated as down.
auto peer_link::implementation::markPeerUp(peer_entry &peer) -> void
{
    const auto now = clock::now();
    auto &connection = *peer.second.outgoing;
    if (peer.second.isSuperseded(connection.handshake.server().incarnation)) {
        ++counters.staleIncarnation;
        failOutgoing(peer, down_reason::closed);
        return;
    }
    connection.up = true;
    connection.deadline = now + options.receiveTimeout;
    connection.nextPing = now + options.pingInterval;
    peer.second.retryDelay.reset();
    transport.setMaxMessageBytes(connection.session, options.maxMessageBytes + frameOverheadBytes);
    const auto incarnation = connection.handshake.server().incarnation;
    const auto member = peer.first;
    applyIncarnation(peer, incarnation);
    if (isUp(member)) {
        hooks.onUp(member, incarnation);
    }
}

auto peer_link::implementation::sendFrame(internal::outgoing_connection &connection, frame_type type,
                                          std::string_view payload) -> void
{
    transport.send(connection.session, connection.channel->sealer.seal(type, payload));
}

auto peer_link::implementation::isAdmitted(const peer_identity &client) -> bool
{
    const auto peer = peers.find(client.name);
    if (peer == peers.end()) {
        ++counters.unknownSender;
        return false;
    }
    if (peer->second.isSuperseded(client.incarnation)) {
        ++counters.staleIncarnation;
        return false;
    }
    return true;
}

auto peer_link::implementation::handleAuthenticated(const peer_identity &client) -> void
{
    auto &peer = *peers.find(client.name);
    retryNow(peer.second);
    applyIncarnation(peer, client.incarnation);
}

// An incoming connection shows that the peer is reachable, so the backoff is reset.
auto peer_link::implementation::retryNow(internal::peer_link_state &peer) -> void
{
    peer.retryDelay.reset();
    if (!peer.outgoing) {
        peer.retryAt = clock::now();
    }
}

// A new authenticated incarnation proves that the previous one has ended, even if connections to it still look alive.
auto peer_link::implementation::applyIncarnation(peer_entry &peer, std::uint64_t incarnation) -> void
{
    if (!peer.second.updateIncarnation(incarnation)) {
        return;
    }
    const auto &outgoing = peer.second.outgoing;
    if (outgoing && outgoing->up && outgoing->handshake.server().incarnation != incarnation) {
        abortOutgoing(peer.second);
        peer.second.retryAt = clock::now();
    }
    incoming.dropOtherIncarnations({peer.first, incarnation});
    hooks.onDown(core::member_id{peer.first}, down_reason::superseded_incarnation);
}

auto peer_link::implementation::handleOpen(session_id session) -> void
{
    const auto member = outgoingMembers.find(session);
    if (member != outgoingMembers.end()) {
        transport.send(session, peers.at(member->second).outgoing->handshake.hello());
    }
}

auto peer_link::implementation::dispatchMessage(session_id session, const std::string &message) -> void
{
    const auto keepAlive = shared_from_this();
    const auto member = outgoingMembers.find(session);
    if (member != outgoingMembers.end()) {
        handleOutgoing(*peers.find(member->second), message);
    } else {
        incoming.handleMessage(session, message);
    }
    armTimer();
}

auto peer_link::implementation::handleEnd(session_id session, websocket::end_reason reason) -> void
{
    const auto keepAlive = shared_from_this();
    internal::countProblem(counters, reason);
    incoming.remove(session);
    const auto member = outgoingMembers.find(session);
    if (member != outgoingMembers.end()) {
        failOutgoing(*peers.find(member->second), internal::downReasonOf(reason));
    }
    armTimer();
}

auto peer_link::implementation::setPeer(const peer_address &wanted) -> void
{
    auto found = peers.find(wanted.name);
    if (found == peers.end()) {
        const internal::backoff delay{options.minBackoff, options.maxBackoff};
        internal::peer_link_state state{wanted.address, std::nullopt, clock::now(), delay, std::nullopt, {}};
        peers.emplace(wanted.name, std::move(state));
    } else if (found->second.address != wanted.address) {
        abortOutgoing(found->second);
        found->second.address = wanted.address;
        found->second.retryDelay.reset();
        found->second.retryAt = clock::now();
    }
}

auto peer_link::implementation::dropPeersExcept(std::span<const peer_address> wanted) -> void
{
    for (auto peer = peers.begin(); peer != peers.end();) {
        if (std::ranges::find(wanted, peer->first, &peer_address::name) != wanted.end()) {
            ++peer;
            continue;
        }
        abortOutgoing(peer->second);
        incoming.dropMember(peer->first);
        peer = peers.erase(peer);
    }
}

auto peer_link::implementation::isUp(const core::member_id &member) const -> bool
{
    const auto found = peers.find(member);
    return found != peers.end() && found->second.outgoing && found->second.outgoing->up;
}

auto peer_link::implementation::send(const core::member_id &member, std::string_view bytes) -> bool
{
    if (bytes.size() > options.maxMessageBytes) {
        ++counters.oversized;
        return false;
    }
    if (closed || !isUp(member)) {
        ++counters.droppedOutgoing;
        return false;
    }
    auto &connection = *peers.at(member).outgoing;
    if (transport.queuedBytes(connection.session) + bytes.size() > options.maxQueuedBytes) {
        ++counters.droppedOutgoing;
        return false;
    }
    sendFrame(connection, frame_type::data, bytes);
    ++counters.sent;
    return true;
}
} // namespace poplarpass::net
