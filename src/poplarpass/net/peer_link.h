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

/// Connections to callers, peers and the platform.
namespace poplarpass::net
{
/// \brief Where a peer listens.
struct peer_address
{
    core::member_id name; ///< Its configured name.
    std::string address; ///< "IP:port".

    auto operator==(const peer_address &) const -> bool = default;
};

/// \brief Why a peer cannot be reached.
enum class down_reason {
    refused, ///< Nothing listens at its address: the process that was there is gone.
    closed, ///< The connection was closed or reset, or could not be authenticated.
    timed_out, ///< No answer in time, or no way to its host.
    superseded_incarnation, ///< Another process proved to have the name: the one before is gone.
};

/// \brief Wire name of \p reason.
auto nameOf(down_reason reason) -> std::string_view;

/// \brief Who this process is, and bounds on its links.
struct peer_link_options
{
    core::member_id name; ///< Name of this process.
    std::uint64_t incarnation = 0; ///< Differs for each start of a process.
    std::string listenAddress; ///< "IP:port"; port 0 takes a free one.
    std::string secret; ///< Key that all processes of the deployment share.
    std::size_t maxMessageBytes = std::size_t{1} << 20U; ///< Greatest message, bytes.
    std::size_t maxQueuedBytes = std::size_t{4} << 20U; ///< Bytes that wait for one peer; more are dropped.
    std::size_t maxIncoming = 256; ///< Incoming connections at a time, authenticated or not.
    std::chrono::milliseconds openTimeout{1000}; ///< Time to connect and authenticate.
    std::chrono::milliseconds pingPeriod{500}; ///< Period of pings on an idle connection.
    std::chrono::milliseconds silenceTimeout{2000}; ///< A connection that is silent for longer is dropped.
    std::chrono::milliseconds minBackoff{50}; ///< Delay before the first retry, shortened by up to half at random.
    std::chrono::milliseconds maxBackoff{1000}; ///< Greatest delay before a retry.
    std::function<std::uint64_t()> random; ///< Source of randomness for the delays.
};

/// \brief Calls from the event loop, never from inside a call to the link.
struct peer_link_hooks
{
    /// \brief A message of an authenticated peer; can come before its onUp.
    std::function<void(const core::member_id &from, std::uint64_t incarnation, std::string bytes)> onMessage;
    /// \brief Messages can be sent to the peer.
    std::function<void(const core::member_id &member, std::uint64_t incarnation)> onUp;
    /// \brief The peer was lost, or an attempt to reach it failed; called for each failed attempt.
    std::function<void(const core::member_id &member, down_reason reason)> onDown;
};

/// \brief What a link has counted since its start.
struct peer_link_counters
{
    std::uint64_t unauthorised = 0; ///< Wrong proofs and wrong message codes.
    std::uint64_t malformed = 0; ///< Connections that did not speak the protocol.
    std::uint64_t oversized = 0; ///< Messages over the limit, of others and of this process.
    std::uint64_t unknownSender = 0; ///< Connections of names that are not among the peers.
    std::uint64_t staleIncarnation = 0; ///< Connections of processes that were superseded.
    std::uint64_t replayed = 0; ///< Messages with a number that was not the next.
    std::uint64_t droppedOutgoing = 0; ///< Messages not sent as the peer was down or its queue full.
    std::uint64_t rejectedIncoming = 0; ///< Incoming connections over the limit.
    std::uint64_t sent = 0; ///< Messages handed to connections.
    std::uint64_t received = 0; ///< Messages handed to onMessage.
};

/// \brief Authenticated messages between the processes of a deployment.
///
/// Keeps one connection to each peer for sending and takes one of each for receiving. A message arrives at most once,
/// and in order within a connection; what was on its way when a connection was lost is lost.
class peer_link
{
public:
    /// \pre \p context outlives the link
    peer_link(boost::asio::io_context &context, peer_link_options options, peer_link_hooks hooks);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    auto operator=(const peer_link &) -> peer_link & = delete;

    /// \brief Starts to listen; fails with invalid_request when the address cannot be bound.
    /// \returns the port
    auto listen() -> core::result<std::uint16_t>;

    /// \brief Port on which it listens; 0 before listen().
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// \brief Sets the peers to connect to and to accept; an entry with the own name is left out.
    auto setPeers(std::span<const peer_address> peers) -> void;

    /// \brief Sends \p bytes to \p member.
    /// \returns false when it was dropped; true does not say that it arrives
    auto send(const core::member_id &member, std::string_view bytes) -> bool;

    /// \brief Whether messages can be sent to \p member now.
    [[nodiscard]] auto isUp(const core::member_id &member) const -> bool;

    /// \brief What was counted so far.
    [[nodiscard]] auto counters() const -> peer_link_counters;

    /// \brief Stops to listen and ends all connections after what is queued was written; no hook is called any more.
    /// Peers take a refused connection as a sign that this process is gone, so it must start no work after this.
    auto close() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};
} // namespace poplarpass::net
