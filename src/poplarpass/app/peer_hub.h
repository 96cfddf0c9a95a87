#pragma once

#include <poplarpass/app/process_runtime.h>
#include <poplarpass/net/peer_link.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/request/peer_message.h>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace poplarpass::app
{
/// \brief Callbacks of a peer_hub.
struct peer_hub_hooks
{
    /// \brief Called for each message of an authenticated peer, including heartbeats.
    std::function<void(const request::member_ref &from, const request::peer_message &message)> onMessage;
    /// \brief Called right before a heartbeat with the number \p sequence is sent.
    std::function<void(const core::member_id &to, std::uint64_t sequence)> onHeartbeatSent;
    /// \brief Called when a connection to a peer was lost or an attempt to connect failed.
    std::function<void(const core::member_id &peer, net::down_reason reason)> onDown;
};

/// \brief Sends and receives typed messages and heartbeats over the links between processes.
class peer_hub
{
public:
    peer_hub(process_runtime &process, peer_hub_hooks hooks);

    /// \brief Listens on the peer address and connects to the known peers.
    /// \throws std::runtime_error if the address cannot be bound
    auto start() -> void;

    /// \brief Applies the addresses of the member list, which override the configured ones.
    auto updateAddresses(std::span<const replication::member_state> members) -> void;

    /// \brief Sends \p message.
    /// \returns false if the peer is not connected
    auto send(const core::member_id &to, const request::peer_message &message) -> bool;

    /// \brief Sends \p common to every peer, with the sequence number and the echo for that peer filled in.
    auto sendHeartbeats(const request::heartbeat &common) -> void;

    /// \brief Returns the peers from which a heartbeat was received within the freshness term.
    [[nodiscard]] auto livePeers() const -> std::vector<core::member_id>;

    /// \brief Returns the "IP:port" at which peers reach this process.
    [[nodiscard]] auto advertisedAddress() const -> std::string;

    /// \brief Returns whether messages can be sent to \p peer now.
    [[nodiscard]] auto isUp(const core::member_id &peer) const -> bool;

    /// \brief Returns the counters of all links.
    [[nodiscard]] auto counters() const -> net::peer_link_counters;

    /// \brief Closes all links.
    auto stop() -> void;

private:
    struct peer
    {
        std::string address;
        std::uint64_t lastSequence = 0;
        std::uint64_t echo = 0;
        std::uint64_t echoIncarnation = 0;
        core::monotonic_time lastHeartbeatAt{};
    };

    auto receive(const core::member_id &from, std::uint64_t incarnation, const std::string &bytes) -> void;
    auto recordHeartbeat(const request::member_ref &from, const request::heartbeat &heartbeat) -> void;
    auto applyPeers() -> void;

    process_runtime &m_process;
    peer_hub_hooks m_hooks;
    net::peer_link m_link;
    std::map<core::member_id, peer> m_peers;
    observe::counter &m_malformed;
    std::uint16_t m_port = 0;
};
} // namespace poplarpass::app
