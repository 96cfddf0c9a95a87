#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>

namespace poplarpass::jobs
{
/// \brief Orders to start one run, the repeats of unanswered ones included, before the run is closed.
inline constexpr std::uint32_t maxStartAttempts = 3;
/// \brief Lease of everything that runs on a worker, from each renewal.
inline constexpr core::duration workerLease = std::chrono::seconds{5};
/// \brief A worker's clock advances by at least this share of real time.
inline constexpr double minWorkerClockRate = 0.98;
/// \brief Added to the end of a lease before its runs count as ended.
inline constexpr core::duration leaseMargin = std::chrono::milliseconds{100};
/// \brief The same in real time, on a worker's slowest clock.
inline constexpr core::duration maxRealLease = std::chrono::milliseconds{5110};
/// \brief Longest lease that a worker grants, in real time on its slowest clock.
inline constexpr core::duration maxGrantedLease = std::chrono::milliseconds{10'210};
/// \brief The rest of a silent worker's lease is recorded again each time it has shrunk by this.
inline constexpr std::chrono::milliseconds leaseRecordStep{1000};
/// \brief A worker that has not answered for this long gets no starts.
inline constexpr core::duration workerResponseTimeout = std::chrono::milliseconds{3500};
/// \brief A run that was told to stop has ended after this.
inline constexpr core::duration maxStopTime = std::chrono::milliseconds{600};
/// \brief Between looks for runs that are slow.
inline constexpr core::duration stragglerPeriod = std::chrono::milliseconds{200};
/// \brief A run is not judged before this.
inline constexpr core::duration stragglerAge = std::chrono::milliseconds{700};
/// \brief A run is given up when what is left of it takes this many times what a whole run takes elsewhere.
inline constexpr double stragglerFactor = 2.0;
/// \brief A long-running task that has not come to work for this long starts elsewhere.
inline constexpr core::duration readinessTimeout = std::chrono::milliseconds{3500};
/// \brief Times that a task is given up for being slow at most.
inline constexpr std::uint32_t maxRelocations = 2;
/// \brief A worker with a slow run gets no starts for this long.
inline constexpr core::duration slowWorkerPause = std::chrono::milliseconds{1500};
/// \brief Workers that one question for advice names at most.
inline constexpr std::size_t maxWorkersPerAdviceRequest = 30;
/// \brief Between questions for advice when one was not answered.
inline constexpr core::duration adviceRetryDelay = std::chrono::milliseconds{300};
/// \brief Tasks that fill stop when a serving task's tail reaches this share of its target.
inline constexpr double paceDownTail = 0.9;
/// \brief They come back while all tails are below this share.
inline constexpr double paceUpTail = 0.6;
/// \brief Share by which they come back, percent.
inline constexpr std::uint32_t paceStep = 25;
/// \brief Share of a task that is not held back, percent.
inline constexpr std::uint32_t fullPace = 100;
/// \brief Between two steps back.
inline constexpr core::duration paceStepInterval = std::chrono::seconds{1};
/// \brief Between two stops of the same run.
inline constexpr core::duration stopRetryInterval = std::chrono::milliseconds{500};
/// \brief A start that the worker had no room for is tried again after this.
inline constexpr core::duration noRoomRetryDelay = std::chrono::milliseconds{150};
/// \brief A worker that refused a start without doing anything gets no other for this long.
inline constexpr core::duration unhealthyPause = std::chrono::milliseconds{1000};
/// \brief First pause of a worker whose runs fail; doubled with each further failure in a row.
inline constexpr core::duration initialFailurePause = std::chrono::milliseconds{250};
/// \brief Longest pause of a worker whose runs fail.
inline constexpr core::duration maxFailurePause = std::chrono::seconds{4};
/// \brief Failures in a row, of different tasks, after which a worker pauses.
inline constexpr std::uint32_t failuresBeforePause = 2;
/// \brief A long-running task that ended starts again no sooner than this.
inline constexpr core::duration restartDelay = std::chrono::milliseconds{50};
/// \brief Ends that a worker lists at once; a longer list may be cut off.
inline constexpr std::size_t maxEndsPerReport = 500;
/// \brief The tasks of an ended job are kept for this long.
inline constexpr core::duration settledTaskRetention = std::chrono::seconds{3};
/// \brief A job is kept for this long after its end at least.
inline constexpr core::duration endedJobRetention = std::chrono::seconds{150};
} // namespace poplarpass::jobs
