#pragma once

#include <poplarpass/net/authenticator.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarpass::net
{
/// \brief What a frame of a peer link is for.
enum class frame_type : std::uint8_t {
    welcome = 1, ///< The server has accepted the client's proof.
    data = 2, ///< A message of the user.
    ping = 3, ///< Asks for a pong.
    pong = 4, ///< Answers a ping.
};

/// \brief Bytes that a frame adds to a message.
inline constexpr std::size_t frameOverheadBytes = 25;

/// \brief Why a frame was not accepted.
enum class frame_problem {
    malformed, ///< It is too short or of an unknown type.
    unauthorised, ///< Its code does not match.
    replayed, ///< Its number is not the next one.
};

/// \brief A frame that was accepted, or why not.
struct opened_frame
{
    std::optional<frame_problem> problem; ///< Set if it was not accepted.
    frame_type type = frame_type::data; ///< What it is for.
    std::string_view payload; ///< Points into the frame.
};

/// \brief Numbers and signs the frames of one direction of a connection.
class frame_sealer
{
public:
    explicit frame_sealer(std::string_view key);

    /// \brief The next frame, with \p payload in it.
    auto seal(frame_type type, std::string_view payload) -> std::string;

private:
    authenticator m_authenticator;
    std::uint64_t m_nextSequenceNumber = 0;
};

/// \brief Checks the frames of one direction of a connection.
class frame_opener
{
public:
    explicit frame_opener(std::string_view key);

    /// \brief Checks \p frame; it must have the next number.
    auto open(std::string_view frame) -> opened_frame;

private:
    authenticator m_authenticator;
    std::uint64_t m_nextSequenceNumber = 0;
};

/// \brief Both directions of an authenticated connection, seen from one side.
struct sealed_channel
{
    frame_sealer sealer; ///< For frames to the other side.
    frame_opener opener; ///< For frames from the other side.
};
} // namespace poplarpass::net
