#include <poplarpass/jobs/account_usage.h>

#include <cassert>

namespace poplarpass::jobs
{
auto account_usage::add(const account_id &account, const core::pool_id &pool, const resources &need) -> void
{
    auto &entry = m_entries[account];
    entry.total += need;
    entry.byPool[pool] += need;
}

auto account_usage::remove(const account_id &account, const core::pool_id &pool, const resources &need) -> void
{
    const auto found = m_entries.find(account);
    assert(found != m_entries.end());
    auto &inPool = found->second.byPool[pool];
    assert(inPool.holds(need));
    found->second.total -= need;
    inPool -= need;
}

auto account_usage::usageOf(const account_id &account) const -> resources
{
    const auto found = m_entries.find(account);
    return found == m_entries.end() ? resources{} : found->second.total;
}

auto account_usage::usageOf(const account_id &account, const core::pool_id &pool) const -> resources
{
    const auto found = m_entries.find(account);
    if (found == m_entries.end()) {
        return {};
    }
    const auto inPool = found->second.byPool.find(pool);
    return inPool == found->second.byPool.end() ? resources{} : inPool->second;
}
} // namespace poplarpass::jobs
