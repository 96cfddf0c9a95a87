#include <poplarpass/control/loan_count.h>
#include <poplarpass/control/move_planner.h>

#include <utility>

namespace poplarpass::control
{
namespace
{
using internal::borrowedCount;
using internal::isOnLoan;
using internal::lentCount;

auto mayTakeOut(const pool_view &pool, const replication::host_state &host, const move_query &query) -> bool
{
    return query.isUsable(host) && pool.limitOf(host) == replication::budget_limit::none;
}

auto firstLoan(const pool_view &borrower, const move_query &query) -> std::optional<host_move>
{
    if (borrowedCount(query.view, borrower.pool.name) >= borrower.profile.maxBorrowed) {
        return std::nullopt;
    }
    for (const auto &lender : query.view.pools) {
        if (&lender == &borrower || lentCount(query.view, lender.pool.name) >= lender.profile.maxLent) {
            continue;
        }
        for (const auto &host : lender.hosts) {
            if (!isOnLoan(host) && mayTakeOut(lender, host, query)) {
                return host_move{host.description.host, lender.pool.name, borrower.pool.name};
            }
        }
    }
    return std::nullopt;
}

auto firstReturn(const pool_view &pool, double demand, int servingSlots, const move_query &query)
    -> std::optional<host_move>
{
    for (const auto &host : pool.hosts) {
        const bool isIdle = servingSlots - host.description.slots >= demand;
        if (isOnLoan(host) && isIdle && mayTakeOut(pool, host, query)) {
            return host_move{host.description.host, pool.pool.name, host.description.pool};
        }
    }
    return std::nullopt;
}
} // namespace

auto firstFitMoves(demand_hook currentSlots) -> move_policy
{
    return [currentSlots = std::move(currentSlots)](const move_query &query) {
        std::vector<host_move> moves;
        for (const auto &pool : query.view.pools) {
            const auto demand = currentSlots(pool.pool.name).value_or(0.0);
            const auto serving = pool.budget().servingSlots;
            auto move = demand > serving ? firstLoan(pool, query) : firstReturn(pool, demand, serving, query);
            if (move) {
                moves.push_back(std::move(*move));
            }
        }
        return moves;
    };
}
} // namespace poplarpass::control
