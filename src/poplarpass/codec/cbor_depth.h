#pragma once

#include <cstddef>
#include <string_view>

namespace poplarpass::codec::internal
{
/// \brief Returns whether the first CBOR item of \p bytes nests arrays, maps and tags at most \p limit levels deep.
///
/// Rejects items of indefinite length and element counts larger than the number of bytes left. Accepts other truncated
/// input, which the parser rejects.
auto cborDepthWithin(std::string_view bytes, std::size_t limit) -> bool;
} // namespace poplarpass::codec::internal
