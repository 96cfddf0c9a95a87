#include <poplarpass/app/clock.h>
#include <poplarpass/app/peer_hub.h>
#include <poplarpass/codec/peer_codec.h>

#include <stdexcept>
#include <utility>

namespace poplarpass::app
{
namespace
{
auto linkOptions(process_runtime &process) -> net::peer_link_options
{
    net::peer_link_options options;
    options.name = process.settings.process.name;
    options.incarnation = process.incarnation;
    options.listenAddress = process.settings.listen.peers;
    options.secret = process.settings.deployment.secret;
    options.pingInterval = process.settings.timing.heartbeat;
    options.receiveTimeout = process.settings.timing.freshness;
    options.random = [&process] {
        return process.random();
    };
    return options;
}
} // namespace

peer_hub::peer_hub(process_runtime &process, peer_hub_hooks hooks)
    : m_process{process}
    , m_hooks{std::move(hooks)}
    , m_link{process.loop,
             linkOptions(process),
             {[this](const core::member_id &from, std::uint64_t incarnation, const std::string &bytes) {
                  receive(from, incarnation, bytes);
              },
              [this](const core::member_id &peer, std::uint64_t incarnation) {
                  m_process.log.log(observe::log_level::info, "peer_up",
                                    {{"peer", peer.str()}, {"incarnation", incarnation}});
              },
              [this](const core::member_id &peer, net::down_reason reason) {
                  m_process.log.log(observe::log_level::debug, "peer_down",
                                    {{"peer", peer.str()}, {"reason", net::nameOf(reason)}});
                  m_hooks.onDown(peer, reason);
              }}}
    , m_malformed{process.metrics.counterOf("poplarpass_peer_malformed_total", "Peer messages that could not be read")}
{
    for (const auto &configured : process.settings.peers) {
        if (configured.name != process.settings.process.name) {
            m_peers[configured.name].address = configured.address;
        }
    }
}

auto peer_hub::start() -> void
{
    const auto port = m_link.listen();
    if (!port) {
        throw std::runtime_error{"failed to start the listener for peers: " + port.error().detail};
    }
    m_port = *port;
    applyPeers();
}

auto peer_hub::applyPeers() -> void
{
    std::vector<net::peer_address> addresses;
    addresses.reserve(m_peers.size());
    for (const auto &[name, known] : m_peers) {
        addresses.push_back({name, known.address});
    }
    m_link.setPeers(addresses);
}

auto peer_hub::updateAddresses(std::span<const replication::member_state> members) -> void
{
    bool changed = false;
    for (const auto &[joined, since] : members) {
        if (joined.member == m_process.settings.process.name || joined.address.empty()) {
            continue;
        }
        auto &known = m_peers[joined.member];
        changed = changed || known.address != joined.address;
        known.address = joined.address;
    }
    if (changed) {
        applyPeers();
    }
}

auto peer_hub::send(const core::member_id &to, const request::peer_message &message) -> bool
{
    return m_link.send(to, codec::encodePeerMessage(message));
}

auto peer_hub::sendHeartbeats(const request::heartbeat &common) -> void
{
    auto heartbeat = common;
    for (auto &[name, known] : m_peers) {
        heartbeat.sequence = ++known.lastSequence;
        heartbeat.echo = known.echo;
        heartbeat.echoIncarnation = known.echoIncarnation;
        m_hooks.onHeartbeatSent(name, heartbeat.sequence);
        send(name, heartbeat);
    }
}

auto peer_hub::receive(const core::member_id &from, std::uint64_t incarnation, const std::string &bytes) -> void
{
    const auto message = codec::decodePeerMessage(bytes);
    if (!message) {
        m_malformed.add();
        m_process.log.log(observe::log_level::warning, "peer_message_malformed",
                          {{"peer", from.str()}, {"detail", message.error().detail}});
        return;
    }
    const request::member_ref sender{from, incarnation};
    if (const auto *heartbeat = std::get_if<request::heartbeat>(&*message)) {
        // The link has authenticated the sender; a heartbeat with a different sender is a defect of the peer.
        if (heartbeat->from != sender) {
            m_malformed.add();
            return;
        }
        recordHeartbeat(sender, *heartbeat);
    }
    m_hooks.onMessage(sender, *message);
}

auto peer_hub::recordHeartbeat(const request::member_ref &from, const request::heartbeat &heartbeat) -> void
{
    const auto found = m_peers.find(from.member);
    if (found == m_peers.end()) {
        return;
    }
    found->second.echo = heartbeat.sequence;
    found->second.echoIncarnation = from.incarnation;
    found->second.lastHeartbeatAt = monotonicNow();
}

auto peer_hub::livePeers() const -> std::vector<core::member_id>
{
    const auto oldest = monotonicNow() - m_process.settings.timing.freshness;
    std::vector<core::member_id> live;
    for (const auto &[name, known] : m_peers) {
        if (known.lastHeartbeatAt >= oldest && known.lastHeartbeatAt != core::monotonic_time{}) {
            live.push_back(name);
        }
    }
    return live;
}

auto peer_hub::advertisedAddress() const -> std::string
{
    const auto &listen = m_process.settings.listen;
    if (!listen.advertise.empty()) {
        return listen.advertise;
    }
    return listen.peers.substr(0, listen.peers.rfind(':') + 1) + std::to_string(m_port);
}

auto peer_hub::isUp(const core::member_id &peer) const -> bool
{
    return m_link.isUp(peer);
}

auto peer_hub::counters() const -> net::peer_link_counters
{
    return m_link.counters();
}

auto peer_hub::stop() -> void
{
    m_link.close();
}
} // namespace poplarpass::app
