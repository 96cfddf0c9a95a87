#include "usage_history.h"

namespace standins
{
auto usage_history::record(steady_time now, int value) -> void
{
    m_samples.push_back({now, value});
}

auto usage_history::valueAt(steady_time now, std::chrono::milliseconds lag) -> int
{
    while (!m_samples.empty() && m_samples.front().time <= now - lag) {
        m_reported = m_samples.front().value;
        m_samples.pop_front();
    }
    return m_reported;
}
} // namespace standins
