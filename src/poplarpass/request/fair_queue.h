#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

namespace poplarpass::request
{
/// \brief FIFO queues of many teams, served in proportion to the teams' weights (start-time fair queueing).
class fair_queue
{
public:
    /// \brief Sets the weight of a team; the default is 1.
    auto setWeight(std::uint32_t team, double weight) -> void;
    /// \brief Appends an item with a cost of \p seconds slot-seconds.
    auto push(std::uint32_t team, std::uint64_t item, double seconds) -> void;
    /// \brief Returns a popped item to the head of its team's queue and refunds its cost to the team.
    auto pushFront(std::uint32_t team, std::uint64_t item, double seconds) -> void;
    /// \brief Returns the item that pop() would return.
    [[nodiscard]] auto front() const -> std::optional<std::uint64_t>;
    /// \brief Removes and returns the first item of the team with the least virtual start time.
    auto pop() -> std::optional<std::uint64_t>;
    /// \brief Removes an item from any position.
    /// \pre the item is in the queue with that team and cost
    auto remove(std::uint32_t team, std::uint64_t item, double seconds) -> void;
    /// \brief Excludes a team from front() and pop() while it is at its limit of running jobs.
    auto setCapped(std::uint32_t team, bool capped) -> void;

    /// \brief Returns the number of queued items.
    [[nodiscard]] auto size() const -> std::size_t;
    /// \brief Returns whether a team that is not capped has queued items.
    [[nodiscard]] auto eligible() const -> bool;
    /// \brief Returns the total cost of the queued items, in slot-seconds.
    [[nodiscard]] auto seconds() const -> double;
    /// \brief Returns the cost of the queued items of one team, in slot-seconds.
    [[nodiscard]] auto secondsOf(std::uint32_t team) const -> double;
    /// \brief Returns the sum of the weights of \p team and of all other teams with queued items.
    [[nodiscard]] auto activeWeightWith(std::uint32_t team) const -> double;
    [[nodiscard]] auto weightOf(std::uint32_t team) const -> double;

private:
    struct entry
    {
        std::uint64_t item = 0;
        double seconds = 0.0;
    };

    struct team_queue
    {
        std::deque<entry> entries;
        std::size_t liveCount = 0;
        double weight = 1.0;
        double seconds = 0.0;
        double virtualStart = 0.0;
        bool capped = false;
        bool ready = false;
    };

    auto queueOf(std::uint32_t team) -> team_queue &;
    auto markReady(std::uint32_t team) -> void;
    auto markIdle(std::uint32_t team) -> void;
    auto updateTotals(team_queue &queue, double seconds, bool added) -> void;
    auto eraseRemoved(team_queue &queue) -> void;

    std::vector<team_queue> m_teams;
    std::set<std::pair<double, std::uint32_t>> m_ready;
    std::unordered_set<std::uint64_t> m_removed;
    double m_virtualTime = 0.0;
    double m_activeWeight = 0.0;
    double m_seconds = 0.0;
    std::size_t m_size = 0;
};
} // namespace poplarpass::request
