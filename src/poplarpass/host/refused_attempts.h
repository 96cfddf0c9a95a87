#pragma once

#include <poplarpass/core/time.h>

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

namespace poplarpass::host
{
/// \brief Attempts that an owner refused for good, so that a late copy of one is refused again; bounded by number and
/// by age.
class refused_attempts
{
public:
    /// \brief Records \p attempt as refused.
    /// \returns false if it cannot be recorded: it has no identifier, or too many are recorded
    auto add(const std::string &attempt, core::monotonic_time now) -> bool;

    /// \brief Returns whether \p attempt is recorded.
    [[nodiscard]] auto contains(const std::string &attempt) const -> bool;

private:
    std::unordered_set<std::string> m_attempts;
    std::deque<std::pair<core::monotonic_time, std::string>> m_byAge;
};
} // namespace poplarpass::host
