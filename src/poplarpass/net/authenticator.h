#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace poplarpass::net
{
/// \brief Length of a message authentication code in bytes.
inline constexpr std::size_t macBytes = 32;

/// \brief Length of a nonce in bytes.
inline constexpr std::size_t nonceBytes = 16;

/// \brief HMAC-SHA256 code.
using message_mac = std::array<std::uint8_t, macBytes>;

/// \brief Computes HMAC-SHA256 under one key.
class authenticator
{
public:
    /// \param key HMAC key of any length
    /// \throws std::runtime_error when libcrypto fails, as do the other functions
    explicit authenticator(std::string_view key);
    ~authenticator();
    authenticator(authenticator &&) noexcept;
    auto operator=(authenticator &&) noexcept -> authenticator &;
    authenticator(const authenticator &) = delete;
    auto operator=(const authenticator &) -> authenticator & = delete;

    /// \brief Returns the code of the concatenation of \p parts.
    [[nodiscard]] auto sign(std::initializer_list<std::string_view> parts) const -> message_mac;

    /// \brief Returns whether \p mac is a prefix of the code of \p parts; the comparison runs in constant time.
    /// \pre \p mac has at least 16 bytes
    [[nodiscard]] auto verify(std::initializer_list<std::string_view> parts, std::string_view mac) const -> bool;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// \brief Returns a view of the bytes of \p mac.
auto bytesOf(const message_mac &mac) -> std::string_view;

/// \brief Returns nonceBytes bytes from libcrypto's cryptographic random generator.
auto randomNonce() -> std::string;
} // namespace poplarpass::net
