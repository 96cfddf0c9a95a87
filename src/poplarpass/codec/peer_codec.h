#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/request/peer_message.h>

#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief CBOR form of \p message.
auto encodePeerMessage(const request::peer_message &message) -> std::string;

/// \brief Message that \p bytes hold.
/// \returns malformed_message when a field is missing, unknown or of another type, when the version or the type is
///          unknown, or when there are more than maxPeerMessageBytes
auto decodePeerMessage(std::string_view bytes) -> core::result<request::peer_message>;
} // namespace poplarpass::codec
