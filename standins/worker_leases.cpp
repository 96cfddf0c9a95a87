#include "worker_leases.h"

namespace standins
{
worker_leases::worker_leases(std::chrono::milliseconds term)
    : m_term{term}
{
}

auto worker_leases::grant(steady_time now) -> std::uint64_t
{
    std::erase_if(m_expiries, [now](const auto &entry) { return entry.second <= now; });
    const auto id = ++m_lastId;
    m_expiries.emplace(id, now + m_term);
    return id;
}

auto worker_leases::isValid(std::uint64_t grantId, steady_time now) const -> bool
{
    const auto found = m_expiries.find(grantId);
    return found != m_expiries.end() && now < found->second;
}

// The id counter is not reset, so that the id of a revoked grant is never reused.
auto worker_leases::revokeAll() -> void
{
    m_expiries.clear();
}
} // namespace standins
