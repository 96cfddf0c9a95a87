#pragma once

#include <string_view>

namespace poplarpass::owner
{
/// \brief What a host has to work with.
struct host_size
{
    double cores = 0; ///< Processor time a second, cores.
    double linkMbps = 0; ///< Bandwidth of its link, megabits a second.
};

/// \brief An owner needs this much processor time a second, cores, to keep up with a surge.
inline constexpr double minOwnerCores = 0.2;
/// \brief An owner needs this much bandwidth, megabits a second, to read all jobs at a takeover.
inline constexpr double minOwnerLinkMbps = 50;

/// \brief Position of a host among those that may claim the pools; the lowest claims first.
///
/// Answers fleets whose hosts differ: a small one owns the pools only when no other claims. When hosts are restarted in
/// turn, one that was restarted a moment ago goes first, as it stays. Otherwise ranks differ mostly between hosts.
/// \param isFresh whether the host was started a moment ago
auto claimRank(std::string_view host, bool isFresh, const host_size &size) -> unsigned;
} // namespace poplarpass::owner
