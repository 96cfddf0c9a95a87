#include <poplarpass/request/fair_queue.h>

#include <algorithm>

namespace poplarpass::request
{
namespace
{
constexpr std::size_t maxLazyRemovals = 32;
} // namespace

auto fair_queue::setWeight(std::uint32_t team, double weight) -> void
{
    auto &queue = queueOf(team);
    if (queue.liveCount > 0) {
        m_activeWeight += weight - queue.weight;
    }
    queue.weight = weight;
}

auto fair_queue::push(std::uint32_t team, std::uint64_t item, double seconds) -> void
{
    auto &queue = queueOf(team);
    queue.entries.push_back({item, seconds});
    updateTotals(queue, seconds, true);
    markReady(team);
}

auto fair_queue::pushFront(std::uint32_t team, std::uint64_t item, double seconds) -> void
{
    markIdle(team);
    auto &queue = queueOf(team);
    queue.virtualStart -= seconds / queue.weight;
    queue.entries.push_front({item, seconds});
    updateTotals(queue, seconds, true);
    markReady(team);
}

auto fair_queue::front() const -> std::optional<std::uint64_t>
{
    if (m_ready.empty()) {
        return std::nullopt;
    }
    return m_teams[m_ready.begin()->second].entries.front().item;
}

auto fair_queue::pop() -> std::optional<std::uint64_t>
{
    if (m_ready.empty()) {
        return std::nullopt;
    }
    const auto team = m_ready.begin()->second;
    auto &queue = m_teams[team];
    m_virtualTime = std::max(m_virtualTime, queue.virtualStart);
    markIdle(team);
    const auto first = queue.entries.front();
    queue.entries.pop_front();
    queue.virtualStart += first.seconds / queue.weight;
    updateTotals(queue, first.seconds, false);
    eraseRemoved(queue);
    if (queue.liveCount > 0) {
        markReady(team);
    }
    return first.item;
}

// The entry is erased lazily, at the head or when many have been removed, so that a burst of cancellations stays cheap.
auto fair_queue::remove(std::uint32_t team, std::uint64_t item, double seconds) -> void
{
    auto &queue = queueOf(team);
    m_removed.insert(item);
    updateTotals(queue, seconds, false);
    eraseRemoved(queue);
    if (queue.liveCount == 0) {
        markIdle(team);
    }
}

auto fair_queue::setCapped(std::uint32_t team, bool capped) -> void
{
    auto &queue = queueOf(team);
    if (queue.capped == capped) {
        return;
    }
    queue.capped = capped;
    if (capped) {
        markIdle(team);
    } else {
        markReady(team);
    }
}

auto fair_queue::size() const -> std::size_t
{
    return m_size;
}

auto fair_queue::eligible() const -> bool
{
    return !m_ready.empty();
}

auto fair_queue::seconds() const -> double
{
    return m_seconds;
}

auto fair_queue::secondsOf(std::uint32_t team) const -> double
{
    return team < m_teams.size() ? m_teams[team].seconds : 0.0;
}

auto fair_queue::activeWeightWith(std::uint32_t team) const -> double
{
    const bool counted = team < m_teams.size() && m_teams[team].liveCount > 0;
    return m_activeWeight + (counted ? 0.0 : weightOf(team));
}

auto fair_queue::weightOf(std::uint32_t team) const -> double
{
    return team < m_teams.size() ? m_teams[team].weight : 1.0;
}

auto fair_queue::queueOf(std::uint32_t team) -> team_queue &
{
    if (team >= m_teams.size()) {
        m_teams.resize(team + 1);
    }
    return m_teams[team];
}

// A team that was idle starts at the current virtual time: it accrues no credit for slots that it did not use.
auto fair_queue::markReady(std::uint32_t team) -> void
{
    auto &queue = queueOf(team);
    if (queue.ready || queue.capped || queue.liveCount == 0) {
        return;
    }
    queue.virtualStart = std::max(queue.virtualStart, m_virtualTime);
    m_ready.emplace(queue.virtualStart, team);
    queue.ready = true;
}

auto fair_queue::markIdle(std::uint32_t team) -> void
{
    auto &queue = queueOf(team);
    if (queue.ready) {
        m_ready.erase({queue.virtualStart, team});
        queue.ready = false;
    }
}

auto fair_queue::updateTotals(team_queue &queue, double seconds, bool added) -> void
{
    const bool wasActive = queue.liveCount > 0;
    queue.liveCount = added ? queue.liveCount + 1 : queue.liveCount - 1;
    m_size = added ? m_size + 1 : m_size - 1;
    queue.seconds = queue.liveCount > 0 ? queue.seconds + (added ? seconds : -seconds) : 0.0;
    m_seconds = m_size > 0 ? m_seconds + (added ? seconds : -seconds) : 0.0;
    const bool isActive = queue.liveCount > 0;
    if (wasActive != isActive) {
        m_activeWeight += isActive ? queue.weight : -queue.weight;
    }
}

auto fair_queue::eraseRemoved(team_queue &queue) -> void
{
    while (!queue.entries.empty() && m_removed.erase(queue.entries.front().item) > 0) {
        queue.entries.pop_front();
    }
    if (queue.entries.size() > 2 * queue.liveCount + maxLazyRemovals) {
        std::erase_if(queue.entries, [this](const entry &candidate) { return m_removed.erase(candidate.item) > 0; });
    }
}
} // namespace poplarpass::request
