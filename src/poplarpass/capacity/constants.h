#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>

namespace poplarpass::capacity
{
/// \brief Window over which arriving work is averaged.
inline constexpr core::duration offeredWindow = std::chrono::milliseconds{1200};
/// \brief Short window over which arriving work is averaged as well, to detect a sudden rise early.
inline constexpr core::duration burstWindow = std::chrono::milliseconds{200};
/// \brief Jobs that must arrive within burstWindow for its average to be used.
inline constexpr std::size_t minBurstJobs = 4;
/// \brief Factor by which the planned capacity of a pool exceeds its demand.
inline constexpr double headroom = 1.1;
/// \brief Hosts that a pool with workers or jobs keeps without any demand.
inline constexpr std::int64_t minPoolHosts = 1;
/// \brief Delay before a pool whose workers may not run its waiting steps gets another host; restarts with each host
/// added.
inline constexpr core::duration extraHostDelay = std::chrono::milliseconds{500};
/// \brief Maximum number of hosts that a pool gets for waiting steps that its workers may not run.
inline constexpr std::int64_t maxExtraHosts = 6;
/// \brief Idle time after which a host may be moved to another pool.
inline constexpr core::duration idleBeforeMove = std::chrono::milliseconds{300};
/// \brief Idle time after which a host that no pool needs is moved to standby.
inline constexpr core::duration idleBeforeStandby = std::chrono::milliseconds{2500};
/// \brief Time after the start of an owner during which no host is moved to standby while no short job has arrived.
inline constexpr core::duration startupStandbyDelay = std::chrono::seconds{20};
/// \brief Time after the first short job during which no host is moved to standby, within startupStandbyDelay.
inline constexpr core::duration firstJobStandbyDelay = std::chrono::seconds{4};
/// \brief Minimum time that a host stays in an active pool before it may move again.
inline constexpr core::duration minPoolResidence = std::chrono::milliseconds{1500};
/// \brief Time to drain and maintain one host, assumed when a wave is spread over its duration.
inline constexpr core::duration hostMaintenanceTime = std::chrono::milliseconds{5000};
/// \brief Maximum number of hosts of a wave out of service at once while the wave is on schedule.
inline constexpr std::size_t waveConcurrency = 5;
/// \brief Time before its deadline at which a wave is planned to end.
inline constexpr core::duration waveDeadlineMargin = std::chrono::milliseconds{2500};
/// \brief Time after a maintenance order from which a host listed as up has returned, even with the same worker.
inline constexpr core::duration maintenanceReturnTimeout = std::chrono::milliseconds{3000};
/// \brief Delay before a host that was not up gets the next order; the host list may show it as up for some time more.
inline constexpr core::duration busyHostRetryDelay = std::chrono::milliseconds{500};
/// \brief Time after an answer during which a worker is assumed to be the current worker of its host.
inline constexpr core::duration workerAnswerValidity = std::chrono::milliseconds{1800};
/// \brief Minimum time between two host lists without a worker before it is considered ended.
inline constexpr core::duration minUnhostedTime = std::chrono::milliseconds{800};
/// \brief Time after which the drain of a host for a move is abandoned.
inline constexpr core::duration moveDrainTimeout = std::chrono::milliseconds{4000};
/// \brief Time that a pool is short of hosts before hosts with long-running tasks are drained for it.
inline constexpr core::duration shortageBeforeEvacuation = std::chrono::seconds{6};
/// \brief Time that a pool lacks hosts for its long-running tasks before it gets hosts of pools that are short as well.
inline constexpr core::duration longRunningShortageDelay = std::chrono::milliseconds{1000};
/// \brief Time after the arrival of a host during which its worker is expected to begin to accept starts.
inline constexpr core::duration workerStartTime = std::chrono::milliseconds{1500};
/// \brief Maximum share of all hosts that move to other pools at once.
inline constexpr double maxMovingShare = 0.5;
} // namespace poplarpass::capacity
