#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/host_load.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

// Which hosts move to which pool.
namespace poplarpass::capacity
{
using internal::drainTimeOf;
using internal::longRunningOn;
using internal::slotOf;
using internal::usedOf;

auto capacity_planner::measure(jobs::job_engine &engine, std::span<const route::pool_config> pools,
                               core::monotonic_time now) -> void
{
    m_balances.clear();
    m_moving = 0;
    std::set<core::pool_id> maintained;
    std::int64_t hostCpu = 1;
    for (const auto &[id, host] : m_hosts.all()) {
        hostCpu = std::max(hostCpu, host.entry.capacity.cpu);
        const bool moves = host.step != host_step::none && host.order.pool.has_value();
        m_moving += moves ? 1 : 0;
        const bool out = host.step != host_step::none && !host.order.pool;
        m_balances[moves ? *host.order.pool : host.entry.pool].have += out ? 0 : 1;
        if (awaitsMaintenance(host)) {
            maintained.insert(host.entry.pool);
        }
    }
    for (const auto &pool : pools) {
        m_balances[pool.name].standby = pool.standby;
    }
    for (const auto &[pool, load] : m_demand.measure(engine, now)) {
        const auto demand = static_cast<double>(std::max(load.placed, load.offered) + load.waiting) * headroom;
        const auto hosts = static_cast<std::int64_t>(std::ceil(demand / static_cast<double>(hostCpu)));
        m_balances[pool].load = load;
        auto &balance = m_balances[pool];
        balance.need = std::max<std::int64_t>(hosts, load.spread + 1);
        balance.want = balance.need + (maintained.contains(pool) ? 1 : 0);
    }
    considerMisfits(engine, now);
    noteShortages(now);
}

// One host more at a time, as only its arrival tells whether it helps: advice may turn it down as well.
auto capacity_planner::considerMisfits(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    const auto misfits = engine.takeMisfits();
    std::erase_if(m_misfits, [&](const auto &entry) { return !misfits.contains(entry.first); });
    for (const auto &[pool, misfit] : misfits) {
        auto &balance = m_balances[pool];
        balance.requirement = misfit.requirement;
        // A label that no host has is the caller's mistake.
        const bool exists = std::ranges::any_of(m_hosts.all(), [&, id = &pool](const auto &entry) {
            return entry.second.entry.pool != *id && mayHelp(entry.second, balance);
        });
        if (!exists) {
            continue;
        }
        const auto [known, isNew] = m_misfits.try_emplace(pool, misfit_hosts{0, now});
        auto &hosts = known->second;
        const bool arrived = hosts.extra == 0 || balance.have >= balance.want + hosts.extra;
        if (!isNew && arrived && now - hosts.since >= misfitPatience && hosts.extra < mostMisfitHosts) {
            hosts.extra = std::max(hosts.extra + 1, balance.have + 1 - balance.want);
            hosts.since = now;
        }
        balance.want += hosts.extra;
    }
}

auto capacity_planner::mayHelp(const host_slot &host, const pool_balance &balance) const -> bool
{
    return balance.requirement.empty()
        || std::ranges::find(host.entry.labels, balance.requirement) != host.entry.labels.end();
}

auto capacity_planner::move(host_slot &host, const core::pool_id &pool, jobs::job_engine &engine,
                            core::monotonic_time now) -> void
{
    --m_balances[host.entry.pool].have;
    ++m_balances[pool].have;
    ++m_moving;
    beginDrain(host, host_order{host.entry.id, pool, 0}, engine, now);
}

// Hosts go from pools that have more than they need to pools that have less: first those without work, then those on
// standby, then those that are emptied soonest. Hosts that no pool needs for a while go to standby.
auto capacity_planner::planMoves(jobs::job_engine &engine, core::monotonic_time now) -> void
{
    std::vector<host_slot *> donors;
    for (auto &[id, host] : m_hosts.all()) {
        if (host.step == host_step::none && host.entry.condition == host_condition::up
            && now - host.since >= leastStay) {
            donors.push_back(&host);
        }
    }
    std::ranges::stable_sort(donors, {}, [&](const host_slot *host) {
        return std::tuple{usedOf(*host, engine) > 0, m_balances[host->entry.pool].standby, longRunningOn(*host, engine),
                          drainTimeOf(*host, engine, now)};
    });
    std::vector<core::pool_id> needy;
    for (const auto &[pool, balance] : m_balances) {
        if (!balance.standby && balance.want > balance.have) {
            needy.push_back(pool);
        }
    }
    std::ranges::sort(needy, std::greater{},
                      [&](const core::pool_id &pool) { return m_balances[pool].want - m_balances[pool].have; });
    for (const auto &pool : needy) {
        fillPool(pool, donors, engine, now);
    }
    retireIdle(donors, engine, now);
}

auto capacity_planner::fillPool(const core::pool_id &pool, std::span<host_slot *const> donors, jobs::job_engine &engine,
                                core::monotonic_time now) -> void
{
    for (auto *host : donors) {
        const auto &balance = m_balances[pool];
        if (balance.want <= balance.have || m_moving >= mostMoving()) {
            return;
        }
        const auto &from = m_balances[host->entry.pool];
        const bool spare = from.standby || from.have > from.want;
        const bool idle = from.standby || now - host->idleSince >= idleBeforeMove;
        const bool drainable = idle || isDrainedSoon(*host, pool, engine, now);
        if (host->step == host_step::none && spare && drainable && host->entry.pool != pool
            && !host->unfitPools.contains(pool) && mayHelp(*host, balance)) {
            move(*host, pool, engine, now);
        }
    }
}

// Short tasks end by themselves. Long-running ones have to move to other hosts of their pool, as few at once as their
// steps allow, which costs more than a short shortage.
auto capacity_planner::isDrainedSoon(const host_slot &host, const core::pool_id &pool, jobs::job_engine &engine,
                                     core::monotonic_time now) const -> bool
{
    const auto since = m_shortSince.find(pool);
    const bool isLong = since != m_shortSince.end() && now - since->second >= shortagePatience;
    return slotOf(host, engine) != nullptr && (isLong || longRunningOn(host, engine) == 0);
}

auto capacity_planner::mostMoving() const -> std::size_t
{
    return static_cast<std::size_t>(std::ceil(static_cast<double>(m_hosts.all().size()) * movingShare));
}

auto capacity_planner::noteShortages(core::monotonic_time now) -> void
{
    for (const auto &[pool, balance] : m_balances) {
        if (!balance.standby && balance.want > balance.have) {
            m_shortSince.try_emplace(pool, now);
        } else {
            m_shortSince.erase(pool);
        }
    }
}

// The hosts that pools have at the first start stay until the load has shown itself, or does not come for long.
auto capacity_planner::isDemandKnown(const jobs::job_engine &engine, core::monotonic_time now) -> bool
{
    if (m_knownFrom && now >= *m_knownFrom) {
        return true;
    }
    m_knownFrom = m_knownFrom.value_or(now + firstDemandPatience);
    const bool hasCome =
        std::ranges::any_of(engine.jobs(), [](const auto &entry) { return !entry.second.spec.isLongRunning(); });
    if (hasCome) {
        m_knownFrom = std::min(*m_knownFrom, now + firstTurnTime);
    }
    return false;
}

auto capacity_planner::retireIdle(std::span<host_slot *const> donors, jobs::job_engine &engine,
                                  core::monotonic_time now) -> void
{
    const auto standby = std::ranges::find_if(m_balances, [](const auto &entry) { return entry.second.standby; });
    if (standby == m_balances.end() || !isDemandKnown(engine, now)) {
        return;
    }
    for (auto *host : donors) {
        const auto &from = m_balances[host->entry.pool];
        const bool idle = now - host->idleSince >= idleBeforeStandby;
        if (host->step == host_step::none && !from.standby && from.have > from.want && idle && m_moving < mostMoving()
            && !host->unfitPools.contains(standby->first)) {
            move(*host, standby->first, engine, now);
        }
    }
}
} // namespace poplarpass::capacity
