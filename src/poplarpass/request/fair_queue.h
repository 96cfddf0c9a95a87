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
/// \brief First-in-first-out queues of many teams, served in proportion to their weights (start-time fair queueing).
class fair_queue
{
public:
    /// \brief Sets the weight of a team; 1 if never set.
    auto setWeight(std::uint32_t team, double weight) -> void;
    /// \brief Adds an item that costs \p seconds of a slot.
    auto push(std::uint32_t team, std::uint64_t item, double seconds) -> void;
    /// \brief Puts an item that was popped back to the head of its team, and gives the team its cost back.
    auto pushFront(std::uint32_t team, std::uint64_t item, double seconds) -> void;
    /// \brief Item that pop() would give.
    [[nodiscard]] auto front() const -> std::optional<std::uint64_t>;
    /// \brief Takes the first item of the team that is owed most.
    auto pop() -> std::optional<std::uint64_t>;
    /// \brief Takes an item out wherever it stands.
    /// \pre the item is in the queue with that team and cost
    auto remove(std::uint32_t team, std::uint64_t item, double seconds) -> void;
    /// \brief Leaves a team out of front() and pop() while it has as many jobs running as it may.
    auto setCapped(std::uint32_t team, bool capped) -> void;

    /// \brief Items waiting.
    [[nodiscard]] auto size() const -> std::size_t;
    /// \brief Items waiting of teams that are not capped.
    [[nodiscard]] auto eligible() const -> bool;
    /// \brief Slot-seconds waiting.
    [[nodiscard]] auto seconds() const -> double;
    /// \brief Slot-seconds waiting of one team.
    [[nodiscard]] auto secondsOf(std::uint32_t team) const -> double;
    /// \brief Sum of the weights of the teams that wait, counting \p team in any case.
    [[nodiscard]] auto activeWeightWith(std::uint32_t team) const -> double;
    /// \brief Weight of one team.
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
        std::size_t live = 0;
        double weight = 1.0;
        double seconds = 0.0;
        double startTime = 0.0;
        bool capped = false;
        bool ready = false;
    };

    auto at(std::uint32_t team) -> team_queue &;
    auto makeReady(std::uint32_t team) -> void;
    auto makeIdle(std::uint32_t team) -> void;
    auto account(team_queue &queue, double seconds, bool added) -> void;
    auto dropRemoved(team_queue &queue) -> void;

    std::vector<team_queue> m_teams;
    std::set<std::pair<double, std::uint32_t>> m_ready;
    std::unordered_set<std::uint64_t> m_removed;
    double m_virtualTime = 0.0;
    double m_activeWeight = 0.0;
    double m_seconds = 0.0;
    std::size_t m_size = 0;
};
} // namespace poplarpass::request
