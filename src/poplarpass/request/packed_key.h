#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <compare>
#include <cstdint>
#include <functional>

namespace poplarpass::request
{
/// \brief A UUIDv7 idempotency key in its 16-byte binary form.
struct packed_key
{
    std::uint64_t high = 0; ///< First eight bytes; the upper 48 bits are the mint time in Unix milliseconds.
    std::uint64_t low = 0; ///< Last eight bytes.

    auto operator<=>(const packed_key &other) const = default;
};

/// \brief Packs \p key.
/// \returns invalid_request unless it is a lower-case UUIDv7
auto packKey(const core::job_key &key) -> core::result<packed_key>;

/// \brief Returns the text form of \p packed.
auto unpackKey(const packed_key &packed) -> core::job_key;

/// \brief Returns the mint time of \p key.
auto mintTimeOf(const packed_key &key) -> core::wall_time;
} // namespace poplarpass::request

template <>
struct std::hash<poplarpass::request::packed_key>
{
    // The low half is random in UUIDv7, but a caller may generate it badly, so both halves are hashed.
    auto operator()(const poplarpass::request::packed_key &key) const noexcept -> std::size_t
    {
        return (key.low ^ (key.high * 0x9E3779B97F4A7C15ULL)) * 0xD6E8FEB86659FD93ULL;
    }
};
