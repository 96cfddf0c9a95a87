#pragma once

#include <poplarpass/core/time.h>

#include <chrono>
#include <cstddef>

namespace poplarpass::control
{
/// \brief Interval between renewals of the control role by its holder.
inline constexpr core::duration renewInterval = std::chrono::seconds{2};
/// \brief How long the holder may act after it sent its last accepted renewal; shorter than claimAfter because clocks
/// run at different rates.
inline constexpr core::duration roleLeaseDuration = std::chrono::seconds{4};
/// \brief Time without a renewal in the log after which a standby claims the role.
inline constexpr core::duration claimAfter = std::chrono::seconds{6};
/// \brief Additional delay of a standby for each candidate ranked before it, so that standbys do not claim at once.
inline constexpr core::duration claimRankDelay = std::chrono::milliseconds{200};
/// \brief Rank beyond which the claim delay grows no further, which bounds the time of a failover.
inline constexpr std::size_t claimMaxRank = 8;
/// \brief Time after which an append without a known outcome is retried with the same id.
inline constexpr core::duration appendRetryInterval = std::chrono::seconds{1};

/// \brief Time after which an append that is no longer wanted stops blocking another one about the same subject.
inline constexpr core::duration staleAppendTimeout = std::chrono::seconds{5};

/// \brief Time without a heartbeat after which the holder may remove a member, if no other member hears it either.
inline constexpr core::duration removeAfterMissedHeartbeats = std::chrono::seconds{10};
/// \brief Time between the first evidence that a member terminated, such as a refused connection, and its removal.
inline constexpr core::duration removeAfterTermination = std::chrono::seconds{2};
/// \brief Age beyond which a heartbeat no longer counts its sender as heard.
inline constexpr core::duration heartbeatTimeout = std::chrono::seconds{3};
/// \brief Window over which removals for missing heartbeats are counted.
inline constexpr core::duration removalWindow = std::chrono::seconds{10};
/// \brief At most one in this many members, but always one, is removed for missing heartbeats within a window.
inline constexpr std::size_t removalDivisor = 3;

/// \brief How long all contacts with a worker must have failed before it is recorded as down.
inline constexpr core::duration downAfter = std::chrono::seconds{3};
/// \brief How long a worker must answer without a failed contact before it is recorded as up.
inline constexpr core::duration upAfter = std::chrono::seconds{5};
/// \brief Age beyond which a contact no longer shows that a worker is reachable.
inline constexpr core::duration contactTimeout = std::chrono::seconds{5};
/// \brief Consecutive failed contacts before a worker can be recorded as down.
inline constexpr int minFailedContacts = 3;
/// \brief Percentage of up hosts lost at once beyond which the holder suspects its own network and records no loss.
inline constexpr std::size_t maxPlausibleLossPercent = 60;
/// \brief Up to this many hosts lost at once are always recorded.
inline constexpr std::size_t minSuspiciousLoss = 8;
/// \brief Minimum time between two orders to the same worker.
inline constexpr core::duration orderInterval = std::chrono::seconds{1};
/// \brief Time after which an order without an outcome is considered lost.
inline constexpr core::duration orderOutcomeTimeout = std::chrono::seconds{10};
/// \brief Time for a worker that accepted a reboot order to restart before the order is retried.
inline constexpr core::duration rebootTimeout = std::chrono::minutes{2};
/// \brief Time before a reboot order of unknown outcome is retried while the worker still reports its old boot id.
inline constexpr core::duration rebootRetryInterval = std::chrono::seconds{5};
/// \brief Drain time after which the drain is reported as overdue.
inline constexpr core::duration drainOverdueAfter = std::chrono::minutes{15};
/// \brief Reboot time after which the reboot is reported as overdue.
inline constexpr core::duration rebootOverdueAfter = std::chrono::minutes{15};
/// \brief Minimum time between two reports on the same host.
inline constexpr core::duration reportInterval = std::chrono::minutes{5};
/// \brief How long a host must be missing from the host list and unreachable before it is removed.
inline constexpr core::duration removeHostAfter = std::chrono::minutes{10};
/// \brief Maximum number of records that one decision step appends.
inline constexpr std::size_t maxAppendsPerStep = 40;

/// \brief Length of the buckets over which demand is averaged.
inline constexpr core::duration demandBucket = std::chrono::minutes{1};
/// \brief Number of bucket averages in the history of the forecast.
inline constexpr std::size_t demandBucketCount = 60;
/// \brief Minimum number of bucket averages for a forecast.
inline constexpr std::size_t demandMinBuckets = 5;
/// \brief Quantile of the bucket averages that the forecast returns.
inline constexpr double demandQuantile = 0.9;
/// \brief Maximum time for which a demand report stays valid.
inline constexpr core::duration demandReportTimeout = std::chrono::seconds{15};

/// \brief How long a pool must be short of its forecast before it borrows a host.
inline constexpr core::duration borrowAfter = std::chrono::minutes{3};
/// \brief How long a pool must be short of its required capacity before it borrows a host.
inline constexpr core::duration borrowForRequiredAfter = std::chrono::seconds{30};
/// \brief Minimum time for which a borrowed host stays after it became idle.
inline constexpr core::duration minReturnAfter = std::chrono::minutes{5};
/// \brief Maximum time for which a borrowed host stays after it became idle.
inline constexpr core::duration maxReturnAfter = std::chrono::hours{24};
/// \brief Slots above the need that a pool must retain when it returns a host, in percent of the need.
inline constexpr int returnMarginPercent = 10;
} // namespace poplarpass::control
