#include <poplarpass/net/incoming_links.h>

#include <algorithm>

namespace poplarpass::net::internal
{
incoming_links::incoming_links(const peer_link_options &options, websocket::transport &transport,
                               peer_link_counters &counters, incoming_hooks hooks)
    : m_options{options}
    , m_transport{transport}
    , m_counters{counters}
    , m_hooks{std::move(hooks)}
{
}

auto incoming_links::add(websocket::session_id session) -> void
{
    server_handshake handshake{m_options.secret, {m_options.name, m_options.incarnation}};
    const auto deadline = link_clock::now() + m_options.openTimeout;
    m_connections.emplace(session, incoming_connection{std::move(handshake), std::nullopt, false, deadline});
}

auto incoming_links::handleMessage(websocket::session_id session, const std::string &message) -> void
{
    const auto found = m_connections.find(session);
    if (found == m_connections.end()) {
        return;
    }
    auto &connection = found->second;
    if (!connection.helloReceived) {
        handleHello(session, connection, message);
    } else if (!connection.channel) {
        handleProof(session, connection, message);
    } else {
        handleFrame(session, connection, message);
    }
}

auto incoming_links::remove(websocket::session_id session) -> void
{
    m_connections.erase(session);
}

auto incoming_links::removeAll() -> void
{
    m_connections.clear();
}

template <class condition_type>
auto incoming_links::abortIf(condition_type condition) -> void
{
    std::erase_if(m_connections, [&](const auto &item) {
        const bool matches = condition(item.first, item.second);
        if (matches) {
            m_transport.abort(item.first);
        }
        return matches;
    });
}

auto incoming_links::dropExpired(link_clock::time_point now) -> void
{
    abortIf([now](auto, const auto &connection) { return connection.deadline <= now; });
}

auto incoming_links::dropMember(const core::member_id &member, websocket::session_id kept) -> void
{
    abortIf([&](auto session, const auto &connection) {
        return session != kept && connection.channel && connection.handshake.client().name == member;
    });
}

auto incoming_links::dropOtherIncarnations(const peer_identity &current) -> void
{
    abortIf([&](auto, const auto &connection) {
        const auto &client = connection.handshake.client();
        return connection.helloReceived && client.name == current.name && client.incarnation != current.incarnation;
    });
}

auto incoming_links::nextDue() const -> link_clock::time_point
{
    auto due = link_clock::time_point::max();
    for (const auto &[session, connection] : m_connections) {
        due = std::min(due, connection.deadline);
    }
    return due;
}

auto incoming_links::drop(websocket::session_id session) -> void
{
    m_connections.erase(session);
    m_transport.close(session);
}

auto incoming_links::handleHello(websocket::session_id session, incoming_connection &connection,
                                 const std::string &message) -> void
{
    const auto challenge = connection.handshake.acceptHello(message);
    if (!challenge) {
        countProblem(m_counters, challenge.error());
        drop(session);
        return;
    }
    if (!m_hooks.isAdmitted(connection.handshake.client())) {
        drop(session);
        return;
    }
    connection.helloReceived = true;
    m_transport.send(session, *challenge);
}

// Admission is checked again, because the client's incarnation may have been superseded, or its name removed, since the
// hello. Each peer has one incoming connection; an older one is left from before a network partition.
auto incoming_links::handleProof(websocket::session_id session, incoming_connection &connection,
                                 const std::string &message) -> void
{
    const auto client = connection.handshake.client();
    if (!connection.handshake.acceptProof(message)) {
        ++m_counters.unauthorised;
        drop(session);
        return;
    }
    if (!m_hooks.isAdmitted(client)) {
        drop(session);
        return;
    }
    dropMember(client.name, session);
    connection.channel.emplace(connection.handshake.channel());
    connection.deadline = link_clock::now() + m_options.receiveTimeout;
    m_transport.setMaxMessageBytes(session, m_options.maxMessageBytes + frameOverheadBytes);
    m_transport.send(session, connection.channel->sealer.seal(frame_type::welcome, {}));
    m_hooks.onAuthenticated(client);
}

auto incoming_links::handleFrame(websocket::session_id session, incoming_connection &connection,
                                 const std::string &message) -> void
{
    const auto frame = connection.channel->opener.open(message);
    if (frame.problem) {
        countProblem(m_counters, *frame.problem);
        drop(session);
        return;
    }
    connection.deadline = link_clock::now() + m_options.receiveTimeout;
    if (frame.type == frame_type::ping) {
        m_transport.send(session, connection.channel->sealer.seal(frame_type::pong, {}));
    } else if (frame.type == frame_type::data) {
        ++m_counters.received;
        const auto client = connection.handshake.client();
        m_hooks.onMessage(client, std::string{frame.payload});
    }
}
} // namespace poplarpass::net::internal
