#pragma once

#include <poplarpass/control/planning_view.h>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace poplarpass::control
{
/// \brief Move of one host to another pool.
struct host_move
{
    core::host_id host;
    core::pool_id from;
    core::pool_id to;

    auto operator==(const host_move &) const -> bool = default;
};

/// \brief Input of a move policy.
struct move_query
{
    const planning_view &view; ///< The fleet by pool.
    std::span<const replication::wave_state> waves; ///< Waves ordered by start.
    core::wall_time wallNow; ///< Wall time, for calendars.
    core::monotonic_time now; ///< Monotonic time, for hysteresis.
    std::function<bool(const replication::host_state &)> isUsable; ///< Whether a serving host may be taken out.
};

/// \brief Selects the moves that start now.
using move_policy = std::function<std::vector<host_move>(const move_query &)>;

/// \brief Returns the slots that a pool needs, if known.
using demand_hook = std::function<std::optional<double>(const core::pool_id &)>;

/// \brief Baseline without forecast: borrows the first available host as soon as the current demand exceeds the
/// serving slots, and returns it as soon as it does not.
auto firstFitMoves(demand_hook currentSlots) -> move_policy;

/// \brief Callbacks of the move planner.
struct move_hooks
{
    /// \brief Returns the forecast need of a pool in slots, if known; empty plans by the declared demand alone.
    demand_hook expectedSlots;
    /// \brief Returns whether maintenance is open; empty plans no moves on behalf of a wave.
    calendar_check calendarIsOpen;
};

/// \brief Need and supply of a pool in slots, after deduction of the worst permitted loss.
struct pool_need
{
    int minimumSlots = 0; ///< Required capacity, and one host more for a wave that could not proceed otherwise.
    int expectedSlots = 0; ///< Forecast need with the profile's headroom; zero without a forecast.
    int availableSlots = 0; ///< Serving and incoming slots less the worst permitted loss.
    bool isBelowRequired = false; ///< Whether the required capacity is not covered.

    /// \brief Returns the missing slots; a shortage against the forecast of at most \p tolerance is ignored.
    [[nodiscard]] auto missingSlots(int tolerance) const -> int;
};

/// \brief Returns by how many slots a forecast may stay uncovered before a host of \p slots slots is moved.
///
/// It grows with the weight of moves. Required capacity has no such tolerance.
auto forecastTolerance(const config::planning_weights &weights, int slots) -> int;

/// \brief Returns how long a borrowed host of \p slots slots stays after it became idle.
///
/// The host stays until its idle slots have cost as much as the two moves of a return and another loan. The total cost
/// is then at most twice the optimum with known future demand. The delay is bounded by minReturnAfter and
/// maxReturnAfter.
auto returnDelay(const config::planning_weights &weights, int slots) -> core::duration;

/// \brief Decides when pools borrow hosts, from spare pools first, and when they return them.
///
/// Shortages and surpluses count only after they have lasted for some time, so that short fluctuations cause no moves.
/// \sa demand_forecast, host_controller
class move_planner
{
public:
    explicit move_planner(move_hooks hooks);

    /// \brief Returns the moves that start now: at most one per borrowing and one per returning pool.
    auto choose(const move_query &query) -> std::vector<host_move>;

    /// \brief Returns the need and supply of \p pool, including incoming hosts.
    [[nodiscard]] auto needOf(const pool_view &pool, const move_query &query) const -> pool_need;

private:
    auto updateShortage(const pool_view &pool, const pool_need &need, const move_query &query) -> bool;
    auto chooseLoan(const pool_view &borrower, const move_query &query) const -> std::optional<host_move>;
    auto chooseReturn(const pool_view &pool, const move_query &query) -> std::optional<host_move>;
    [[nodiscard]] auto leavesSpareSlots(const pool_view &pool, const replication::host_state &host, int marginPercent,
                                        const move_query &query) const -> bool;
    [[nodiscard]] auto expectedSlots(const pool_view &pool) const -> int;
    [[nodiscard]] auto waveSlots(const pool_view &pool, const move_query &query) const -> int;

    move_hooks m_hooks;
    std::map<core::pool_id, core::monotonic_time> m_shortSince;
    std::map<core::host_id, core::monotonic_time> m_idleSince;
};
} // namespace poplarpass::control
