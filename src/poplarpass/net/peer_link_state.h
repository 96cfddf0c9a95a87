#pragma once

#include <poplarpass/net/handshake.h>
#include <poplarpass/net/peer_link.h>
#include <poplarpass/net/websocket/transport.h>

#include <deque>
#include <optional>

namespace poplarpass::net::internal
{
/// \brief Clock of deadlines on links.
using link_clock = std::chrono::steady_clock;

/// \brief Superseded incarnations that are remembered for each peer.
inline constexpr std::size_t maxSupersededIncarnations = 16;

/// \brief Connection to a peer, over which messages are sent.
struct outgoing_connection
{
    websocket::session_id session = 0; ///< Its transport connection.
    client_handshake handshake; ///< Its opening.
    std::optional<sealed_channel> channel; ///< Set once the server has proven itself.
    bool up = false; ///< Whether the server has accepted the proof.
    link_clock::time_point deadline; ///< It is dropped at that time.
    link_clock::time_point nextPing; ///< Time of the next ping.
};

/// \brief Counts a frame that was not accepted.
auto countProblem(peer_link_counters &counters, frame_problem problem) -> void;

/// \brief Counts an opening that failed.
auto countProblem(peer_link_counters &counters, const core::error &problem) -> void;

/// \brief Counts the end of a connection, if it was the other side's fault.
auto countProblem(peer_link_counters &counters, websocket::end_reason reason) -> void;

/// \brief Delays between attempts: doubling, and shortened at random by up to half.
class backoff
{
public:
    backoff(std::chrono::milliseconds minDelay, std::chrono::milliseconds maxDelay);

    /// \brief The next delay.
    auto next(std::uint64_t randomNumber) -> std::chrono::microseconds;

    /// \brief Starts anew with the least delay.
    auto reset() -> void;

private:
    std::chrono::milliseconds m_minDelay;
    std::chrono::milliseconds m_maxDelay;
    std::chrono::milliseconds m_current;
};

/// \brief What a link knows of one peer.
struct peer_link_state
{
    std::string address; ///< "IP:port".
    std::optional<outgoing_connection> outgoing; ///< Attempt or connection; empty while it waits to retry.
    link_clock::time_point retryAt; ///< Time of the next attempt.
    backoff retryDelay; ///< Delays between attempts.
    std::optional<std::uint64_t> incarnation; ///< The latest that was proven.
    std::deque<std::uint64_t> superseded; ///< Earlier ones, the oldest first.

    /// \brief Whether \p candidate was superseded by a later one.
    [[nodiscard]] auto isSuperseded(std::uint64_t candidate) const -> bool;

    /// \brief Makes \p proven the latest incarnation.
    /// \returns whether it supersedes another
    auto updateIncarnation(std::uint64_t proven) -> bool;
};
} // namespace poplarpass::net::internal
