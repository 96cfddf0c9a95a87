#include <poplarpass/net/memory_budget.h>

#include <bit>
#include <utility>

namespace poplarpass::net::internal
{
namespace
{
// Sizes are compared by powers of two, so that a crowd whose requests are a little smaller than another caller's does
// not displace that caller.
auto givesWayBefore(const memory_budget::holding &first, const memory_budget::holding &second) -> bool
{
    const auto rankOf = [](const memory_budget::holding &held) {
        const bool isFirst = held.order == memory_budget::release_order::first;
        return std::pair{isFirst, isFirst ? 0 : std::bit_width(held.bytes)};
    };
    const auto firstRank = rankOf(first);
    const auto secondRank = rankOf(second);
    return firstRank != secondRank ? firstRank > secondRank : first.since < second.since;
}
} // namespace

memory_budget::memory_budget(std::size_t maxBytes)
    : m_maxBytes{maxBytes}
{
}

auto memory_budget::set(holder_id holder, const holding &held) -> void
{
    auto &entry = m_holders[holder];
    m_heldBytes = m_heldBytes - entry.bytes + held.bytes;
    entry = held;
}

auto memory_budget::remove(holder_id holder) -> void
{
    const auto found = m_holders.find(holder);
    if (found != m_holders.end()) {
        m_heldBytes -= found->second.bytes;
        m_holders.erase(found);
    }
}

auto memory_budget::heldBytes() const -> std::size_t
{
    return m_heldBytes;
}

auto memory_budget::isExceeded() const -> bool
{
    return m_heldBytes > m_maxBytes;
}

auto memory_budget::nextToRelease() const -> std::optional<holder_id>
{
    const std::pair<const holder_id, holding> *next = nullptr;
    for (const auto &entry : m_holders) {
        if (entry.second.order != release_order::never
            && (next == nullptr || givesWayBefore(entry.second, next->second))) {
            next = &entry;
        }
    }
    return next == nullptr ? std::nullopt : std::optional{next->first};
}
} // namespace poplarpass::net::internal
