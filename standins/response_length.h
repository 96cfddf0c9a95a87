#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace standins::internal
{
/// \brief Returns the length in bytes, headers included, of the HTTP response at the start of \p bytes.
/// \returns nothing if the response is incomplete or has no Content-Length
auto responseLength(std::string_view bytes) -> std::optional<std::size_t>;
} // namespace standins::internal
