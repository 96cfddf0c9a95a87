#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>

namespace poplarpass::request
{
using namespace std::chrono_literals;

/// \brief Age of the evidence of membership up to which a process may act.
inline constexpr core::duration freshnessTerm = 2s;
/// \brief Longest validity of a worker's lease grant.
inline constexpr core::duration workerLeaseTerm = 3s;
/// \brief Time from folding the removal of a member until the shorter list is in force.
inline constexpr core::duration removalDelay = freshnessTerm + workerLeaseTerm + 1s;

/// \brief How far a caller's clock may be ahead of an entry's.
inline constexpr core::duration callerClockSkew = 5s;
/// \brief How far the clocks of two entries may differ.
inline constexpr core::duration memberClockSkew = 1s;
/// \brief Margin by which a key must be younger than an event to be known as minted after it.
inline constexpr core::duration mintMargin = callerClockSkew + memberClockSkew;

/// \brief Age up to which a key is accepted.
inline constexpr core::duration keyLifetime = 10min;
/// \brief Age from which an answered key is forgotten; every entry refuses it by then.
inline constexpr core::duration keyRetention = keyLifetime + 2 * memberClockSkew + 30s;
/// \brief Least time for which the answer of a job is kept that ran longer than its key is remembered.
inline constexpr core::duration answerRetention = 1min;
/// \brief Most keys that an entry remembers.
inline constexpr std::size_t maxRememberedKeys = 400'000;
/// \brief Most bytes of answers that an entry keeps for repeats.
inline constexpr std::size_t maxAnswerBytes = 256U << 20U;

/// \brief Wait for one peer's reply before the step fails.
inline constexpr core::duration peerReplyTimeout = 300ms;
/// \brief Pause before a step is tried again after an epoch mismatch.
inline constexpr core::duration epochRetryPause = 100ms;
/// \brief Longest time that a key may stay undecided.
inline constexpr core::duration decisionTimeout = 1500ms;
/// \brief Interval of queries to the entry that has the job.
inline constexpr core::duration jobQueryInterval = 1s;
/// \brief Silence of the entry that has the job after which its outcome counts as unknown.
inline constexpr core::duration jobSilenceTimeout = 2500ms;
/// \brief Wait for the result of a cancellation at another entry.
inline constexpr core::duration cancelTimeout = 5s;
/// \brief Most times that one request is passed on between entries.
inline constexpr int maxHops = 4;

/// \brief Largest encoded peer message, in bytes.
inline constexpr std::size_t maxPeerMessageBytes = 16U << 20U;
/// \brief Version of the peer protocol.
inline constexpr std::uint64_t peerProtocolVersion = 1;
/// \brief Members that know each dispatched key.
inline constexpr std::size_t copiesOfKey = 2;
/// \brief Most keys in one handover message.
inline constexpr std::size_t maxHandoverKeys = 500;

/// \brief Time after which an endpoint that is leaving must get no new work.
inline constexpr core::duration leavingBound = 3s;

/// \brief Time within which urgent work must start.
inline constexpr core::duration urgentStartBound = 1900ms;
/// \brief Time within which the waiting urgent work should be done; batch jobs make room when it would take longer.
inline constexpr core::duration urgentDrainTarget = 50ms;
/// \brief The same for normal work, which leaves batch work its share.
inline constexpr core::duration normalDrainTarget = 2s;
/// \brief Part of the slot-seconds that batch work gets while normal work waits as well.
inline constexpr double batchShare = 0.1;
/// \brief Part of the slots that long work leaves free once urgent work has been seen.
inline constexpr double urgentReserveShare = 0.1;
/// \brief Least cost of a job in a fair queue, in slot-seconds.
inline constexpr double smallestJobCost = 0.001;
/// \brief Least time after which a refused caller is asked to come back.
inline constexpr core::duration shortestRetryAfter = 1s;
/// \brief Expected wait when the pool has no slots.
inline constexpr core::duration unservedWait = 60s;
/// \brief Most jobs queued for one pool.
inline constexpr std::size_t maxQueuedPerPool = 20'000;

/// \brief Retries and hedges allowed for each first attempt.
inline constexpr double retryShare = 0.1;
/// \brief Most retries and hedges that can be saved up.
inline constexpr double retryBurst = 20.0;
/// \brief Most attempts for one job.
inline constexpr int maxAttempts = 4;

/// \brief Consecutive failures after which a worker is taken out.
inline constexpr int failuresToEject = 3;
/// \brief First pause before a worker that was taken out is tried again.
inline constexpr core::duration firstEjection = 2s;
/// \brief Longest pause before a worker that was taken out is tried again.
inline constexpr core::duration longestEjection = 60s;

/// \brief Closed attempts that are remembered to tell late from doubled answers.
inline constexpr std::size_t maxClosedAttempts = 20'000;
/// \brief Wait for a worker's answer to a lease request before another is sent.
inline constexpr core::duration leaseRequestTimeout = 500ms;
/// \brief Rest of a lease below which it is renewed.
inline constexpr core::duration leaseRenewalMargin = 2s;

/// \brief Workers of a pool up to which all are compared.
inline constexpr std::size_t maxScannedWorkers = 32;
/// \brief Workers that are compared in a larger pool.
inline constexpr int placementChoices = 2;
/// \brief Weight of the estimated slots of others against own ones when workers are compared.
inline constexpr double otherUsageWeight = 0.5;
/// \brief Random workers looked at before all are looked through.
inline constexpr int maxPlacementProbes = 12;
/// \brief Weight of the newest report in the estimate of what others use of a worker.
inline constexpr double reportWeight = 0.3;
/// \brief What another zone costs, as a share of a worker's slots.
inline constexpr double otherZonePenalty = 0.05;
/// \brief What a failure rate of one costs, as a share of a worker's slots.
inline constexpr double failurePenalty = 2.0;
/// \brief Weight of the newest attempt in a worker's failure rate.
inline constexpr double failureWeight = 0.2;

/// \brief Time for which failures of a kind of work are remembered.
inline constexpr core::duration kindMemory = 2min;
/// \brief Most workers remembered as having failed one kind of work.
inline constexpr std::size_t maxFailuresPerKind = 16;
/// \brief Most kinds of work remembered.
inline constexpr std::size_t maxLearntKinds = 4096;
/// \brief Jobs of a kind after which learnt run times replace declared ones.
inline constexpr int samplesToTrust = 5;
} // namespace poplarpass::request
