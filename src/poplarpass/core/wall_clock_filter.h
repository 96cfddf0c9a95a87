#pragma once

#include <poplarpass/core/time.h>

#include <optional>

namespace poplarpass::core
{
/// \brief Difference between two readings of the time of day beyond which it has been stepped.
inline constexpr duration minClockStep = std::chrono::milliseconds{250};
/// \brief Time after which a step of the time of day is accepted as a correction.
inline constexpr duration clockStepAcceptance = std::chrono::seconds{60};

/// \brief Wall time that ignores short-lived steps of the time of day.
///
/// Follows the monotonic clock from the first reading on. Small deviations are adopted at once, a step only after it
/// has lasted for clockStepAcceptance.
class wall_clock_filter
{
public:
    /// \brief Returns the wall time at \p now.
    /// \param reading time of day read at \p now
    auto update(monotonic_time now, wall_time reading) -> wall_time;

    /// \brief Returns how far the last reading was ahead of the returned wall time; zero unless it was stepped.
    [[nodiscard]] auto step() const -> duration;

private:
    std::optional<duration> m_offset; ///< Wall time minus monotonic time.
    std::optional<monotonic_time> m_steppedAt; ///< When the current step was first seen.
    duration m_step{0};
};
} // namespace poplarpass::core
