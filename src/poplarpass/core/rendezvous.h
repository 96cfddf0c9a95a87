#pragma once

#include <poplarpass/core/string_id.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace poplarpass::core
{
/// \brief Hash of \p bytes that is the same in every process and version (XXH3, 64 bits).
auto stableHash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// \brief Members in order of their rendezvous weight for \p key, the first being its home.
/// \param members candidates; the order in which they are given does not matter
auto rendezvousOrder(std::string_view key, std::span<const member_id> members) -> std::vector<member_id>;

/// \brief Member with the greatest rendezvous weight for \p key.
/// \pre \p members is not empty
auto rendezvousHome(std::string_view key, std::span<const member_id> members) -> const member_id &;
} // namespace poplarpass::core
