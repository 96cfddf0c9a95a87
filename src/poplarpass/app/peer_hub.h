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
/// \brief What the owner of a peer_hub wants to hear.
struct peer_hub_hooks
{
    /// \brief A message of an authenticated peer, heartbeats included.
    std::function<void(const request::member_ref &from, const request::peer_message &message)> onMessage;
    /// \brief A heartbeat with this number was sent.
    std::function<void(const core::member_id &to, std::uint64_t sequence)> onPingSent;
    /// \brief A peer was lost, or an attempt to reach it failed.
    std::function<void(const core::member_id &peer, net::down_reason reason)> onDown;
};

/// \brief Typed messages and heartbeats over the links between processes.
class peer_hub
{
public:
    peer_hub(process_runtime &process, peer_hub_hooks hooks);

    /// \brief Listens and connects to the configured peers.
    /// \throws std::runtime_error when the address cannot be bound
    auto start() -> void;

    /// \brief Takes addresses from the agreed member list, which go before the configured ones.
    auto useMembers(std::span<const replication::member_state> members) -> void;

    /// \brief Sends \p message; false when the peer cannot be reached now.
    auto send(const core::member_id &to, const request::peer_message &message) -> bool;

    /// \brief Sends a heartbeat with the sender's figures from \p figures to every peer.
    auto beat(const request::heartbeat &figures) -> void;

    /// \brief Peers whose heartbeat came within the freshness term.
    [[nodiscard]] auto heardPeers() const -> std::vector<core::member_id>;

    /// \brief "IP:port" at which peers reach this process.
    [[nodiscard]] auto advertisedAddress() const -> std::string;

    /// \brief Whether messages can be sent to \p peer now.
    [[nodiscard]] auto isUp(const core::member_id &peer) const -> bool;

    /// \brief Counters of the links.
    [[nodiscard]] auto counters() const -> net::peer_link_counters;

    /// \brief Ends all links.
    auto stop() -> void;

private:
    struct peer
    {
        std::string address;
        std::uint64_t sent = 0;
        std::uint64_t echo = 0;
        std::uint64_t echoIncarnation = 0;
        core::monotonic_time heardAt{};
    };

    auto receive(const core::member_id &from, std::uint64_t incarnation, const std::string &bytes) -> void;
    auto noteHeartbeat(const request::member_ref &from, const request::heartbeat &beat) -> void;
    auto applyPeers() -> void;

    process_runtime &m_process;
    peer_hub_hooks m_hooks;
    net::peer_link m_link;
    std::map<core::member_id, peer> m_peers;
    observe::counter &m_malformed;
    std::uint16_t m_port = 0;
};
} // namespace poplarpass::app
