#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/replication/fleet_state.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief Bytes of one encoded state at most.
inline constexpr std::size_t maxStateBytes = std::size_t{32} * 1024 * 1024;

/// \brief CBOR encoding of the whole \p state. \sa replication::snapshot_policy::split
auto encodeState(const replication::fleet_state &state) -> std::string;

/// \brief State encoded in \p bytes; malformed_message for another version, size, field, type or order.
auto decodeState(std::string_view bytes) -> core::result<replication::fleet_state>;
} // namespace poplarpass::codec
