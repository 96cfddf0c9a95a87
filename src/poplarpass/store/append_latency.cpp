#include <poplarpass/store/append_latency.h>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace poplarpass::store
{
namespace
{
// Weights of a new answer and of the deviation, as in the retransmission timer of TCP (RFC 6298).
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationFactor = 4;
constexpr unsigned maxDoublings = 8;
} // namespace

auto append_latency::record(core::duration latency) -> void
{
    if (!m_known) {
        m_known = true;
        m_mean = latency;
        m_deviation = latency / 2;
        return;
    }
    const auto difference = latency - m_mean;
    m_deviation += (std::chrono::abs(difference) - m_deviation) / deviationDivisor;
    m_mean += difference / meanDivisor;
}

auto append_latency::repeatDelay(unsigned copies) const -> core::duration
{
    assert(copies > 0);
    if (!m_known) {
        return maxRepeatDelay;
    }
    const auto usual =
        std::clamp<core::duration>(m_mean + deviationFactor * m_deviation, minRepeatDelay, maxRepeatDelay);
    return std::min<core::duration>(usual * (1U << std::min(copies - 1, maxDoublings)), maxRepeatDelay);
}
} // namespace poplarpass::store
