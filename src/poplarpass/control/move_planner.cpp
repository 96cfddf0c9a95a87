#include <poplarpass/control/constants.h>
#include <poplarpass/control/loan_count.h>
#include <poplarpass/control/move_planner.h>
#include <poplarpass/control/wave_planner.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace poplarpass::control
{
using internal::borrowedCount;
using internal::isOnLoan;
using internal::lentCount;

namespace
{
auto slotsFor(double expected, const pool_view &pool) -> int
{
    return static_cast<int>(std::ceil(expected * (1.0 + pool.profile.headroom)));
}

auto largestHost(const pool_view &pool) -> int
{
    int slots = 0;
    for (const auto &host : pool.hosts) {
        slots = std::max(slots, host.description.slots);
    }
    return slots;
}

auto hasPendingMaintenance(const replication::host_state &host, const move_query &query) -> bool
{
    return std::ranges::any_of(query.waves, [&host](const replication::wave_state &wave) {
        return !wave.finished && !wave.paused && needsMaintenance(wave, host);
    });
}

auto spareAfterRemoving(const pool_view &pool, const replication::host_state &host) -> int
{
    replication::pool_budget budget{pool.pool, pool.profile, pool.hosts};
    budget.take(host);
    return budget.view().spareSlots();
}

auto spareAfterJoining(const pool_view &pool, replication::host_state host) -> int
{
    auto hosts = pool.hosts;
    host.pool = pool.pool.name;
    hosts.push_back(std::move(host));
    return replication::evaluateBudget(pool.pool, pool.profile, hosts).spareSlots();
}
} // namespace

auto pool_need::missingSlots(int tolerance) const -> int
{
    const auto missingExpected = expectedSlots - availableSlots;
    return std::max({0, minimumSlots - availableSlots, missingExpected > tolerance ? missingExpected : 0});
}

auto forecastTolerance(const config::planning_weights &weights, int slots) -> int
{
    const auto sum = weights.moves + weights.bufferCost;
    return sum <= 0.0 ? 0 : static_cast<int>(slots * weights.moves / sum);
}

auto returnDelay(const config::planning_weights &weights, int slots) -> core::duration
{
    const auto costPerHour = weights.bufferCost * slots;
    if (costPerHour <= 0.0) {
        return maxReturnAfter;
    }
    const std::chrono::duration<double, std::ratio<3600>> hours{2.0 * weights.moves / costPerHour};
    const auto longest = std::chrono::duration<double, std::ratio<3600>>{maxReturnAfter};
    return std::max(minReturnAfter, std::chrono::duration_cast<core::duration>(std::min(hours, longest)));
}

move_planner::move_planner(move_hooks hooks)
    : m_hooks{std::move(hooks)}
{
}

auto move_planner::choose(const move_query &query) -> std::vector<host_move>
{
    std::vector<host_move> moves;
    std::set<core::pool_id> affected;
    for (const auto &pool : query.view.pools) {
        const auto need = needOf(pool, query);
        if (!updateShortage(pool, need, query)) {
            continue;
        }
        auto loan = chooseLoan(pool, query);
        if (loan && !affected.contains(loan->from)) {
            affected.insert({loan->from, loan->to});
            moves.push_back(std::move(*loan));
        }
    }
    for (const auto &pool : query.view.pools) {
        auto returnMove = affected.contains(pool.pool.name) ? std::nullopt : chooseReturn(pool, query);
        if (returnMove && affected.insert(pool.pool.name).second) {
            moves.push_back(std::move(*returnMove));
        }
    }
    return moves;
}

auto move_planner::needOf(const pool_view &pool, const move_query &query) const -> pool_need
{
    const auto budget = pool.budget();
    pool_need need;
    need.minimumSlots = budget.requiredSlots + waveSlots(pool, query);
    need.expectedSlots = expectedSlots(pool);
    need.availableSlots = budget.servingSlots - budget.worstLossSlots + pool.incomingSlots;
    need.isBelowRequired = budget.spareSlots() < 0;
    return need;
}

auto move_planner::expectedSlots(const pool_view &pool) const -> int
{
    const auto expected = m_hooks.expectedSlots ? m_hooks.expectedSlots(pool.pool.name) : std::nullopt;
    return slotsFor(expected.value_or(0.0), pool);
}

auto move_planner::updateShortage(const pool_view &pool, const pool_need &need, const move_query &query) -> bool
{
    if (need.missingSlots(forecastTolerance(query.view.weights, largestHost(pool))) == 0) {
        m_shortSince.erase(pool.pool.name);
        return false;
    }
    const auto since = m_shortSince.try_emplace(pool.pool.name, query.now).first->second;
    return query.now - since >= (need.isBelowRequired ? borrowForRequiredAfter : borrowAfter);
}

// Recalls the borrower's own hosts first, then borrows from spare pools, then from others. Hosts without pending wave
// maintenance are preferred, so that no pool takes on more of the wave's work. Ties are broken by the spare slots left
// in both pools, so that loans do not concentrate the borrower's hosts in one rack or zone.
auto move_planner::chooseLoan(const pool_view &borrower, const move_query &query) const -> std::optional<host_move>
{
    const auto &name = borrower.pool.name;
    const bool mayBorrow = borrowedCount(query.view, name) < borrower.profile.maxBorrowed;
    std::optional<host_move> best;
    std::tuple<bool, bool, bool, int, int> bestScore;
    for (const auto &lender : query.view.pools) {
        if (&lender == &borrower) {
            continue;
        }
        const bool mayLend = mayBorrow && lentCount(query.view, lender.pool.name) < lender.profile.maxLent;
        for (const auto &host : lender.hosts) {
            const bool isRecalled = host.description.pool == name;
            const bool isLent = mayLend && host.description.pool == lender.pool.name;
            if (!(isRecalled || isLent) || !query.isUsable(host) || !leavesSpareSlots(lender, host, 0, query)) {
                continue;
            }
            const std::tuple score{isRecalled, lender.pool.spare, !hasPendingMaintenance(host, query),
                                   spareAfterJoining(borrower, host), spareAfterRemoving(lender, host)};
            if (!best || score > bestScore) {
                best = host_move{host.description.host, lender.pool.name, name};
                bestScore = score;
            }
        }
    }
    return best;
}

auto move_planner::chooseReturn(const pool_view &pool, const move_query &query) -> std::optional<host_move>
{
    std::optional<host_move> chosen;
    for (const auto &host : pool.hosts) {
        const auto &name = host.description.host;
        const auto *ownPool = query.view.findPool(host.description.pool);
        const bool isBorrowed = host.serves() && isOnLoan(host) && ownPool != nullptr;
        if (!isBorrowed || !query.isUsable(host) || !leavesSpareSlots(pool, host, returnMarginPercent, query)) {
            m_idleSince.erase(name);
            continue;
        }
        const auto since = m_idleSince.try_emplace(name, query.now).first->second;
        if (!chosen && query.now - since >= returnDelay(query.view.weights, host.description.slots)) {
            chosen = host_move{name, pool.pool.name, ownPool->pool.name};
        }
    }
    return chosen;
}

auto move_planner::leavesSpareSlots(const pool_view &pool, const replication::host_state &host, int marginPercent,
                                    const move_query &query) const -> bool
{
    if (pool.limitOf(host) != replication::budget_limit::none) {
        return false;
    }
    const auto required = config::requiredSlots(pool.pool, pool.profile);
    const auto needed = std::max(required, expectedSlots(pool));
    const auto margin = needed * marginPercent / 100 + waveSlots(pool, query);
    return spareAfterRemoving(pool, host) >= needed - required + margin;
}

// A pool that cannot take out even one host while all of its hosts serve would never finish a wave.
auto move_planner::waveSlots(const pool_view &pool, const move_query &query) const -> int
{
    if (!m_hooks.calendarIsOpen || !pool.isOpen(m_hooks.calendarIsOpen, query.wallNow)) {
        return 0;
    }
    int largest = 0;
    int slotsOut = 0;
    for (const auto &host : pool.hosts) {
        largest = std::max(largest, hasPendingMaintenance(host, query) ? host.description.slots : 0);
        slotsOut += host.serves() || host.down ? 0 : host.description.slots;
    }
    return std::max(0, largest - slotsOut);
}
} // namespace poplarpass::control
