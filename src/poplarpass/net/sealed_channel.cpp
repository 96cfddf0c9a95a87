#include <poplarpass/net/sealed_channel.h>

#include <cassert>

namespace poplarpass::net
{
namespace internal
{
// Frame layout: type (1 byte), sequence number (8 bytes, big endian), payload, truncated HMAC-SHA256 tag (16 bytes).
constexpr std::size_t sequenceNumberBytes = 8;
constexpr std::size_t headerBytes = 1 + sequenceNumberBytes;
constexpr std::size_t macTagBytes = 16;
static_assert(headerBytes + macTagBytes == frameOverheadBytes);

auto header(frame_type type, std::uint64_t sequenceNumber) -> std::string
{
    std::string bytes(headerBytes, static_cast<char>(type));
    for (std::size_t index = 0; index < sequenceNumberBytes; ++index) {
        bytes[headerBytes - 1 - index] = static_cast<char>(sequenceNumber >> (8 * index));
    }
    return bytes;
}

auto isKnownType(char type) -> bool
{
    return type >= static_cast<char>(frame_type::welcome) && type <= static_cast<char>(frame_type::pong);
}

auto rejected(frame_problem problem) -> opened_frame
{
    return {problem, frame_type::data, {}};
}
} // namespace internal

frame_sealer::frame_sealer(std::string_view key)
    : m_authenticator{key}
{
}

auto frame_sealer::seal(frame_type type, std::string_view payload) -> std::string
{
    auto frame = internal::header(type, m_nextSequenceNumber++);
    frame.reserve(payload.size() + frameOverheadBytes);
    frame += payload;
    const auto mac = m_authenticator.sign({frame});
    frame += bytesOf(mac).substr(0, internal::macTagBytes);
    return frame;
}

frame_opener::frame_opener(std::string_view key)
    : m_authenticator{key}
{
}

// The tag is verified before the sequence number, so that only an authentic frame is reported as replayed.
auto frame_opener::open(std::string_view frame) -> opened_frame
{
    if (frame.size() < frameOverheadBytes || !internal::isKnownType(frame.front())) {
        return internal::rejected(frame_problem::malformed);
    }
    const auto authenticated = frame.substr(0, frame.size() - internal::macTagBytes);
    if (!m_authenticator.verify({authenticated}, frame.substr(authenticated.size()))) {
        return internal::rejected(frame_problem::unauthorised);
    }
    const auto type = static_cast<frame_type>(frame.front());
    if (authenticated.substr(0, internal::headerBytes) != internal::header(type, m_nextSequenceNumber)) {
        return internal::rejected(frame_problem::replayed);
    }
    ++m_nextSequenceNumber;
    return {std::nullopt, type, authenticated.substr(internal::headerBytes)};
}
} // namespace poplarpass::net
