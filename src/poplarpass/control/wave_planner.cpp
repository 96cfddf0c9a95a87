#include <poplarpass/control/wave_planner.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace poplarpass::control
{
namespace
{
using candidate = const replication::host_state *;

/// \brief Pool in which a policy may drain hosts for a wave.
struct open_pool
{
    const pool_view &view;
    const replication::wave_state &wave; ///< Earliest wave with hosts left to maintain in the pool.
    std::vector<candidate> candidates; ///< Hosts that may be drained, ordered by name.
    replication::pool_budget budget; ///< Budget of the pool after the drains chosen so far.
};

/// \brief Selects the drains of one pool.
using pool_policy = std::function<void(open_pool &, std::vector<drain_choice> &)>;

auto covers(const replication::wave_state &wave, const core::pool_id &pool) -> bool
{
    return wave.pools.empty() || std::ranges::find(wave.pools, pool) != wave.pools.end();
}

auto candidatesOf(const replication::wave_state &wave, const pool_view &pool, const wave_query &query)
    -> std::vector<candidate>
{
    std::vector<candidate> found;
    for (const auto &host : pool.hosts) {
        if (host.serves() && needsMaintenance(wave, host) && query.isUsable(host)) {
            found.push_back(&host);
        }
    }
    return found;
}

auto addDrain(open_pool &pool, candidate host, std::vector<drain_choice> &choices) -> void
{
    pool.budget.take(*host);
    std::erase(pool.candidates, host);
    choices.push_back({host->description.host, pool.wave.name});
}

auto makeWavePolicy(calendar_check check, pool_policy choose) -> wave_policy
{
    return [check = std::move(check), choose = std::move(choose)](const wave_query &query) {
        std::vector<drain_choice> choices;
        for (const auto &pool : query.view.pools) {
            for (const auto &wave : query.waves) {
                if (wave.finished || wave.paused || !covers(wave, pool.pool.name)) {
                    continue;
                }
                auto candidates = candidatesOf(wave, pool, query);
                if (candidates.empty() || !pool.isOpen(check, query.now)) {
                    continue;
                }
                open_pool open{pool, wave, std::move(candidates), {pool.pool, pool.profile, pool.hosts}};
                choose(open, choices);
                break;
            }
        }
        return choices;
    };
}

auto domainOf(const replication::host_state &host, config::loss_domain kind) -> std::string_view
{
    switch (kind) {
    case config::loss_domain::host:
        return host.description.host.str();
    case config::loss_domain::rack:
        return host.description.rack.str();
    case config::loss_domain::zone:
        break;
    }
    return host.description.zone.str();
}

/// \brief Slots and outages of a pool in one loss domain.
struct domain_share
{
    int servingSlots = 0; ///< Slots of serving hosts.
    bool isLost = false; ///< Whether a host is down without a plan.
    bool hasPlannedOutage = false; ///< Whether a host is out for a planned reason.

    auto operator<=>(const domain_share &) const = default;
};

using domain_shares = std::map<std::string_view, domain_share>;

auto sharesOf(const pool_view &pool) -> domain_shares
{
    domain_shares shares;
    for (const auto &host : pool.hosts) {
        auto &share = shares[domainOf(host, pool.profile.lossDomain)];
        share.servingSlots += host.serves() ? host.description.slots : 0;
        share.isLost = share.isLost || host.down;
        share.hasPlannedOutage = share.hasPlannedOutage || (!host.serves() && !host.down);
    }
    return shares;
}

/// \brief Quality of the state after a host is drained; greater is better.
struct drain_score
{
    int spareSlots = 0; ///< Slots above the required capacity.
    bool domainHasOutage = false; ///< Whether its loss domain has a planned outage already; limits domains out at once.

    auto operator<=>(const drain_score &) const = default;
};

// Hosts of equal size in loss domains with equal shares leave the same spare, so each such group is evaluated once.
auto leastLoss(const open_pool &pool, const domain_shares &shares) -> candidate
{
    std::optional<drain_score> best;
    candidate chosen = nullptr;
    std::set<std::pair<domain_share, int>> evaluated;
    for (const auto *host : pool.candidates) {
        const auto &share = shares.at(domainOf(*host, pool.view.profile.lossDomain));
        const bool isFirstOfGroup = evaluated.emplace(share, host->description.slots).second;
        if (!isFirstOfGroup || pool.budget.limitForPlannedOutage(*host) != replication::budget_limit::none) {
            continue;
        }
        auto after = pool.budget;
        after.take(*host);
        const drain_score score{after.view().spareSlots(), share.hasPlannedOutage};
        if (!best || score > *best) {
            best = score;
            chosen = host;
        }
    }
    return chosen;
}

auto drainLeastLoss(open_pool &pool, std::vector<drain_choice> &choices) -> void
{
    auto shares = sharesOf(pool.view);
    while (const auto *chosen = leastLoss(pool, shares)) {
        auto &share = shares.at(domainOf(*chosen, pool.view.profile.lossDomain));
        share.servingSlots -= chosen->description.slots;
        share.hasPlannedOutage = true;
        addDrain(pool, chosen, choices);
    }
}

auto largestZoneSlots(const pool_view &pool) -> int
{
    std::map<core::zone_id, int> slots;
    for (const auto &host : pool.hosts) {
        slots[host.description.zone] += host.serves() ? host.description.slots : 0;
    }
    int largest = 0;
    for (const auto &[zone, count] : slots) {
        largest = std::max(largest, count);
    }
    return largest;
}

auto drainOneAboveZoneSpare(open_pool &pool, std::vector<drain_choice> &choices) -> void
{
    if (pool.budget.view().plannedOut > 0) {
        return;
    }
    const auto *host = pool.candidates.front();
    const auto left = pool.budget.view().servingSlots - host->description.slots - largestZoneSlots(pool.view);
    const bool isAllowed = pool.budget.limitForPlannedOutage(*host) == replication::budget_limit::none;
    if (isAllowed && left >= pool.budget.view().requiredSlots) {
        addDrain(pool, host, choices);
    }
}

auto drainFirstFit(open_pool &pool, std::vector<drain_choice> &choices) -> void
{
    const auto candidates = pool.candidates;
    for (const auto *host : candidates) {
        if (pool.budget.limitForPlannedOutage(*host) == replication::budget_limit::none) {
            addDrain(pool, host, choices);
        }
    }
}
} // namespace

auto nameOf(step_limit limit) -> std::string_view
{
    static constexpr std::array<std::string_view, 8> names{"none",     "capacity", "planned_hosts", "lost_domain",
                                                           "calendar", "paused",   "host_busy",     "policy"};
    return names[static_cast<std::size_t>(limit)];
}

auto needsMaintenance(const replication::wave_state &wave, const replication::host_state &host) -> bool
{
    return covers(wave, host.pool) && host.maintainedAt <= wave.startedAt;
}

auto leastLossPolicy(calendar_check check) -> wave_policy
{
    return makeWavePolicy(std::move(check), drainLeastLoss);
}

auto fixedSpareZonePolicy(calendar_check check) -> wave_policy
{
    return makeWavePolicy(std::move(check), drainOneAboveZoneSpare);
}

auto firstFitPolicy(calendar_check check) -> wave_policy
{
    return makeWavePolicy(std::move(check), drainFirstFit);
}
} // namespace poplarpass::control
