#include <poplarpass/request/constants.h>
#include <poplarpass/request/retry_budget.h>

#include <algorithm>

namespace poplarpass::request
{
retry_budget::retry_budget()
    : retry_budget{retryRatio, retryBurst}
{
}

retry_budget::retry_budget(double share, double burst)
    : m_share{share}
    , m_burst{burst}
    , m_tokens{burst}
{
}

auto retry_budget::recordFirstAttempt() -> void
{
    m_tokens = std::min(m_burst, m_tokens + m_share);
}

auto retry_budget::tryConsume() -> bool
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

auto retry_budget::tokens() const -> double
{
    return m_tokens;
}
} // namespace poplarpass::request
