#include <poplarpass/jobs/gang_hold.h>

namespace poplarpass::jobs::internal
{
auto gang_hold::update(core::monotonic_time now, const std::function<bool(const gang &)> &stillWaits) -> void
{
    std::erase_if(m_waitingSince, [&](const auto &entry) { return !stillWaits(entry.first); });
    if (m_holder && (now >= m_holdUntil || !m_waitingSince.contains(*m_holder))) {
        m_holder.reset();
        m_pausedUntil = now + gangHoldPause;
    }
}

auto gang_hold::onNoRoom(const gang &waiting, core::monotonic_time now) -> bool
{
    const auto since = m_waitingSince.try_emplace(waiting, now).first->second;
    if (m_holder || now < m_pausedUntil || now - since < gangWaitBeforeHold) {
        return false;
    }
    m_holder = waiting;
    m_holdUntil = now + maxGangHold;
    return true;
}

auto gang_hold::holder() const -> const std::optional<gang> &
{
    return m_holder;
}
} // namespace poplarpass::jobs::internal
