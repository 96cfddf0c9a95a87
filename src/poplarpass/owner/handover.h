#pragma once

#include <poplarpass/core/time.h>

namespace poplarpass::owner
{
/// \brief Time for which a host that has yielded ownership does not claim it again. Keeps ownership from changing
/// constantly when the large host that acknowledged the owner cannot claim.
inline constexpr core::duration yieldPause = std::chrono::seconds{10};
/// \brief Minimum time for which an owner serves before it yields, so that callers that waited for it are answered.
inline constexpr core::duration minTermBeforeYield = std::chrono::seconds{1};

/// \brief What decides whether an owner yields to another host.
struct handover_inputs
{
    bool isSmall = false; ///< Whether the owner's host is small.
    bool isLargeHostAvailable = false; ///< Whether a large host has acknowledged this owner.
    core::duration servingFor{0}; ///< Time for which the owner has been serving.
    core::duration renewalLatency{0}; ///< Duration of the owner's last renewal.
};

/// \brief Returns whether an owner should yield ownership to a large host.
///
/// A small host becomes owner when no other claims in time, and then answers late at the next load spike. It yields
/// only while the store answers quickly: a takeover takes several calls of the store.
auto shouldYield(const handover_inputs &inputs) -> bool;
} // namespace poplarpass::owner
