#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/request/peer_message.h>

#include <string>
#include <string_view>

namespace poplarpass::codec
{
/// \brief Encodes \p message as CBOR.
auto encodePeerMessage(const request::peer_message &message) -> std::string;

/// \brief Decodes a message from CBOR.
/// \returns malformed_message if a field is missing, unknown or of the wrong type, if the version or the message type
///          is unknown, or if \p bytes exceed maxPeerMessageBytes
auto decodePeerMessage(std::string_view bytes) -> core::result<request::peer_message>;
} // namespace poplarpass::codec
