#include <poplarpass/core/rendezvous.h>
#include <poplarpass/replication/recent_ids.h>

#include <algorithm>
#include <cassert>

namespace poplarpass::replication
{
namespace
{
auto digestOf(const recent_record &seen) -> std::uint64_t
{
    return core::stableHash(seen.id.str(), seen.offset * 2 + (seen.accepted ? 1 : 0));
}
} // namespace

auto recent_ids::add(recent_record seen) -> void
{
    assert(find(seen.id) == nullptr);
    m_digest += digestOf(seen);
    m_offsets.emplace(seen.id, seen.offset);
    m_ids.push_back(std::move(seen));
    if (m_ids.size() > maxRecentIds) {
        m_digest -= digestOf(m_ids.front());
        m_offsets.erase(m_ids.front().id);
        m_ids.pop_front();
    }
}

auto recent_ids::find(const core::record_id &id) const -> const recent_record *
{
    const auto existing = m_offsets.find(id);
    if (existing == m_offsets.end()) {
        return nullptr;
    }
    return &*std::ranges::lower_bound(m_ids, existing->second, {}, &recent_record::offset);
}

auto recent_ids::all() const -> const std::deque<recent_record> &
{
    return m_ids;
}

auto recent_ids::digest() const -> std::uint64_t
{
    return m_digest;
}
} // namespace poplarpass::replication
