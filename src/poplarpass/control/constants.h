#pragma once

#include <poplarpass/core/time.h>

#include <chrono>
#include <cstddef>

namespace poplarpass::control
{
/// \brief How often the holder of the control role renews it.
inline constexpr core::duration renewInterval = std::chrono::seconds{2};
/// \brief How long after the sending of its last accepted renewal the holder may act.
inline constexpr core::duration roleLeaseDuration = std::chrono::seconds{4};
/// \brief How long a standby waits without a renewal before it claims.
inline constexpr core::duration claimAfter = std::chrono::seconds{6};
/// \brief Further wait of a standby for each candidate that ranks before it.
inline constexpr core::duration claimRankDelay = std::chrono::milliseconds{200};
/// \brief Ranks beyond this one wait no longer, which bounds the change of hands.
inline constexpr std::size_t claimMaxRank = 8;
/// \brief Time after which an unresolved append is sent again with the same id.
inline constexpr core::duration appendRetryInterval = std::chrono::seconds{1};

/// \brief Time after which an append that is no longer wanted stops holding back another about the same subject.
inline constexpr core::duration staleAppendTimeout = std::chrono::seconds{5};

/// \brief Silence after which the holder may remove a member that the others don't hear either.
inline constexpr core::duration removeAfterSilence = std::chrono::seconds{10};
/// \brief How long a refused connection must last before the holder removes the member.
inline constexpr core::duration removeAfterTermination = std::chrono::seconds{2};
/// \brief A heartbeat older than this is no longer taken as hearing its sender.
inline constexpr core::duration heartbeatTimeout = std::chrono::seconds{3};
/// \brief Window over which removals of silent members are counted.
inline constexpr core::duration removalWindow = std::chrono::seconds{10};
/// \brief At most one in this many members is removed for silence in a window, but always one.
inline constexpr std::size_t removalDivisor = 3;

/// \brief How long nobody must have reached a worker before it is recorded as lost.
inline constexpr core::duration downAfter = std::chrono::seconds{3};
/// \brief How long a worker must answer without a gap before it is recorded as back.
inline constexpr core::duration upAfter = std::chrono::seconds{5};
/// \brief A contact with a worker older than this no longer says that it is there.
inline constexpr core::duration contactTimeout = std::chrono::seconds{5};
/// \brief Failed contacts in a row before a worker can be recorded as lost.
inline constexpr int minFailedContacts = 3;
/// \brief Share of all hosts lost at once beyond which the holder suspects its own network and records none.
inline constexpr std::size_t maxPlausibleLossPercent = 60;
/// \brief So few hosts lost at once are always believed.
inline constexpr std::size_t minSuspiciousLoss = 8;
/// \brief Time between two orders to a worker that waits for something.
inline constexpr core::duration orderInterval = std::chrono::seconds{1};
/// \brief An order without an outcome for this long is taken as lost.
inline constexpr core::duration orderOutcomeTimeout = std::chrono::seconds{10};
/// \brief Time for a worker that accepted a reboot order to come up again before the order is repeated.
inline constexpr core::duration rebootTimeout = std::chrono::minutes{2};
/// \brief Time before a reboot order whose outcome is unknown is repeated to a worker that still has the old boot.
inline constexpr core::duration rebootRetryInterval = std::chrono::seconds{5};
/// \brief Drain time after which the drain is reported.
inline constexpr core::duration drainOverdueAfter = std::chrono::minutes{15};
/// \brief Reboot time after which the reboot is reported.
inline constexpr core::duration rebootOverdueAfter = std::chrono::minutes{15};
/// \brief Time between two reports on the same host.
inline constexpr core::duration reportInterval = std::chrono::minutes{5};
/// \brief How long a host must be missing from the list and unreachable before it is removed.
inline constexpr core::duration removeHostAfter = std::chrono::minutes{10};
/// \brief Records that one decision step appends at most.
inline constexpr std::size_t maxAppendsPerStep = 40;

/// \brief Demand is averaged over this long.
inline constexpr core::duration demandBucket = std::chrono::minutes{1};
/// \brief Averages that the forecast looks back over.
inline constexpr std::size_t demandBucketCount = 60;
/// \brief Averages that the forecast needs before it says anything.
inline constexpr std::size_t demandMinBuckets = 5;
/// \brief Share of the averages that the forecast covers.
inline constexpr double demandQuantile = 0.9;
/// \brief A report of demand stands for this long at most.
inline constexpr core::duration demandReportTimeout = std::chrono::seconds{15};

/// \brief How long a pool must be short of its forecast before it borrows.
inline constexpr core::duration borrowAfter = std::chrono::minutes{3};
/// \brief How long a pool must be short of its promise before it borrows.
inline constexpr core::duration borrowForRequiredAfter = std::chrono::seconds{30};
/// \brief Shortest time that a borrowed host stays once it is no longer needed.
inline constexpr core::duration minReturnAfter = std::chrono::minutes{5};
/// \brief Longest time that a borrowed host stays once it is no longer needed.
inline constexpr core::duration maxReturnAfter = std::chrono::hours{24};
/// \brief Slots above the need that a pool must keep to give a host back, in percent of the need.
inline constexpr int returnMarginPercent = 10;
} // namespace poplarpass::control
