#pragma once

#include <poplarpass/codec/record_codec.h>

#include <string_view>

namespace poplarpass::app
{
/// \brief Returns the authenticator of log records: HMAC-SHA256 under the deployment's \p secret.
auto makeRecordAuthenticator(std::string_view secret) -> codec::record_authenticator;
} // namespace poplarpass::app
