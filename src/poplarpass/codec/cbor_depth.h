#pragma once

#include <cstddef>
#include <string_view>

namespace poplarpass::codec::internal
{
/// \brief Whether the first CBOR item of \p bytes nests arrays, maps and tags at most \p limit deep.
///
/// Items of indefinite length are refused, and counts of more elements than there are bytes left. Other truncated input
/// passes; the parser reports it.
auto cborDepthWithin(std::string_view bytes, std::size_t limit) -> bool;
} // namespace poplarpass::codec::internal
