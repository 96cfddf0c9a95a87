#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Client accounts and the keys that authenticate their requests.
namespace poplarpass::accounts
{
/// \brief SHA-256 digest of a key. Keys are kept and compared only as digests, so that no copy of a key can leak.
class key_digest
{
public:
    static constexpr std::size_t size = 32; ///< Bytes.

    key_digest() = default;

    explicit key_digest(const std::array<std::uint8_t, size> &bytes)
        : m_bytes{bytes}
    {
    }

    /// \brief Parses the result of hex().
    /// \returns nothing when \p text is not the hexadecimal form of a digest
    static auto parse(std::string_view text) -> std::optional<key_digest>;

    /// \brief Returns the digest as lower-case hexadecimal digits, for messages between hosts.
    [[nodiscard]] auto hex() const -> std::string;

    /// \brief Returns the digest.
    [[nodiscard]] auto bytes() const -> const std::array<std::uint8_t, size> &
    {
        return m_bytes;
    }

    auto operator<=>(const key_digest &) const = default;

private:
    std::array<std::uint8_t, size> m_bytes{};
};

/// \brief Returns the digest of \p key.
auto digestOf(std::string_view key) -> key_digest;
} // namespace poplarpass::accounts

template <>
struct std::hash<poplarpass::accounts::key_digest>
{
    auto operator()(const poplarpass::accounts::key_digest &digest) const noexcept -> std::size_t;
};
