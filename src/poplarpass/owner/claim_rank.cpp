#include <poplarpass/owner/claim_rank.h>

#include <functional>

namespace poplarpass::owner
{
namespace
{
constexpr unsigned ranksPerTier = 4;
constexpr unsigned firstSmallTier = 2;
} // namespace

auto isSmallHost(const host_resources &size) -> bool
{
    return size.cores < minOwnerCores || size.linkMbps < minOwnerLinkMbps;
}

auto claimRank(std::string_view host, bool recentlyStarted, const host_resources &size) -> unsigned
{
    const auto byName = static_cast<unsigned>(std::hash<std::string_view>{}(host) % ranksPerTier);
    const auto tier = (recentlyStarted ? 0U : 1U) + (isSmallHost(size) ? firstSmallTier : 0U);
    return byName + tier * ranksPerTier;
}

// A host sees the claim of another only some calls of the store later. While the store is slow that takes longer than
// the delay between ranks, and a small host would claim before it sees that a large one has.
auto claimDelay(unsigned rank, bool isStoreSlow) -> core::duration
{
    const bool isSmall = rank >= firstSmallTier * ranksPerTier;
    return claimStagger * rank + (isSmall && isStoreSlow ? smallHostClaimDelay : core::duration{0});
}
} // namespace poplarpass::owner
