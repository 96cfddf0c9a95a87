#include <poplarpass/net/sealed_channel.h>

#include <cassert>

namespace poplarpass::net
{
namespace internal
{
// type (1), number (8, big endian), payload, code (16)
constexpr std::size_t numberBytes = 8;
constexpr std::size_t headerBytes = 1 + numberBytes;
constexpr std::size_t codeBytes = 16;
static_assert(headerBytes + codeBytes == frameOverheadBytes);

auto header(frame_type type, std::uint64_t number) -> std::string
{
    std::string bytes(headerBytes, static_cast<char>(type));
    for (std::size_t index = 0; index < numberBytes; ++index) {
        bytes[headerBytes - 1 - index] = static_cast<char>(number >> (8 * index));
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
    auto frame = internal::header(type, m_number++);
    frame.reserve(payload.size() + frameOverheadBytes);
    frame += payload;
    const auto mac = m_authenticator.sign({frame});
    frame += bytesOf(mac).substr(0, internal::codeBytes);
    return frame;
}

frame_opener::frame_opener(std::string_view key)
    : m_authenticator{key}
{
}

// The code is checked before the number, so that only a frame of the other side can be called replayed.
auto frame_opener::open(std::string_view frame) -> opened_frame
{
    if (frame.size() < frameOverheadBytes || !internal::isKnownType(frame.front())) {
        return internal::rejected(frame_problem::malformed);
    }
    const auto signedPart = frame.substr(0, frame.size() - internal::codeBytes);
    if (!m_authenticator.verify({signedPart}, frame.substr(signedPart.size()))) {
        return internal::rejected(frame_problem::unauthorised);
    }
    const auto type = static_cast<frame_type>(frame.front());
    if (signedPart.substr(0, internal::headerBytes) != internal::header(type, m_number)) {
        return internal::rejected(frame_problem::replayed);
    }
    ++m_number;
    return {std::nullopt, type, signedPart.substr(internal::headerBytes)};
}
} // namespace poplarpass::net
