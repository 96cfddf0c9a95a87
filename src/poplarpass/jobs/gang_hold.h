#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace poplarpass::jobs::internal
{
/// \brief A gang step has to wait this long for room before other tasks are held back.
inline constexpr core::duration gangWaitBeforeHold = std::chrono::seconds{2};
/// \brief Longest time for which tasks are held back at once.
inline constexpr core::duration maxGangHold = std::chrono::seconds{2};
/// \brief Minimum time from the end of a hold to the next one in the same pool.
inline constexpr core::duration gangHoldPause = std::chrono::seconds{4};

/// \brief Decides when other tasks are held back from workers of a pool so that a gang finds room for all its members.
class gang_hold
{
public:
    /// \brief One step of one occurrence of a job.
    struct gang
    {
        job_id job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;

        auto operator<=>(const gang &) const = default;
    };

    /// \brief Removes gangs that no longer wait and ends a hold whose gang is among them or whose time is over.
    auto update(core::monotonic_time now, const std::function<bool(const gang &)> &stillWaits) -> void;

    /// \brief Handles a gang that may start and found no room.
    /// \returns whether a hold for it begins
    auto onNoRoom(const gang &waiting, core::monotonic_time now) -> bool;

    /// \brief Returns the gang for which tasks are held back now; nothing when there is none.
    [[nodiscard]] auto holder() const -> const std::optional<gang> &;

private:
    std::map<gang, core::monotonic_time> m_waitingSince;
    std::optional<gang> m_holder;
    core::monotonic_time m_holdUntil{};
    core::monotonic_time m_pausedUntil{};
};
} // namespace poplarpass::jobs::internal
