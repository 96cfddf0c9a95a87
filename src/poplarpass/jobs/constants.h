#pragma once

#include <poplarpass/core/time.h>

#include <cstddef>
#include <cstdint>

namespace poplarpass::jobs
{
/// \brief Maximum number of start orders for one run, retries included; after that the run is stopped.
inline constexpr std::uint32_t maxStartAttempts = 3;
/// \brief Term of the lease under which all runs of a worker execute, counted from each renewal.
inline constexpr core::duration workerLease = std::chrono::seconds{5};
/// \brief Lower bound on the rate of a worker's clock relative to real time.
inline constexpr double minWorkerClockRate = 0.98;
/// \brief Safety margin after the end of a lease before its runs are considered ended.
inline constexpr core::duration leaseMargin = std::chrono::milliseconds{100};
/// \brief Upper bound on workerLease in real time, on the slowest worker clock.
inline constexpr core::duration maxRealLease = std::chrono::milliseconds{5110};
/// \brief Upper bound on the longest lease that a worker grants, in real time on its slowest clock.
inline constexpr core::duration maxGrantedLease = std::chrono::milliseconds{10'210};
/// \brief Time after its sending by which a call to a worker has been carried out, or never will be. Calls whose answer
/// was lost are carried out up to this much later (docs/PLATFORM.md, "When calls arrive").
inline constexpr core::duration maxCallDelay = std::chrono::seconds{12};
/// \brief Time after which a start order without an answer is given up; it leaves its host before that.
inline constexpr core::duration maxStartTimeout = std::chrono::milliseconds{900};
/// \brief Time after the restart of a worker by which its owner has heard of it or has stopped sending it leases: the
/// longest poll, its timeout and the next attempt.
inline constexpr core::duration maxRestartNotice = std::chrono::seconds{3};
/// \brief The remaining lease of an unresponsive worker is recorded again each time it has shrunk by this.
inline constexpr std::chrono::milliseconds leaseRecordStep{1000};
/// \brief A worker that has not responded for this long gets no starts.
inline constexpr core::duration workerResponseTimeout = std::chrono::milliseconds{3500};
/// \brief A run has ended at the latest this long after the worker confirmed its stop.
inline constexpr core::duration maxStopTime = std::chrono::milliseconds{600};
/// \brief Interval between checks for slow runs.
inline constexpr core::duration stragglerPeriod = std::chrono::milliseconds{200};
/// \brief Minimum age of a run before it is checked for slowness.
inline constexpr core::duration minStragglerAge = std::chrono::milliseconds{700};
/// \brief A run is a straggler when its remaining time exceeds this many times the typical time of a whole run
/// elsewhere.
inline constexpr double stragglerFactor = 2.0;
/// \brief A long-running task without a run for this long is started elsewhere though a start of it may be carried out
/// on a worker that takes no starts.
inline constexpr core::duration maxOpenStartWait = std::chrono::seconds{6};
/// \brief A long-running task that is not ready after this time is started elsewhere.
inline constexpr core::duration readinessTimeout = std::chrono::milliseconds{3500};
/// \brief Maximum number of relocations of one task for slowness.
inline constexpr std::uint32_t maxRelocations = 2;
/// \brief Pause of starts on a worker with a straggler.
inline constexpr core::duration slowWorkerPause = std::chrono::milliseconds{1500};
/// \brief Maximum number of workers in one advice request.
inline constexpr std::size_t maxWorkersPerAdviceRequest = 30;
/// \brief Maximum number of advice requests without an answer: one that is worked on, and the next one.
inline constexpr std::size_t maxAdviceRequestsInFlight = 2;
/// \brief While steps wait for advice, a step asks about this many workers more than it has waiting tasks.
inline constexpr std::uint32_t spareAdvisedWorkers = 2;
/// \brief Delay before an unanswered advice request is repeated.
inline constexpr core::duration adviceRetryDelay = std::chrono::milliseconds{300};
/// \brief Best-effort tasks are paused when a serving task's tail latency reaches this share of its target.
inline constexpr double paceDownTail = 0.9;
/// \brief Best-effort tasks speed up again while all tail latencies are at most this share of their targets.
inline constexpr double paceUpTail = 0.6;
/// \brief Increment of the pace of best-effort tasks, percent.
inline constexpr std::uint32_t paceStep = 25;
/// \brief Pace of a task that is not throttled, percent.
inline constexpr std::uint32_t fullPace = 100;
/// \brief Minimum time between two increments of the pace.
inline constexpr core::duration paceStepInterval = std::chrono::seconds{1};
/// \brief Interval between two stop orders for the same run.
inline constexpr core::duration stopRetryInterval = std::chrono::milliseconds{500};
/// \brief Pause of starts on a worker that rejected one for lack of resources.
inline constexpr core::duration noRoomRetryDelay = std::chrono::milliseconds{150};
/// \brief Pause of starts on a worker that was unreachable or rejected a start as unhealthy, malformed or fenced.
inline constexpr core::duration unhealthyPause = std::chrono::milliseconds{1000};
/// \brief First pause of a worker whose runs fail; doubled with each further consecutive failure.
inline constexpr core::duration initialFailurePause = std::chrono::milliseconds{250};
/// \brief Longest pause of a worker whose runs fail.
inline constexpr core::duration maxFailurePause = std::chrono::seconds{4};
/// \brief A run that its worker has executed for this long is not suspected of having crashed it by its start.
inline constexpr core::duration startCrashWindow = std::chrono::milliseconds{250};
/// \brief The same for a task under which lateCrashesBeforeObservation workers crashed.
inline constexpr core::duration lateCrashWindow = std::chrono::seconds{2};
/// \brief Number of workers that may crash during a task's runs before it is suspected of crashing them late.
inline constexpr std::uint32_t lateCrashesBeforeObservation = 3;
/// \brief When the contact to a worker is lost this soon after it began a run, the run had not ended before.
inline constexpr core::duration certainCrashWindow = std::chrono::milliseconds{200};
/// \brief Number of workers that surely crash under a task, soon after its start, before it is given up.
inline constexpr std::uint32_t certainCrashesBeforeGivingUp = 2;
/// \brief Number of workers that crash when only runs of the task's own job have just begun there, certainly during the
/// run or not, before it is given up.
inline constexpr std::uint32_t likelyCrashesBeforeGivingUp = 3;
/// \brief Number of crashes and silent workers under a task from which its start after a silence is delayed.
inline constexpr std::uint32_t possibleCrashesBeforeDelay = 3;
/// \brief That delay.
inline constexpr core::duration silenceStartDelay = std::chrono::milliseconds{2500};
/// \brief Number of crashes and silent workers under a task that ends by itself from which it waits until a silent
/// worker answers or is forgotten.
inline constexpr std::uint32_t possibleCrashesBeforeHold = 5;
/// \brief Number of further crashes before a long-running task is given up.
inline constexpr std::uint32_t furtherCrashesOfLongRunning = 1;
/// \brief Time for which a worker is reserved for the observed start of a job's tasks, at first until they start and
/// then until the starts are acknowledged.
inline constexpr core::duration reservationTime = std::chrono::seconds{2};
/// \brief Time for which it is remembered which tasks may have caused a crash, and which workers fell silent.
inline constexpr core::duration crashMemory = std::chrono::seconds{60};
/// \brief Time within which the crash of a worker is noticed by its closed connection.
inline constexpr core::duration crashNoticeDelay = std::chrono::milliseconds{100};
/// \brief Share of a pool's workers, one over this number and rounded up, that may be reserved for observed starts.
inline constexpr std::size_t reservedWorkersDivisor = 4;
/// \brief Consecutive failed runs on a worker, of any tasks, after which starts on it pause.
inline constexpr std::uint32_t failuresBeforePause = 2;
/// \brief A run with less time left is not stopped to resume elsewhere: the stop and the resumption take as long.
inline constexpr core::duration minSuspendedRunTime = std::chrono::milliseconds{500};
/// \brief A run that exceeds its expected run time without reported progress is assumed to have this part of it left.
inline constexpr int overdueDivisor = 4;
/// \brief Minimum delay before an ended long-running task is started again.
inline constexpr core::duration restartDelay = std::chrono::milliseconds{50};
/// \brief A report that lists at least this many ends may be truncated.
inline constexpr std::size_t maxEndsPerReport = 500;
/// \brief A worker that lists this many ends gets no starts, so that its reports stay complete.
inline constexpr std::size_t maxUnacknowledgedEnds = maxEndsPerReport / 2;
/// \brief A task that waits for its account's cap keeps others of the account from starting for at most this long while
/// the account uses less than half of its cap. They have to start within 3 s (docs/design/ACCOUNTS.md, requirement 6).
inline constexpr core::duration maxCapHold = std::chrono::seconds{2};
/// \brief A task that may start and has no run for this long is logged.
inline constexpr core::duration longWait = std::chrono::seconds{3};
/// \brief Interval between checks for such tasks.
inline constexpr core::duration waitCheckPeriod = std::chrono::seconds{1};
/// \brief Maximum number of lines about them in one check; those of long-running tasks come first.
inline constexpr std::size_t maxWaitLinesPerCheck = 20;
/// \brief Time for which the tasks of a settled job stay in memory.
inline constexpr core::duration settledTaskRetention = std::chrono::seconds{3};
/// \brief Maximum number of jobs that are remembered as cancelled before any submission of them arrived.
inline constexpr std::size_t maxUnsubmittedJobs = 20'000;
/// \brief Minimum time for which an ended job stays in memory.
inline constexpr core::duration endedJobRetention = std::chrono::seconds{150};
} // namespace poplarpass::jobs
