#pragma once

#include <poplarpass/accounts/key_digest.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace poplarpass::accounts
{
/// \brief Maximum length of a key, bytes.
inline constexpr std::size_t maxKeyLength = 256;

/// \brief Why the credential of a request cannot be read.
enum class credential_error : std::uint8_t {
    malformed, ///< The scheme is not Bearer, or what follows is not a single key.
    duplicated, ///< There is more than one Authorization header.
    too_long, ///< The key is longer than maxKeyLength.
};

/// \brief Reads the key of a request.
/// \param authorization values of all Authorization headers of the request
/// \returns the digest of the key; nothing without an Authorization header
auto parseCredential(std::span<const std::string_view> authorization)
    -> tl::expected<std::optional<key_digest>, credential_error>;
} // namespace poplarpass::accounts
