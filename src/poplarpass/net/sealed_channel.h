#pragma once

#include <poplarpass/net/authenticator.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::net
{
/// \brief Type of a frame on a peer link.
enum class frame_type : std::uint8_t {
    welcome = 1, ///< The server has accepted the client's proof.
    data = 2, ///< A message of the application.
    ping = 3, ///< Requests a pong.
    pong = 4, ///< Responds to a ping.
};

/// \brief Bytes that the framing adds to a payload.
inline constexpr std::size_t frameOverheadBytes = 25;

/// \brief Reason for which a frame was rejected.
enum class frame_problem {
    malformed, ///< Too short, or of an unknown type.
    unauthorised, ///< Invalid authentication tag.
    replayed, ///< Unexpected sequence number.
};

/// \brief Result of opening a frame.
struct opened_frame
{
    std::optional<frame_problem> problem; ///< Set if the frame was rejected.
    frame_type type = frame_type::data;
    std::string_view payload; ///< Points into the frame.
};

/// \brief Adds sequence numbers and authentication tags to the frames of one direction of a connection.
class frame_sealer
{
public:
    explicit frame_sealer(std::string_view key);

    /// \brief Returns the next frame, with \p payload.
    auto seal(frame_type type, std::string_view payload) -> std::string;

private:
    authenticator m_authenticator;
    std::uint64_t m_nextSequenceNumber = 0;
};

/// \brief Verifies the frames of one direction of a connection.
class frame_opener
{
public:
    explicit frame_opener(std::string_view key);

    /// \brief Verifies \p frame, which must have the next sequence number.
    auto open(std::string_view frame) -> opened_frame;

private:
    authenticator m_authenticator;
    std::uint64_t m_nextSequenceNumber = 0;
};

/// \brief Both directions of an authenticated connection, as used by one side.
struct sealed_channel
{
    frame_sealer sealer; ///< For outgoing frames.
    frame_opener opener; ///< For incoming frames.
};
} // namespace poplarpass::net
