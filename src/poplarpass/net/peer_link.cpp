#include <poplarpass/net/peer_link.h>
#include <poplarpass/net/peer_state.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <vector>

namespace poplarpass::net
{
namespace internal
{
constexpr std::array<std::string_view, 4> downReasonNames{"refused", "closed", "timed_out", "superseded_incarnation"};

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

struct peer_link::implementation : std::enable_shared_from_this<implementation>
{
    using clock = internal::link_clock;
    using session_id = websocket::session_id;
    using peer_entry = std::pair<const core::member_id, internal::peer_state>;

    implementation(boost::asio::io_context &context, peer_link_options linkOptions, peer_link_hooks linkHooks)
        : options{std::move(linkOptions)}
        , hooks{std::move(linkHooks)}
        , self{options.name, options.incarnation}
        , timer{context}
        , transport{context, {options.maxIncoming}, transportHooks()}
    {
    }

    peer_link_options options;
    peer_link_hooks hooks;
    peer_identity self;
    peer_link_counters counters;
    std::uint16_t port = 0;
    bool closed = false;
    std::map<core::member_id, internal::peer_state> peers;
    std::map<session_id, internal::incoming_connection> incoming;
    std::map<session_id, core::member_id> outgoingMembers;
    boost::asio::steady_timer timer;
    clock::time_point armedFor = clock::time_point::max();
    websocket::transport transport;

    // The transport is a member, so these calls end before this object does.
    auto transportHooks() -> websocket::transport_hooks
    {
        websocket::transport_hooks result;
        result.onAccepted = [this](session_id session) {
            acceptSession(session);
        };
        result.onOpen = [this](session_id session) {
            openSession(session);
        };
        result.onMessage = [this](session_id session, const std::string &message) {
            readMessage(session, message);
        };
        result.onEnd = [this](session_id session, websocket::end_reason reason) {
            endSession(session, reason);
        };
        return result;
    }

    // --- deadlines

    // The earliest moment at which runDue() has something to do.
    [[nodiscard]] auto nextDue() const -> clock::time_point
    {
        auto due = clock::time_point::max();
        for (const auto &[session, connection] : incoming) {
            due = std::min(due, connection.deadline);
        }
        for (const auto &[member, peer] : peers) {
            if (!peer.outgoing) {
                due = std::min(due, peer.retryAt);
            } else {
                due = std::min({due, peer.outgoing->deadline, peer.outgoing->nextPing});
            }
        }
        return due;
    }

