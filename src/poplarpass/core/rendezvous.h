#pragma once

#include <poplarpass/core/string_id.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace poplarpass::core
{
/// \brief Returns a hash of \p bytes that is the same in every process and version (64-bit XXH3).
auto stableHash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// \brief Returns \p members by descending rendezvous weight for \p key; the first is the coordinator of the key.
/// \param members candidates; their order does not affect the result
auto rendezvousOrder(std::string_view key, std::span<const member_id> members) -> std::vector<member_id>;

/// \brief Returns the member with the greatest rendezvous weight for \p key, which is its coordinator.
/// \pre \p members is not empty
auto rendezvousCoordinator(std::string_view key, std::span<const member_id> members) -> const member_id &;
} // namespace poplarpass::core
