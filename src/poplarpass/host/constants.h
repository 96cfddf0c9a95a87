#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>

namespace poplarpass::host
{
/// \brief Between two turns in which decisions are stored and sent, at least.
inline constexpr core::duration minCyclePeriod = std::chrono::milliseconds{15};
/// \brief Between two turns when nothing happens, at most.
inline constexpr core::duration maxCyclePeriod = std::chrono::milliseconds{100};
/// \brief Between a worker's answer and the next renewal.
inline constexpr core::duration renewalGap = std::chrono::milliseconds{80};
/// \brief A worker with nothing to report answers a renewal after this.
inline constexpr std::chrono::milliseconds renewalWait{1500};
/// \brief Between renewals of a worker that did not answer.
inline constexpr core::duration renewalRetry = std::chrono::milliseconds{400};
/// \brief Between reads of what workers say of themselves.
inline constexpr core::duration workerListPeriod = std::chrono::milliseconds{400};
/// \brief The same while hosts are on their way to a pool.
inline constexpr core::duration workerListBusyPeriod = std::chrono::milliseconds{150};
/// \brief Between looks for jobs that can be forgotten.
inline constexpr core::duration housekeepingPeriod = std::chrono::seconds{1};
/// \brief Between decisions about hosts, at least.
inline constexpr core::duration capacityPlanPeriod = std::chrono::milliseconds{40};
/// \brief Between log lines on the load of the pools.
inline constexpr core::duration loadLogPeriod = std::chrono::milliseconds{500};
/// \brief Between reads of the list of hosts.
inline constexpr core::duration hostListPeriod = std::chrono::milliseconds{1000};
/// \brief The same while hosts are on their way.
inline constexpr core::duration hostListBusyPeriod = std::chrono::milliseconds{300};
/// \brief Between announcements of the owner to hosts that all know it.
inline constexpr core::duration announcementPeriod = std::chrono::seconds{3};
/// \brief Between announcements while some host does not know the owner.
inline constexpr core::duration announcementRetryPeriod = std::chrono::milliseconds{500};
/// \brief Time for a host to take note of an announcement.
inline constexpr core::duration announcementTimeout = std::chrono::milliseconds{600};
/// \brief A read of the operator's records waits this long for a change.
inline constexpr std::chrono::milliseconds operatorWait{700};
/// \brief A read of the ownership waits this long for a record.
inline constexpr std::chrono::milliseconds ownershipReadTimeout{1000};
/// \brief Between reads of the ownership while records come.
inline constexpr core::duration ownershipReadDelay = std::chrono::milliseconds{20};
/// \brief A read of the ownership waits this long when a claim is due soon.
inline constexpr std::chrono::milliseconds minOwnershipReadTimeout{30};
/// \brief Between attempts of a call of the store that failed.
inline constexpr core::duration storeRetry = std::chrono::milliseconds{150};
/// \brief Between attempts to hand a request to the owner.
inline constexpr core::duration forwardRetry = std::chrono::milliseconds{60};
/// \brief An owner that does not answer a request in this time is asked again.
inline constexpr core::duration forwardTimeout = std::chrono::milliseconds{1200};
/// \brief Time for a caller's request when neither the caller nor its route says.
inline constexpr core::duration defaultRequestTime = std::chrono::milliseconds{3000};
/// \brief Share of a request's time after which it is given up, so that the answer arrives in time.
inline constexpr double requestTimeShare = 0.8;
/// \brief When a caller should come back after a refusal, seconds.
inline constexpr int retryAfterSeconds = 1;
/// \brief The same when the store has been away for longStallThreshold.
inline constexpr int longRetryAfterSeconds = 2;
/// \brief Callers' requests at one host that have no answer yet, at most; others are refused at once.
inline constexpr std::size_t mostForwarded = 4000;
/// \brief Requests that wait at the owner for the store, and as many for its start, at most.
inline constexpr std::size_t mostWaiting = 4000;
/// \brief Bytes of their bodies at most.
inline constexpr std::size_t mostWaitingBytes = std::size_t{16} * 1024 * 1024;
/// \brief Tasks in memory at the owner, over all jobs; jobs beyond are refused.
inline constexpr std::size_t maxTasks = 250'000;
/// \brief An append that takes longer than this means that the store is away: submissions are refused.
inline constexpr core::duration refusalStallThreshold = std::chrono::milliseconds{900};
/// \brief An append that took longer than this is logged.
inline constexpr core::duration slowAppendThreshold = std::chrono::milliseconds{250};
/// \brief The store has been away for long.
inline constexpr core::duration longStallThreshold = std::chrono::seconds{2};
/// \brief Bytes of records in one append at most.
inline constexpr std::size_t maxAppendBytes = 900'000;
/// \brief Between looks at the settings file.
inline constexpr core::duration settingsPollPeriod = std::chrono::seconds{1};
/// \brief Callers still arrive this long after a process says that it is not ready.
inline constexpr core::duration loadBalancerLag = std::chrono::milliseconds{2300};
/// \brief A stopping process ends this long before it would be killed.
inline constexpr core::duration shutdownMargin = std::chrono::milliseconds{700};
} // namespace poplarpass::host
