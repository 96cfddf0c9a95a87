#pragma once

#include <poplarpass/control/planning_view.h>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace poplarpass::control
{
/// \brief One host to move to another pool.
struct host_move
{
    core::host_id host; ///< Which host.
    core::pool_id from; ///< Pool that it leaves.
    core::pool_id to; ///< Pool that it joins.

    auto operator==(const host_move &) const -> bool = default;
};

/// \brief What a policy chooses moves from.
struct move_query
{
    const planning_view &view; ///< The fleet by pool.
    std::span<const fold::wave_state> waves; ///< Waves in order of their start.
    core::wall_time wallNow; ///< Wall time, for calendars.
    core::monotonic_time now; ///< Monotonic time, for hysteresis.
    std::function<bool(const fold::host_state &)> isUsable; ///< Whether a serving host may be taken at all.
};

/// \brief Chooses the moves that start now.
using move_policy = std::function<std::vector<host_move>(const move_query &)>;

/// \brief Slots that a pool's work needs, if known.
using demand_hook = std::function<std::optional<double>(const core::pool_id &)>;

/// \brief Baseline without forecast: borrows the first host that may go as soon as the demand of the moment exceeds the
/// pool, and gives it back as soon as it does not.
auto firstFitMoves(demand_hook currentSlots) -> move_policy;

/// \brief What the planner of moves takes from outside.
struct move_hooks
{
    /// \brief Slots that a pool's work is expected to need, if known; empty plans by the declared demand alone.
    demand_hook expectedSlots;
    /// \brief Whether maintenance is open; empty plans no moves for the sake of a wave.
    calendar_check calendarIsOpen;
};

/// \brief Slots that a pool needs beside those that the worst permitted loss would take.
struct pool_need
{
    int minimumSlots = 0; ///< The promise, and a host for a wave that could not go on otherwise.
    int expectedSlots = 0; ///< What the forecast asks with the profile's headroom; zero when there is none.
    int availableSlots = 0; ///< Serving slots and those on their way, less the worst permitted loss.
    bool isBelowRequired = false; ///< Whether the promise alone is not covered.

    /// \brief Slots that are missing; a forecast that is short by no more than \p tolerance does not count.
    [[nodiscard]] auto missingSlots(int tolerance) const -> int;
};

/// \brief Slots by which a forecast may stay uncovered rather than move a host of \p slots slots.
///
/// The greater the weight of moves, the more of a host's slots must be missing; promises have no such tolerance.
auto forecastTolerance(const config::planning_weights &weights, int slots) -> int;

/// \brief How long a borrowed host of \p slots slots stays once it is no longer needed.
///
/// It is kept until its idle slots have cost as much as the two moves that a return and another loan would cost, so
/// that both together never cost more than twice what knowing the future would have; bounded on both sides.
auto returnDelay(const config::planning_weights &weights, int slots) -> core::duration;

/// \brief Decides when pools borrow hosts, from spare pools first, and when they give them back.
///
/// Shortages and surpluses count only once they have lasted, so small swings make no moves.
/// \sa demand_forecast, host_controller
class move_planner
{
public:
    explicit move_planner(move_hooks hooks);

    /// \brief Moves that start now, at most one for each borrowing and one for each returning pool.
    auto choose(const move_query &query) -> std::vector<host_move>;

    /// \brief What \p pool needs and has, with hosts on their way to it counted.
    [[nodiscard]] auto needOf(const pool_view &pool, const move_query &query) const -> pool_need;

private:
    auto updateShortage(const pool_view &pool, const pool_need &need, const move_query &query) -> bool;
    auto chooseLoan(const pool_view &borrower, const move_query &query) const -> std::optional<host_move>;
    auto chooseReturn(const pool_view &pool, const move_query &query) -> std::optional<host_move>;
    [[nodiscard]] auto maySpare(const pool_view &pool, const fold::host_state &host, int marginPercent,
                                const move_query &query) const -> bool;
    [[nodiscard]] auto expectedSlots(const pool_view &pool) const -> int;
    [[nodiscard]] auto waveSlots(const pool_view &pool, const move_query &query) const -> int;

    move_hooks m_hooks;
    std::map<core::pool_id, core::monotonic_time> m_shortSince;
    std::map<core::host_id, core::monotonic_time> m_idleSince;
};
} // namespace poplarpass::control