    // Most messages only put a deadline off; the timer then fires early and is set again, which costs less than setting
    // it for each message.
    auto armTimer() -> void
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
                link->runDue();
                link->armTimer();
            }
        });
    }

    auto runDue() -> void
    {
        const auto now = clock::now();
        dropSilentIncoming(now);
        std::vector<core::member_id> members;
        for (const auto &[member, peer] : peers) {
            members.push_back(member);
        }
        for (const auto &member : members) {
            const auto found = peers.find(member);
            if (!closed && found != peers.end()) {
                runPeer(*found, now);
            }
        }
    }

    auto dropSilentIncoming(clock::time_point now) -> void
    {
        std::erase_if(incoming, [&](const auto &item) {
            const bool silent = item.second.deadline <= now;
            if (silent) {
                transport.abort(item.first);
            }
            return silent;
        });
    }

    auto runPeer(peer_entry &peer, clock::time_point now) -> void
    {
        if (!peer.second.outgoing) {
            if (peer.second.retryAt <= now) {
                connect(peer, now);
            }
        } else if (peer.second.outgoing->deadline <= now) {
            loseOutgoing(peer, down_reason::timed_out);
        } else if (peer.second.outgoing->nextPing <= now) {
            sendFrame(*peer.second.outgoing, frame_type::ping, {});
            peer.second.outgoing->nextPing = now + options.pingPeriod;
        }
    }

    // --- connections to peers

    auto connect(peer_entry &peer, clock::time_point now) -> void
    {
        const auto session = transport.connect(peer.second.address);
        peer.second.outgoing.emplace(
            internal::outgoing_connection{session, client_handshake{options.secret, self, peer.first}, std::nullopt,
                                          false, now + options.openTimeout, clock::time_point::max()});
        outgoingMembers.emplace(session, peer.first);
    }

    auto forgetOutgoing(internal::peer_state &peer) -> void
    {
        if (peer.outgoing) {
            transport.abort(peer.outgoing->session);
            outgoingMembers.erase(peer.outgoing->session);
            peer.outgoing.reset();
        }
    }

    auto loseOutgoing(peer_entry &peer, down_reason reason) -> void
    {
        forgetOutgoing(peer.second);
        peer.second.retryAt = clock::now() + peer.second.retryDelay.next(options.random());
        hooks.onDown(core::member_id{peer.first}, reason);
    }

    auto readOutgoing(peer_entry &peer, const std::string &message) -> void
    {
        auto &connection = *peer.second.outgoing;
        if (!connection.channel) {
            readChallenge(peer, message);
            return;
        }
        const auto frame = connection.channel->opener.open(message);
        if (frame.problem) {
            count(*frame.problem);
            loseOutgoing(peer, down_reason::closed);
            return;
        }
        if (frame.type == frame_type::welcome && !connection.up) {
            raisePeer(peer);
        } else if (connection.up) {
            connection.deadline = clock::now() + options.silenceTimeout;
        }
    }

    auto readChallenge(peer_entry &peer, const std::string &message) -> void
    {
        auto &connection = *peer.second.outgoing;
        const auto proof = connection.handshake.acceptChallenge(message);
        if (!proof) {
            count(proof.error());
            loseOutgoing(peer, down_reason::closed);
            return;
        }
        connection.channel.emplace(connection.handshake.channel());
        transport.send(connection.session, *proof);
    }

    // A superseded process that still answers is treated like one that is not there.
    auto raisePeer(peer_entry &peer) -> void
    {
        const auto now = clock::now();
        auto &connection = *peer.second.outgoing;
        if (peer.second.isSuperseded(connection.handshake.server().incarnation)) {
            ++counters.staleIncarnation;
            loseOutgoing(peer, down_reason::closed);
            return;
        }
        connection.up = true;
        connection.deadline = now + options.silenceTimeout;
        connection.nextPing = now + options.pingPeriod;
        peer.second.retryDelay.reset();
        transport.setMaxMessageBytes(connection.session, options.maxMessageBytes + frameOverheadBytes);
        const auto incarnation = connection.handshake.server().incarnation;
        const auto member = peer.first;
        adopt(peer, incarnation);
        if (isUp(member)) {
            hooks.onUp(member, incarnation);
        }
    }

    auto sendFrame(internal::outgoing_connection &connection, frame_type type, std::string_view payload) -> void
    {
        transport.send(connection.session, connection.channel->sealer.seal(type, payload));
    }

    // --- connections from peers

    auto acceptSession(session_id session) -> void
    {
        incoming.emplace(session,
                         internal::incoming_connection{server_handshake{options.secret, self}, std::nullopt, false,
                                                       clock::now() + options.openTimeout});
        armTimer();
    }

    auto dropIncoming(session_id session) -> void
    {
        incoming.erase(session);
        transport.close(session);
    }

    auto readIncoming(session_id session, internal::incoming_connection &connection, const std::string &message) -> void
    {
        if (!connection.greeted) {
            readHello(session, connection, message);
        } else if (!connection.channel) {
            readProof(session, connection, message);
        } else {
            readFrame(session, connection, message);
        }
    }

    auto readHello(session_id session, internal::incoming_connection &connection, const std::string &message) -> void
    {
        const auto challenge = connection.handshake.acceptHello(message);
        if (!challenge) {
            count(challenge.error());
            dropIncoming(session);
            return;
        }
        if (!admits(connection.handshake.client())) {
            dropIncoming(session);
            return;
        }
        connection.greeted = true;
        transport.send(session, *challenge);
    }

    auto admits(const peer_identity &client) -> bool
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

    auto readProof(session_id session, internal::incoming_connection &connection, const std::string &message) -> void
    {
        if (!connection.handshake.acceptProof(message)) {
            ++counters.unauthorised;
            dropIncoming(session);
            return;
        }
        const auto client = connection.handshake.client();
        if (!admits(client)) {
            dropIncoming(session);
            return;
        }
        dropOthersOf(client.name, session);
        connection.channel.emplace(connection.handshake.channel());
        connection.deadline = clock::now() + options.silenceTimeout;
        transport.setMaxMessageBytes(session, options.maxMessageBytes + frameOverheadBytes);
        transport.send(session, connection.channel->sealer.seal(frame_type::welcome, {}));
        auto &peer = *peers.find(client.name);
        hurryRetry(peer.second);
        adopt(peer, client.incarnation);
    }

    // A peer has one connection; an older one is left over from before a cut.
    auto dropOthersOf(const core::member_id &member, session_id kept) -> void
    {
        std::erase_if(incoming, [&](const auto &item) {
            const bool other =
                item.first != kept && item.second.channel && item.second.handshake.client().name == member;
            if (other) {
                transport.abort(item.first);
            }
            return other;
        });
    }

    // A peer that connects can be connected to.
    auto hurryRetry(internal::peer_state &peer) -> void
    {
        peer.retryDelay.reset();
        if (!peer.outgoing) {
            peer.retryAt = clock::now();
        }
    }

    auto readFrame(session_id session, internal::incoming_connection &connection, const std::string &message) -> void
    {
        const auto frame = connection.channel->opener.open(message);
        if (frame.problem) {
            count(*frame.problem);
            dropIncoming(session);
            return;
        }
        connection.deadline = clock::now() + options.silenceTimeout;
        if (frame.type == frame_type::ping) {
            transport.send(session, connection.channel->sealer.seal(frame_type::pong, {}));
        } else if (frame.type == frame_type::data) {
            ++counters.received;
            const auto client = connection.handshake.client();
            hooks.onMessage(client.name, client.incarnation, std::string{frame.payload});
        }
    }

    // --- both

    // Another incarnation proves that the one before is gone, whatever its connections look like.
    auto adopt(peer_entry &peer, std::uint64_t incarnation) -> void
    {
        if (!peer.second.adopt(incarnation)) {
            return;
        }
        const auto &outgoing = peer.second.outgoing;
        if (outgoing && outgoing->up && outgoing->handshake.server().incarnation != incarnation) {
            forgetOutgoing(peer.second);
            peer.second.retryAt = clock::now();
        }
        dropSupersededIncoming(peer);
        hooks.onDown(core::member_id{peer.first}, down_reason::superseded_incarnation);
    }

    auto dropSupersededIncoming(const peer_entry &peer) -> void
    {
        std::erase_if(incoming, [&](const auto &item) {
            const auto &client = item.second.handshake.client();
            const bool old =
                item.second.greeted && client.name == peer.first && client.incarnation != peer.second.incarnation;
            if (old) {
                transport.abort(item.first);
            }
            return old;
        });
    }

    auto count(frame_problem problem) -> void
    {
        switch (problem) {
        case frame_problem::malformed:
            ++counters.malformed;
            break;
        case frame_problem::unauthorised:
            ++counters.unauthorised;
            break;
        case frame_problem::replayed:
            ++counters.replayed;
            break;
        }
    }

    auto count(const core::error &problem) -> void
    {
        ++(problem.kind == core::error_kind::unauthorised ? counters.unauthorised : counters.malformed);
    }

    auto count(websocket::end_reason reason) -> void
    {
        counters.malformed += reason == websocket::end_reason::malformed ? 1 : 0;
        counters.oversized += reason == websocket::end_reason::oversized ? 1 : 0;
    }

    // --- calls of the transport

    auto openSession(session_id session) -> void
    {
        const auto member = outgoingMembers.find(session);
        if (member != outgoingMembers.end()) {
            transport.send(session, peers.at(member->second).outgoing->handshake.hello());
        }
    }

    auto readMessage(session_id session, const std::string &message) -> void
    {
        const auto keep = shared_from_this();
        const auto member = outgoingMembers.find(session);
        const auto accepted = incoming.find(session);
        if (member != outgoingMembers.end()) {
            readOutgoing(*peers.find(member->second), message);
        } else if (accepted != incoming.end()) {
            readIncoming(session, accepted->second, message);
        }
        armTimer();
    }

    auto endSession(session_id session, websocket::end_reason reason) -> void
    {
        const auto keep = shared_from_this();
        count(reason);
        incoming.erase(session);
        const auto member = outgoingMembers.find(session);
        if (member != outgoingMembers.end()) {
            loseOutgoing(*peers.find(member->second), internal::downReasonOf(reason));
        }
        armTimer();
    }

    // --- calls of the user

    auto setPeer(const peer_address &wanted) -> void
    {
        auto found = peers.find(wanted.name);
        if (found == peers.end()) {
            const internal::backoff delay{options.minBackoff, options.maxBackoff};
            internal::peer_state state{wanted.address, std::nullopt, clock::now(), delay, std::nullopt, {}};
            peers.emplace(wanted.name, std::move(state));
        } else if (found->second.address != wanted.address) {
            forgetOutgoing(found->second);
            found->second.address = wanted.address;
            found->second.retryDelay.reset();
            found->second.retryAt = clock::now();
        }
    }

    auto dropPeersExcept(std::span<const peer_address> wanted) -> void
    {
        for (auto peer = peers.begin(); peer != peers.end();) {
            if (std::ranges::find(wanted, peer->first, &peer_address::name) != wanted.end()) {
                ++peer;
                continue;
            }
            forgetOutgoing(peer->second);
            dropOthersOf(peer->first, 0);
            peer = peers.erase(peer);
        }
    }

    [[nodiscard]] auto isUp(const core::member_id &member) const -> bool
    {
        const auto found = peers.find(member);
        return found != peers.end() && found->second.outgoing && found->second.outgoing->up;
    }

    auto send(const core::member_id &member, std::string_view bytes) -> bool
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
};

