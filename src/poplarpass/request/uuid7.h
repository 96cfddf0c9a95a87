#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <random>
#include <string_view>

namespace poplarpass::request
{
/// \brief Returns the mint time of the UUIDv7 \p text (RFC 9562).
/// \returns invalid_request unless \p text is a UUIDv7 in its canonical form with lower-case digits
auto mintTimeOf(std::string_view text) -> core::result<core::wall_time>;

/// \brief Returns a UUIDv7 with the mint time \p time, for tests and tools.
auto makeUuid7(core::wall_time time, std::mt19937_64 &random) -> core::job_key;
} // namespace poplarpass::request
