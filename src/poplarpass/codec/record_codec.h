#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/replication/record.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief Encoding version of records and states; other versions are rejected.
inline constexpr std::uint32_t wireVersion = 1;

/// \brief Maximum size of an encoded record, bytes.
inline constexpr std::size_t maxRecordBytes = std::size_t{256} * 1024;

/// \brief Maximum size of an authentication tag, bytes.
inline constexpr std::size_t maxTagBytes = 64;

/// \brief Authenticates records, so that processes outside the deployment cannot publish any.
struct record_authenticator
{
    /// \brief Returns the tag of \p bytes, at most maxTagBytes long.
    std::function<std::string(std::string_view bytes)> sign;

    /// \brief Returns whether \p tag is the tag of \p bytes, in a time independent of the position of a difference.
    std::function<bool(std::string_view bytes, std::string_view tag)> verify;
};

/// \brief Encodes \p record as CBOR.
auto encodeRecord(const replication::record &record) -> std::string;

/// \brief Decodes a record; malformed_message if the version, size, a field or a type is invalid.
auto decodeRecord(std::string_view bytes) -> core::result<replication::record>;

/// \brief Encodes \p record, preceded by its tag.
auto encodeSigned(const replication::record &record, const record_authenticator &authenticator) -> std::string;

/// \brief Decodes a record encoded by encodeSigned(); unauthorised if the tag does not match.
auto decodeSigned(std::string_view bytes, const record_authenticator &authenticator)
    -> core::result<replication::record>;
} // namespace poplarpass::codec