auto nameOf(down_reason reason) -> std::string_view
{
    return internal::downReasonNames.at(static_cast<std::size_t>(reason));
}

peer_link::peer_link(boost::asio::io_context &context, peer_link_options options, peer_link_hooks hooks)
{
    assert(options.random && hooks.onMessage && hooks.onUp && hooks.onDown);
    m_implementation = std::make_shared<implementation>(context, std::move(options), std::move(hooks));
}

peer_link::~peer_link()
{
    close();
}

auto peer_link::listen() -> core::result<std::uint16_t>
{
    std::string problem;
    const auto &address = m_implementation->options.listenAddress;
    m_implementation->port = m_implementation->transport.listen(address, problem);
    if (m_implementation->port == 0) {
        return core::failure(core::error_kind::invalid_request, "cannot listen on " + address + ": " + problem);
    }
    return m_implementation->port;
}

auto peer_link::port() const -> std::uint16_t
{
    return m_implementation->port;
}

auto peer_link::setPeers(std::span<const peer_address> peers) -> void
{
    m_implementation->dropPeersExcept(peers);
    for (const auto &peer : peers) {
        if (peer.name != m_implementation->options.name) {
            m_implementation->setPeer(peer);
        }
    }
    m_implementation->armTimer();
}

auto peer_link::send(const core::member_id &member, std::string_view bytes) -> bool
{
    return m_implementation->send(member, bytes);
}

auto peer_link::isUp(const core::member_id &member) const -> bool
{
    return m_implementation->isUp(member);
}

auto peer_link::counters() const -> peer_link_counters
{
    auto result = m_implementation->counters;
    result.turnedAway = m_implementation->transport.turnedAwayCount();
    return result;
}

auto peer_link::close() -> void
{
    m_implementation->closed = true;
    m_implementation->timer.cancel();
    m_implementation->transport.closeAll();
    m_implementation->peers.clear();
    m_implementation->incoming.clear();
    m_implementation->outgoingMembers.clear();
}
} // namespace poplarpass::net
