#pragma once

#include <poplarpass/core/time.h>

namespace poplarpass::store
{
/// \brief Upper bound on the delay before an append without an answer is repeated.
inline constexpr core::duration maxRepeatDelay = std::chrono::milliseconds{800};
/// \brief Lower bound on that delay: answers that wait behind others in a busy process are not lost.
inline constexpr core::duration minRepeatDelay = std::chrono::milliseconds{60};

/// \brief Estimates from the answers to appends when an answer is overdue.
///
/// Answers the load of a store that loses answers or turns slow: a lost answer should cost little more than an answer
/// takes, but a store that is only slow should not get its appends twice.
class append_latency
{
public:
    /// \brief Records that an append was answered \p latency after it was sent.
    auto record(core::duration latency) -> void;

    /// \brief Returns the time after which an append is repeated that was sent \p copies times, at least once.
    [[nodiscard]] auto repeatDelay(unsigned copies) const -> core::duration;

private:
    bool m_known = false; ///< Whether any answer was recorded.
    core::duration m_mean{0}; ///< Moving average of the latency.
    core::duration m_deviation{0}; ///< Moving average of its absolute deviation.
};
} // namespace poplarpass::store
