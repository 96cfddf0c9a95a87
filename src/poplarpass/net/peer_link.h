#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
}

/// \brief Connections to callers, peers and the platform.
namespace poplarpass::net
{
/// \brief Listening address of a peer.
struct peer_address
{
    core::member_id name; ///< Configured name of the peer.
    std::string address; ///< "IP:port".

    auto operator==(const peer_address &) const -> bool = default;
};

/// \brief Reason for which a peer is down.
enum class down_reason {
    refused, ///< Connection refused: no process listens at its address, so the previous one has ended.
    closed, ///< The connection was closed or reset, or could not be authenticated.
    timed_out, ///< No response in time, or its host is unreachable.
    superseded_incarnation, ///< Another incarnation authenticated under the name: the previous one has ended.
};

/// \brief Returns the wire name of \p reason.
auto nameOf(down_reason reason) -> std::string_view;

/// \brief Identity of this process, and limits and timeouts of its links.
struct peer_link_options
{
    core::member_id name; ///< Name of this process.
    std::uint64_t incarnation = 0; ///< Differs for each start of a process.
    std::string listenAddress; ///< "IP:port"; port 0 selects a free port.
    std::string secret; ///< Key shared by all processes of the deployment.
    std::size_t maxMessageBytes = std::size_t{1} << 20U; ///< Maximum size of a message.
    std::size_t maxQueuedBytes = std::size_t{4} << 20U; ///< Maximum queue of one peer; messages beyond it are dropped.
    std::size_t maxIncoming = 256; ///< Maximum number of incoming connections, authenticated or not.
    std::chrono::milliseconds openTimeout{1000}; ///< Time to connect and authenticate.
    std::chrono::milliseconds pingInterval{500}; ///< Interval of pings on a connection.
    std::chrono::milliseconds receiveTimeout{2000}; ///< A connection without a received frame for this time is dropped.
    std::chrono::milliseconds minBackoff{50}; ///< Delay before the first retry; jitter shortens it by up to half.
    std::chrono::milliseconds maxBackoff{1000}; ///< Maximum delay before a retry.
    std::function<std::uint64_t()> random; ///< Random source for the jitter.
};

/// \brief Callbacks of a link; called from the event loop, never from inside a call to the link.
struct peer_link_hooks
{
    /// \brief A message from an authenticated peer was received; can precede its onUp.
    std::function<void(const core::member_id &from, std::uint64_t incarnation, std::string bytes)> onMessage;
    /// \brief The peer is up: messages can be sent to it.
    std::function<void(const core::member_id &member, std::uint64_t incarnation)> onUp;
    /// \brief The connection to the peer was lost, or a connection attempt failed; called for each failed attempt.
    std::function<void(const core::member_id &member, down_reason reason)> onDown;
};

/// \brief Counters of a link since its construction.
struct peer_link_counters
{
    std::uint64_t unauthorised = 0; ///< Invalid proofs and message authentication codes.
    std::uint64_t malformed = 0; ///< Connections that violated the protocol.
    std::uint64_t oversized = 0; ///< Messages over the size limit, incoming and outgoing.
    std::uint64_t unknownSender = 0; ///< Connections from names that are not among the peers.
    std::uint64_t staleIncarnation = 0; ///< Connections of superseded incarnations.
    std::uint64_t replayed = 0; ///< Frames with an unexpected sequence number.
    std::uint64_t droppedOutgoing = 0; ///< Messages dropped because the peer was down or its queue full.
    std::uint64_t rejectedIncoming = 0; ///< Incoming connections rejected at the limit.
    std::uint64_t sent = 0; ///< Messages passed to a connection.
    std::uint64_t received = 0; ///< Messages passed to onMessage.
};

/// \brief Authenticated messages between the processes of a deployment.
///
/// Maintains one outgoing connection to each peer for sending and accepts one incoming connection from each for
/// receiving. Delivery is at most once, and in order within a connection; messages in flight are lost with a
/// connection.
class peer_link
{
public:
    /// \pre \p context outlives the link
    peer_link(boost::asio::io_context &context, peer_link_options options, peer_link_hooks hooks);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    auto operator=(const peer_link &) -> peer_link & = delete;

    /// \brief Starts listening; fails with invalid_request when the address cannot be bound.
    /// \returns the port
    auto listen() -> core::result<std::uint16_t>;

    /// \brief Returns the listening port; 0 before listen().
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// \brief Sets the peers to connect to and to accept; an entry with this process's own name is ignored.
    auto setPeers(std::span<const peer_address> peers) -> void;

    /// \brief Sends \p bytes to \p member.
    /// \returns false when it was dropped; true does not guarantee delivery
    auto send(const core::member_id &member, std::string_view bytes) -> bool;

    /// \brief Returns whether messages can be sent to \p member now.
    [[nodiscard]] auto isUp(const core::member_id &member) const -> bool;

    /// \brief Returns the counters since construction.
    [[nodiscard]] auto counters() const -> peer_link_counters;

    /// \brief Stops listening and closes all connections after writing the queued messages; calls no more hooks.
    ///
    /// Peers conclude from a refused connection that this process has ended, so it must start no work after this call.
    auto close() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};
} // namespace poplarpass::net
