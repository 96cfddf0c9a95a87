#include <poplarpass/core/wall_clock_filter.h>

namespace poplarpass::core
{
auto wall_clock_filter::update(monotonic_time now, wall_time reading) -> wall_time
{
    const auto offset = reading.time_since_epoch() - now.time_since_epoch();
    m_step = offset - m_offset.value_or(offset);
    if (std::chrono::abs(m_step) < minClockStep) {
        m_step = duration{0};
    }
    if (m_step == duration{0}) {
        m_steppedAt.reset();
    } else if (!m_steppedAt) {
        m_steppedAt = now;
    }
    const bool isLasting = m_steppedAt && now - *m_steppedAt >= clockStepAcceptance;
    if (!m_steppedAt || isLasting) {
        m_offset = offset;
        m_step = duration{0};
        m_steppedAt.reset();
    }
    return wall_time{now.time_since_epoch() + *m_offset};
}

auto wall_clock_filter::step() const -> duration
{
    return m_step;
}
} // namespace poplarpass::core
