#include <poplarpass/owner/claim_rank.h>

#include <functional>

namespace poplarpass::owner
{
namespace
{
constexpr unsigned ranksPerTier = 4;
} // namespace

auto claimRank(std::string_view host, bool recentlyStarted, const host_resources &size) -> unsigned
{
    const bool isSmall = size.cores < minOwnerCores || size.linkMbps < minOwnerLinkMbps;
    const auto byName = static_cast<unsigned>(std::hash<std::string_view>{}(host) % ranksPerTier);
    const auto tier = (recentlyStarted ? 0U : 1U) + (isSmall ? 2U : 0U);
    return byName + tier * ranksPerTier;
}
} // namespace poplarpass::owner
