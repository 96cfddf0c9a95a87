#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>

namespace poplarpass::request
{
using namespace std::chrono_literals;

/// \brief Maximum age of the evidence that the member list is current, for a process that acts on it.
inline constexpr core::duration freshnessTerm = 2s;
/// \brief Maximum validity of a worker's lease.
inline constexpr core::duration workerLeaseTerm = 3s;
/// \brief Delay from the exclusion of removed members until the shorter list is active; leases have expired by then.
inline constexpr core::duration removalDelay = freshnessTerm + workerLeaseTerm + 1s;

/// \brief Maximum by which a caller's clock may be ahead of an entry's.
inline constexpr core::duration callerClockSkew = 5s;
/// \brief Maximum difference between the clocks of two entries.
inline constexpr core::duration memberClockSkew = 1s;
/// \brief Minimum by which the mint time of a key must exceed the time of an event to prove that the key is younger.
inline constexpr core::duration mintMargin = callerClockSkew + memberClockSkew;

/// \brief Maximum age at which a key is accepted.
inline constexpr core::duration keyLifetime = 10min;
/// \brief Age at which an answered key is evicted; every entry refuses it by then.
inline constexpr core::duration keyRetention = keyLifetime + 2 * memberClockSkew + 30s;
/// \brief Minimum retention of the answer of a job that ran for longer than keyRetention.
inline constexpr core::duration answerRetention = 1min;
/// \brief Maximum number of key records per entry.
inline constexpr std::size_t maxRememberedKeys = 400'000;
/// \brief Maximum total size, in bytes, of the answers that an entry stores for repeated requests.
inline constexpr std::size_t maxAnswerBytes = 256U << 20U;

/// \brief Timeout of a request to a peer.
inline constexpr core::duration peerReplyTimeout = 300ms;
/// \brief Delay before a decision is retried after an epoch mismatch.
inline constexpr core::duration epochRetryDelay = 100ms;
/// \brief Maximum time for which a key may stay undecided.
inline constexpr core::duration decisionTimeout = 1500ms;
/// \brief Interval of queries to the entry that has the job.
inline constexpr core::duration jobQueryInterval = 1s;
/// \brief Time without a report from the entry that has the job after which the outcome is unknown.
inline constexpr core::duration jobReportTimeout = 2500ms;
/// \brief Timeout of a cancellation at another entry.
inline constexpr core::duration cancelTimeout = 5s;
/// \brief Maximum number of times one request is forwarded between entries.
inline constexpr int maxHops = 4;

/// \brief Maximum size of an encoded peer message, in bytes.
inline constexpr std::size_t maxPeerMessageBytes = 16U << 20U;
/// \brief Version of the peer protocol.
inline constexpr std::uint64_t peerProtocolVersion = 1;
/// \brief Number of members that store the record of each dispatched key.
inline constexpr std::size_t keyCopies = 2;
/// \brief Maximum number of keys in one handover message.
inline constexpr std::size_t maxHandoverKeys = 500;

/// \brief Time after which an endpoint that is leaving must not receive new work.
inline constexpr core::duration leavingGracePeriod = 3s;

/// \brief Time within which urgent work must start.
inline constexpr core::duration urgentStartBound = 1900ms;
/// \brief Target time to drain the queued urgent work; batch jobs are checkpointed or throttled if needed.
inline constexpr core::duration urgentDrainTarget = 50ms;
/// \brief Target time to drain the queued normal work, which leaves batch work its share.
inline constexpr core::duration normalDrainTarget = 2s;
/// \brief Share of the slot-seconds for batch work while normal work is queued too.
inline constexpr double batchShare = 0.1;
/// \brief Share of the slots that long jobs leave free once urgent work was received.
inline constexpr double urgentReserveShare = 0.1;
/// \brief Minimum cost of a job in a fair queue, in slot-seconds.
inline constexpr double minJobCost = 0.001;
/// \brief Minimum retry delay sent to a refused caller.
inline constexpr core::duration minRetryAfter = 1s;
/// \brief Wait estimate for a pool without slots.
inline constexpr core::duration noSlotsWait = 60s;
/// \brief Maximum number of queued jobs per pool.
inline constexpr std::size_t maxQueuedPerPool = 20'000;

/// \brief Retries and hedged requests allowed per first attempt.
inline constexpr double retryRatio = 0.1;
/// \brief Maximum number of unused retries and hedged requests that accumulate.
inline constexpr double retryBurst = 20.0;
/// \brief Maximum number of attempts per job.
inline constexpr int maxAttempts = 4;

/// \brief Consecutive failures after which a worker is ejected.
inline constexpr int ejectionThreshold = 3;
/// \brief First delay before an ejected worker is retried.
inline constexpr core::duration initialEjectionTime = 2s;
/// \brief Maximum delay before an ejected worker is retried.
inline constexpr core::duration maxEjectionTime = 60s;

/// \brief Number of closed attempts retained to distinguish late from duplicate answers.
inline constexpr std::size_t maxClosedAttempts = 20'000;
/// \brief Timeout of a lease request, after which another is sent.
inline constexpr core::duration leaseRequestTimeout = 500ms;
/// \brief Remaining validity below which a lease is renewed.
inline constexpr core::duration leaseRenewalMargin = 2s;

/// \brief Maximum size of a pool in which all workers are compared.
inline constexpr std::size_t maxScannedWorkers = 32;
/// \brief Number of workers compared in a larger pool.
inline constexpr int placementChoices = 2;
/// \brief Weight of slots estimated to be used by other entries, relative to own ones, when workers are compared.
inline constexpr double otherUsageWeight = 0.5;
/// \brief Number of random workers probed before a full scan.
inline constexpr int maxPlacementProbes = 12;
/// \brief Weight of the newest report in the estimate of the slots that other entries use on a worker.
inline constexpr double reportWeight = 0.3;
/// \brief Placement penalty of another availability zone, as a share of a worker's slots.
inline constexpr double otherZonePenalty = 0.05;
/// \brief Placement penalty of a failure rate of one, as a share of a worker's slots.
inline constexpr double failurePenalty = 2.0;
/// \brief Weight of the newest attempt in a worker's failure rate.
inline constexpr double failureWeight = 0.2;

/// \brief Time for which failures of a kind of work are retained.
inline constexpr core::duration kindFailureRetention = 2min;
/// \brief Maximum number of workers recorded as having failed one kind of work.
inline constexpr std::size_t maxFailuresPerKind = 16;
/// \brief Maximum number of kinds of work for which statistics are retained.
inline constexpr std::size_t maxTrackedKinds = 4096;
/// \brief Number of jobs of a kind after which observed run times replace declared ones.
inline constexpr int minRunTimeSamples = 5;
} // namespace poplarpass::request
