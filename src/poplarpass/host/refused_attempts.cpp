#include <poplarpass/host/constants.h>
#include <poplarpass/host/refused_attempts.h>

namespace poplarpass::host
{
auto refused_attempts::add(const std::string &attempt, core::monotonic_time now) -> bool
{
    while (!m_byAge.empty() && now - m_byAge.front().first > refusedAttemptRetention) {
        m_attempts.erase(m_byAge.front().second);
        m_byAge.pop_front();
    }
    if (attempt.empty() || attempt.size() > maxAttemptLength) {
        return false;
    }
    if (m_attempts.contains(attempt)) {
        return true;
    }
    if (m_attempts.size() >= maxRefusedAttempts) {
        return false;
    }
    m_attempts.insert(attempt);
    m_byAge.emplace_back(now, attempt);
    return true;
}

auto refused_attempts::contains(const std::string &attempt) const -> bool
{
    return m_attempts.contains(attempt);
}
} // namespace poplarpass::host
