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
/// \brief Length of a message authentication code, bytes.
inline constexpr std::size_t macBytes = 32;

/// \brief Length of a nonce, bytes.
inline constexpr std::size_t nonceBytes = 16;

/// \brief Message authentication code.
using message_mac = std::array<std::uint8_t, macBytes>;

/// \brief Computes HMAC-SHA256 under one key.
class authenticator
{
public:
    /// \brief Uses \p key, which may be of any length.
    explicit authenticator(std::string_view key);
    ~authenticator();
    authenticator(authenticator &&) noexcept;
    auto operator=(authenticator &&) noexcept -> authenticator &;
    authenticator(const authenticator &) = delete;
    auto operator=(const authenticator &) -> authenticator & = delete;

    /// \brief Code of the concatenation of \p parts.
    [[nodiscard]] auto sign(std::initializer_list<std::string_view> parts) const -> message_mac;

    /// \brief Whether \p mac is the first bytes of the code of \p parts; the time taken does not depend on where they
    /// differ.
    /// \pre \p mac has at least 16 bytes
    [[nodiscard]] auto verify(std::initializer_list<std::string_view> parts, std::string_view mac) const -> bool;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// \brief Bytes of \p mac as text.
auto bytesOf(const message_mac &mac) -> std::string_view;

/// \brief Unpredictable bytes from the system's generator.
auto randomNonce() -> std::string;
} // namespace poplarpass::net
