#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>

namespace poplarpass::host
{
/// \brief Minimum interval between two decision cycles of the owner.
inline constexpr core::duration minCyclePeriod = std::chrono::milliseconds{15};
/// \brief Maximum interval between two decision cycles when nothing changes.
inline constexpr core::duration maxCyclePeriod = std::chrono::milliseconds{100};
/// \brief Delay between a worker's response and the next lease renewal.
inline constexpr core::duration renewalDelay = std::chrono::milliseconds{80};
/// \brief Factor by which the lateness of the owner's decision cycles lengthens that delay: under load one report then
/// covers more ends.
inline constexpr int renewalDelayPerLateness = 3;
/// \brief Maximum of that delay; well below the term of a lease.
inline constexpr core::duration maxRenewalDelay = std::chrono::milliseconds{400};
/// \brief The same while ends of the worker are held back: it responds at once then, as it lists them in each response.
inline constexpr core::duration heldEndsRenewalDelay = std::chrono::milliseconds{200};
/// \brief Long-poll timeout of a lease renewal: a worker with nothing to report responds after this time.
inline constexpr std::chrono::milliseconds renewalPollTimeout{1500};
/// \brief Delay before the lease renewal of a worker that did not respond is retried.
inline constexpr core::duration renewalRetryDelay = std::chrono::milliseconds{400};
/// \brief Interval between reads of the workers' records.
inline constexpr core::duration workerListPeriod = std::chrono::milliseconds{400};
/// \brief The same while hosts are moving to a pool.
inline constexpr core::duration workerListBusyPeriod = std::chrono::milliseconds{150};
/// \brief Workers that do not enforce their capacity get no starts once their published capacity is older than this.
inline constexpr core::duration maxCapacityAge = std::chrono::seconds{2};
/// \brief Interval between log lines about the run times that were learnt.
inline constexpr core::duration runTimeLogPeriod = std::chrono::seconds{10};
/// \brief Interval between removals of ended jobs.
inline constexpr core::duration housekeepingPeriod = std::chrono::seconds{1};
/// \brief Minimum interval between two capacity plans.
inline constexpr core::duration capacityPlanPeriod = std::chrono::milliseconds{40};
/// \brief Interval between log lines with the load of the pools.
inline constexpr core::duration loadLogPeriod = std::chrono::milliseconds{500};
/// \brief Interval between reads of the list of hosts.
inline constexpr core::duration hostListPeriod = std::chrono::milliseconds{1000};
/// \brief The same while hosts are moving to a pool.
inline constexpr core::duration hostListBusyPeriod = std::chrono::milliseconds{300};
/// \brief Minimum interval between reads of the list of hosts, for each host in it.
inline constexpr core::duration hostListPeriodPerHost = std::chrono::microseconds{500};
/// \brief Interval between announcements of the owner once all hosts have acknowledged one.
inline constexpr core::duration announcementPeriod = std::chrono::seconds{3};
/// \brief Interval between announcements while an acknowledgement is missing.
inline constexpr core::duration announcementRetryPeriod = std::chrono::milliseconds{500};
/// \brief Time within which a host must acknowledge an announcement.
inline constexpr core::duration announcementTimeout = std::chrono::milliseconds{600};
/// \brief Long-poll timeout of a read of the operator's records.
inline constexpr std::chrono::milliseconds operatorReadTimeout{700};
/// \brief Long-poll timeout of a read of the ownership records.
inline constexpr std::chrono::milliseconds ownershipReadTimeout{1000};
/// \brief Delay before the next read of the ownership records after one that returned records.
inline constexpr core::duration ownershipReadDelay = std::chrono::milliseconds{20};
/// \brief Minimum long-poll timeout of a read of the ownership records, used when a claim is due soon.
inline constexpr std::chrono::milliseconds minOwnershipReadTimeout{30};
/// \brief Delay before a failed call of the store is retried.
inline constexpr core::duration storeRetryDelay = std::chrono::milliseconds{150};
/// \brief Delay before a request is forwarded to the owner again.
inline constexpr core::duration forwardRetryDelay = std::chrono::milliseconds{60};
/// \brief Time within which the owner must respond to a forwarded request; then it is forwarded again.
inline constexpr core::duration forwardTimeout = std::chrono::milliseconds{1200};
/// \brief Timeout of a caller's request when neither the caller nor its route sets one.
inline constexpr core::duration defaultRequestTimeout = std::chrono::milliseconds{3000};
/// \brief Fraction of a request's timeout after which it is abandoned, so that the response arrives in time.
inline constexpr double requestTimeoutFraction = 0.8;
/// \brief Interval at which requests that wait for a newer configuration are checked against its age.
inline constexpr core::duration waitingCheckPeriod = std::chrono::milliseconds{250};
/// \brief Interval at which a request is forwarded to an owner that does not respond, while others are refused.
inline constexpr core::duration ownerProbePeriod = std::chrono::milliseconds{500};
/// \brief Retry delay sent with a refusal, seconds.
inline constexpr int retryAfterSeconds = 1;
/// \brief The same when the store has been unavailable for longStallThreshold.
inline constexpr int longRetryAfterSeconds = 2;
/// \brief The same for a job that its account's cap does not permit: only the operator can raise the cap.
inline constexpr int capRetryAfterSeconds = 30;
/// \brief Maximum number of callers' requests in flight at one host; further ones are refused at once.
inline constexpr std::size_t maxForwardedRequests = 4000;
/// \brief Maximum number of requests queued at the owner for the store, and likewise for the owner's start.
inline constexpr std::size_t maxWaitingRequests = 4000;
/// \brief Maximum total size of the bodies of those requests, bytes.
inline constexpr std::size_t maxWaitingBytes = std::size_t{16} * 1024 * 1024;
/// \brief Maximum number of attempts that an owner remembers as refused.
inline constexpr std::size_t maxRefusedAttempts = 20'000;
/// \brief Maximum length of an attempt's identifier, bytes.
inline constexpr std::size_t maxAttemptLength = 160;
/// \brief Time for which they are remembered. A sender that closed its connection may send the bytes again for about
/// 100 s (tcp_orphan_retries).
inline constexpr core::duration refusedAttemptRetention = std::chrono::seconds{120};
/// \brief Maximum number of tasks in memory at the owner over all jobs; further jobs are refused.
inline constexpr std::size_t maxTasks = 250'000;
/// \brief Time after which an append without a response counts as a store outage: submissions are refused.
inline constexpr core::duration refusalStallThreshold = std::chrono::milliseconds{900};
/// \brief Appends that take at least this long are logged.
inline constexpr core::duration slowAppendThreshold = std::chrono::milliseconds{250};
/// \brief Store outages of at least this duration are reported with longRetryAfterSeconds.
inline constexpr core::duration longStallThreshold = std::chrono::seconds{2};
/// \brief Size of the records of jobs after which a new append is begun, bytes.
inline constexpr std::size_t maxAppendBytes = 900'000;
/// \brief Interval between checks whether the settings file was modified.
inline constexpr core::duration settingsPollPeriod = std::chrono::seconds{1};
/// \brief Time for which the load balancer may still send callers to a process that reports that it is not ready.
inline constexpr core::duration loadBalancerLag = std::chrono::milliseconds{2300};
/// \brief Time by which a stopping process exits before the end of its grace period, after which it is killed.
inline constexpr core::duration shutdownMargin = std::chrono::milliseconds{700};
/// \brief Time before the end of a stopping process by which all requests are answered, so that the answers are sent.
inline constexpr core::duration finalAnswerMargin = std::chrono::milliseconds{200};
} // namespace poplarpass::host
