#pragma once

#include <poplarpass/net/handshake.h>
#include <poplarpass/net/peer_link.h>
#include <poplarpass/net/websocket/transport.h>

#include <deque>
#include <optional>

namespace poplarpass::net::internal
{
/// \brief Clock for the deadlines of links.
using link_clock = std::chrono::steady_clock;

/// \brief Number of superseded incarnations stored for each peer.
inline constexpr std::size_t maxSupersededIncarnations = 16;

/// \brief Connection to a peer, on which messages are sent.
struct outgoing_connection
{
    websocket::session_id session = 0;
    client_handshake handshake;
    std::optional<sealed_channel> channel; ///< Set once the server is authenticated.
    bool up = false; ///< Whether the server has accepted the proof.
    link_clock::time_point deadline; ///< Time at which the connection is dropped.
    link_clock::time_point nextPing;
};

/// \brief Counts a rejected frame.
auto countProblem(peer_link_counters &counters, frame_problem problem) -> void;

/// \brief Counts a failed handshake.
auto countProblem(peer_link_counters &counters, const core::error &problem) -> void;

/// \brief Counts the end of a connection if the other side violated the protocol or the size limit.
auto countProblem(peer_link_counters &counters, websocket::end_reason reason) -> void;

/// \brief Exponential backoff between connection attempts; jitter shortens each delay by up to half.
class backoff
{
public:
    backoff(std::chrono::milliseconds minDelay, std::chrono::milliseconds maxDelay);

    /// \brief Returns the next delay.
    /// \param randomNumber determines the jitter
    auto next(std::uint64_t randomNumber) -> std::chrono::microseconds;

    /// \brief Restarts with the minimum delay.
    auto reset() -> void;

private:
    std::chrono::milliseconds m_minDelay;
    std::chrono::milliseconds m_maxDelay;
    std::chrono::milliseconds m_current;
};

/// \brief State of a link to one peer.
struct peer_link_state
{
    std::string address; ///< "IP:port".
    std::optional<outgoing_connection> outgoing; ///< Connection or attempt; empty while waiting to retry.
    link_clock::time_point retryAt; ///< Time of the next attempt.
    backoff retryDelay; ///< Backoff between attempts.
    std::optional<std::uint64_t> incarnation; ///< Latest authenticated incarnation.
    std::deque<std::uint64_t> superseded; ///< Earlier incarnations, oldest first.

    /// \brief Returns whether \p candidate was superseded by a later incarnation.
    [[nodiscard]] auto isSuperseded(std::uint64_t candidate) const -> bool;

    /// \brief Sets \p proven as the latest incarnation.
    /// \returns whether it supersedes another
    auto updateIncarnation(std::uint64_t proven) -> bool;
};
} // namespace poplarpass::net::internal
