#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace standins::internal
{
/// \brief Length of the whole HTTP response that \p bytes begin with, if it has a Content-Length and is there.
auto responseLength(std::string_view bytes) -> std::optional<std::size_t>;
} // namespace standins::internal
