#include <poplarpass/core/rendezvous.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace poplarpass::core
{
namespace
{
auto weightOf(std::uint64_t keyHash, const member_id &member) -> std::uint64_t
{
    return stableHash(member.str(), keyHash);
}
} // namespace

auto stableHash(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto rendezvousOrder(std::string_view key, std::span<const member_id> members) -> std::vector<member_id>
{
    const auto keyHash = stableHash(key);
    std::vector<member_id> order{members.begin(), members.end()};
    std::ranges::sort(order, [keyHash](const member_id &left, const member_id &right) {
        return std::pair{weightOf(keyHash, left), left.str()} > std::pair{weightOf(keyHash, right), right.str()};
    });
    return order;
}

auto rendezvousCoordinator(std::string_view key, std::span<const member_id> members) -> const member_id &
{
    assert(!members.empty());
    const auto keyHash = stableHash(key);
    return *std::ranges::max_element(members, {}, [keyHash](const member_id &member) {
        return std::pair{weightOf(keyHash, member), member.str()};
    });
}
} // namespace poplarpass::core
