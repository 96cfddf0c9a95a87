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
/// \brief Version of the encoding of records and states; another one is refused.
inline constexpr std::uint32_t wireVersion = 1;

/// \brief Bytes of one encoded record at most.
inline constexpr std::size_t maxRecordBytes = std::size_t{256} * 1024;

/// \brief Bytes of an authentication tag at most.
inline constexpr std::size_t maxTagBytes = 64;

/// \brief Proves that a record was written by the deployment, so that a stranger on the network cannot publish.
struct record_authenticator
{
    /// \brief Tag of \p bytes, of maxTagBytes at most.
    std::function<std::string(std::string_view bytes)> sign;

    /// \brief Whether \p tag is the tag of \p bytes, in a time that does not depend on where they differ.
    std::function<bool(std::string_view bytes, std::string_view tag)> verify;
};

/// \brief CBOR encoding of \p record.
auto encodeRecord(const replication::record &record) -> std::string;

/// \brief Record encoded in \p bytes; malformed_message for another version, size, field or type.
auto decodeRecord(std::string_view bytes) -> core::result<replication::record>;

/// \brief Encoding of \p record with its tag before it.
auto encodeSigned(const replication::record &record, const record_authenticator &authenticator) -> std::string;

/// \brief Record encoded in \p bytes by encodeSigned(); unauthorised when the tag is wrong.
auto decodeSigned(std::string_view bytes, const record_authenticator &authenticator)
    -> core::result<replication::record>;
} // namespace poplarpass::codec
