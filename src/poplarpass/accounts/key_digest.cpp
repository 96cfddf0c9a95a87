#include <poplarpass/accounts/key_digest.h>

#include <openssl/evp.h>

#include <cassert>
#include <charconv>
#include <cstring>

namespace poplarpass::accounts
{
namespace
{
constexpr std::size_t digitsPerByte = 2;
constexpr int hexadecimal = 16;
} // namespace

auto key_digest::parse(std::string_view text) -> std::optional<key_digest>
{
    if (text.size() != size * digitsPerByte) {
        return std::nullopt;
    }
    std::array<std::uint8_t, size> bytes{};
    for (std::size_t index = 0; index < size; ++index) {
        const auto *begin = text.data() + index * digitsPerByte;
        const auto [end, problem] = std::from_chars(begin, begin + digitsPerByte, bytes.at(index), hexadecimal);
        if (problem != std::errc{} || end != begin + digitsPerByte) {
            return std::nullopt;
        }
    }
    return key_digest{bytes};
}

auto key_digest::hex() const -> std::string
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * digitsPerByte);
    for (const auto byte : m_bytes) {
        text += digits[byte / hexadecimal];
        text += digits[byte % hexadecimal];
    }
    return text;
}

auto digestOf(std::string_view key) -> key_digest
{
    std::array<std::uint8_t, key_digest::size> bytes{};
    unsigned length = 0;
    // The digest fails only when the library was built without SHA-256.
    [[maybe_unused]] const int succeeded =
        EVP_Digest(key.data(), key.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    assert(succeeded == 1 && length == bytes.size());
    return key_digest{bytes};
}
} // namespace poplarpass::accounts

// Any eight bytes of a SHA-256 digest are evenly distributed.
auto std::hash<poplarpass::accounts::key_digest>::operator()(
    const poplarpass::accounts::key_digest &digest) const noexcept -> std::size_t
{
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes().data(), sizeof(value));
    return value;
}
