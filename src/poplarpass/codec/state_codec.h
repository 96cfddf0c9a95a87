#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/replication/fleet_state.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief Maximum size of an encoded state, bytes.
inline constexpr std::size_t maxStateBytes = std::size_t{32} * 1024 * 1024;

/// \brief Encodes the complete \p state as CBOR. \sa replication::snapshot_policy::split
auto encodeState(const replication::fleet_state &state) -> std::string;

/// \brief Decodes a state; malformed_message if the version, size, a field, a type or the order is invalid.
auto decodeState(std::string_view bytes) -> core::result<replication::fleet_state>;
} // namespace poplarpass::codec
