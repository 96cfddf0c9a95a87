#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>

namespace poplarpass::capacity
{
/// \brief Window over which arriving work is averaged.
inline constexpr core::duration offeredWindow = std::chrono::milliseconds{1200};
/// \brief Window in which the rise of a turn shows first.
inline constexpr core::duration burstWindow = std::chrono::milliseconds{200};
/// \brief Jobs that must have come in the rise window for it to count.
inline constexpr std::size_t minBurstJobs = 4;
/// \brief A pool is given this share more than it needs.
inline constexpr double headroom = 1.1;
/// \brief A pool whose workers may not run what waits gets another host after this, and again after it came.
inline constexpr core::duration extraHostDelay = std::chrono::milliseconds{500};
/// \brief Hosts that a pool gets for that reason at most.
inline constexpr std::int64_t maxExtraHosts = 6;
/// \brief A host without work for this long may be taken for another pool.
inline constexpr core::duration idleBeforeMove = std::chrono::milliseconds{300};
/// \brief A host without work for this long, needed by no pool, is put on standby.
inline constexpr core::duration idleBeforeStandby = std::chrono::milliseconds{2500};
/// \brief Time after the start of an owner in which no host is put on standby while no work has come.
inline constexpr core::duration startupStandbyDelay = std::chrono::seconds{20};
/// \brief Time after the first work in which no host is put on standby.
inline constexpr core::duration firstJobStandbyDelay = std::chrono::seconds{4};
/// \brief A host that came to a pool stays there this long at least.
inline constexpr core::duration minPoolResidence = std::chrono::milliseconds{1500};
/// \brief Time to drain and maintain one host, as a wave is spread over its duration.
inline constexpr core::duration hostMaintenanceTime = std::chrono::milliseconds{5000};
/// \brief Hosts of a wave out at once while there is time.
inline constexpr std::size_t waveConcurrency = 5;
/// \brief A wave is planned to end this long before its time is over.
inline constexpr core::duration waveDeadlineMargin = std::chrono::milliseconds{2500};
/// \brief A host that is listed as up this long after its maintenance was ordered is back, also with the same worker.
inline constexpr core::duration maintenanceReturnTimeout = std::chrono::milliseconds{3000};
/// \brief A worker that answered this long ago is still the worker of its host.
inline constexpr core::duration workerAnswerValidity = std::chrono::milliseconds{1800};
/// \brief A host that could not be drained for a move within this time stays.
inline constexpr core::duration moveDrainTimeout = std::chrono::milliseconds{4000};
/// \brief Hosts with long-running tasks are emptied for a pool that has been short of hosts for this long.
inline constexpr core::duration shortageBeforeEvacuation = std::chrono::seconds{6};
/// \brief Share of all hosts that are on their way to other pools at once, at most.
inline constexpr double maxMovingShare = 0.5;
} // namespace poplarpass::capacity
