#pragma once

#include <poplarpass/core/time.h>

#include <string_view>

namespace poplarpass::owner
{
/// \brief Resources of a host that matter for ownership.
struct host_resources
{
    double cores = 0; ///< Processor time per second, cores.
    double linkMbps = 0; ///< Bandwidth of its link, megabits per second.
};

/// \brief Processor time per second, cores, that an owner needs to keep up with a load spike.
inline constexpr double minOwnerCores = 0.2;
/// \brief Bandwidth, megabits per second, that an owner needs to read all jobs at a takeover.
inline constexpr double minOwnerLinkMbps = 50;

/// \brief Delay between the claims of processes with consecutive ranks.
inline constexpr core::duration claimStagger = std::chrono::milliseconds{25};
/// \brief Additional delay of small hosts while the store is slow: a large host needs one call of the store to see the
/// vacancy and one to claim, and small hosts need another to see the claim.
inline constexpr core::duration smallHostClaimDelay = std::chrono::seconds{2};

/// \brief Returns whether a host of this size would not keep up as the owner of the pools during load spikes.
auto isSmallHost(const host_resources &size) -> bool;

/// \brief Returns the rank of a host among those that may claim ownership of the pools; the lowest claims first.
///
/// Hosts of one deployment differ in size: a small one becomes owner only when no other claims. During a rolling
/// restart a host that has just restarted claims first, because it will not be restarted again soon. A hash of the name
/// otherwise gives most hosts different ranks.
/// \param recentlyStarted whether the host was started recently
auto claimRank(std::string_view host, bool recentlyStarted, const host_resources &size) -> unsigned;

/// \brief Returns how long a host with \p rank waits before it claims ownership that has become vacant.
/// \param isStoreSlow whether calls of the store take longer than the delay between ranks
auto claimDelay(unsigned rank, bool isStoreSlow) -> core::duration;
} // namespace poplarpass::owner
