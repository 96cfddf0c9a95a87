#include <poplarpass/control/wave_planner.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <utility>

// Dry run of a wave: runs the drain policy at each time at which the state of the fleet or a calendar may change.
namespace poplarpass::control
{
namespace
{
/// \brief A limit with its figures as text.
struct observed_limit
{
    step_limit limit = step_limit::none;
    std::string explanation;
};

/// \brief Planned outage of a host in the dry run.
struct simulated_outage
{
    core::host_id host;
    core::pool_id pool;
    core::wall_time back;
};

auto toStepLimit(replication::budget_limit limit) -> step_limit
{
    switch (limit) {
    case replication::budget_limit::none:
        return step_limit::policy;
    case replication::budget_limit::capacity:
        return step_limit::capacity;
    case replication::budget_limit::planned_hosts:
        return step_limit::planned_hosts;
    case replication::budget_limit::lost_domain:
        return step_limit::lost_domain;
    }
    return step_limit::policy;
}

auto explain(const pool_view &pool, const replication::budget_view &budget, step_limit limit) -> std::string
{
    return "pool=" + pool.pool.name.str() + " profile=" + pool.profile.name.str()
        + " limit=" + std::string{nameOf(limit)} + " serving_slots=" + std::to_string(budget.servingSlots)
        + " worst_loss_slots=" + std::to_string(budget.worstLossSlots) + " required_slots="
        + std::to_string(budget.requiredSlots) + " planned_out=" + std::to_string(budget.plannedOut)
        + " max_out=" + std::to_string(pool.profile.maxOut) + " lost_domains=" + std::to_string(budget.lostDomains)
        + " max_lost=" + std::to_string(pool.profile.maxLost) + " calendar=" + pool.profile.calendar;
}

class dry_run
{
public:
    dry_run(planning_view view, const replication::wave_state &wave, const wave_policy &policy,
            const calendar_check &check, core::wall_time now, const plan_assumptions &assumptions)
        : m_view{std::move(view)}
        , m_wave{wave}
        , m_policy{policy}
        , m_check{check}
        , m_now{now}
        , m_end{now + assumptions.horizon}
        , m_assumptions{assumptions}
    {
        m_wave.paused = false;
        m_plan.end = now;
    }

    auto run() -> wave_plan
    {
        while (m_now <= m_end) {
            returnHosts();
            startHosts();
            recordLimits();
            const auto next = nextEventTime();
            if (!next) {
                break;
            }
            m_now = *next;
        }
        recordUnplaced();
        return std::move(m_plan);
    }

private:
    auto hostIn(pool_view &pool, const core::host_id &name) -> replication::host_state *
    {
        const auto host = std::ranges::find_if(
            pool.hosts, [&name](const replication::host_state &other) { return other.description.host == name; });
        return host == pool.hosts.end() ? nullptr : &*host;
    }

    auto returnHosts() -> void
    {
        for (const auto &out : m_out) {
            if (out.back > m_now) {
                continue;
            }
            auto *host = hostIn(*m_view.findPool(out.pool), out.host);
            host->phase = replication::host_phase::serving;
            host->maintainedAt = m_wave.startedAt + 1;
        }
        std::erase_if(m_out, [this](const simulated_outage &out) { return out.back <= m_now; });
    }

    auto startHosts() -> void
    {
        const wave_query query{m_view, {&m_wave, 1}, m_now, [](const replication::host_state &) {
                                   return true;
                               }};
        for (const auto &choice : m_policy(query)) {
            for (auto &pool : m_view.pools) {
                if (auto *host = hostIn(pool, choice.host)) {
                    start(pool, *host);
                    break;
                }
            }
        }
    }

    auto start(pool_view &pool, replication::host_state &host) -> void
    {
        host.phase = replication::host_phase::draining;
        const auto back = m_now + m_assumptions.outage;
        m_out.push_back({host.description.host, pool.pool.name, back});
        m_plan.end = std::max(m_plan.end, back);
        m_plan.steps.push_back(stepOf(pool, host, m_limits[pool.pool.name]));
    }

    [[nodiscard]] auto stepOf(const pool_view &pool, const replication::host_state &host,
                              const observed_limit &observed) const -> plan_step
    {
        return {host.description.host, pool.pool.name,      host.description.rack, host.description.zone, m_now,
                observed.limit,        observed.explanation};
    }

    [[nodiscard]] auto isWaiting(const replication::host_state &host) const -> bool
    {
        return host.serves() && needsMaintenance(m_wave, host);
    }

    auto recordLimits() -> void
    {
        for (const auto &pool : m_view.pools) {
            const auto waiting = std::ranges::find_if(
                pool.hosts, [this](const replication::host_state &host) { return isWaiting(host); });
            if (waiting == pool.hosts.end()) {
                continue;
            }
            const replication::pool_budget budget{pool.pool, pool.profile, pool.hosts};
            const auto limit = pool.isOpen(m_check, m_now) ? toStepLimit(budget.limitForPlannedOutage(*waiting))
                                                           : step_limit::calendar;
            m_limits[pool.pool.name] = {limit, explain(pool, budget.view(), limit)};
        }
    }

    [[nodiscard]] auto nextEventTime() const -> std::optional<core::wall_time>
    {
        std::optional<core::wall_time> next;
        for (const auto &out : m_out) {
            next = std::min(next.value_or(out.back), out.back);
        }
        std::vector<const pool_view *> closed;
        for (const auto &pool : m_view.pools) {
            const bool hasWaiting = std::ranges::any_of(
                pool.hosts, [this](const replication::host_state &host) { return isWaiting(host); });
            if (hasWaiting && !pool.isOpen(m_check, m_now)) {
                closed.push_back(&pool);
            }
        }
        if (closed.empty()) {
            return next;
        }
        for (auto at = m_now + m_assumptions.step; at <= next.value_or(m_end); at += m_assumptions.step) {
            if (std::ranges::any_of(closed, [&](const pool_view *pool) { return pool->isOpen(m_check, at); })) {
                return at;
            }
        }
        return next;
    }

    auto recordUnplaced() -> void
    {
        for (const auto &pool : m_view.pools) {
            for (const auto &host : pool.hosts) {
                if (isWaiting(host)) {
                    m_plan.unplaced.push_back(stepOf(pool, host, m_limits[pool.pool.name]));
                } else if (needsMaintenance(m_wave, host)) {
                    m_plan.unplaced.push_back(stepOf(pool, host, {step_limit::host_busy, "host is down or busy"}));
                }
            }
        }
    }

    planning_view m_view;
    replication::wave_state m_wave;
    const wave_policy &m_policy;
    const calendar_check &m_check;
    core::wall_time m_now;
    core::wall_time m_end;
    plan_assumptions m_assumptions;
    std::vector<simulated_outage> m_out;
    std::map<core::pool_id, observed_limit> m_limits; ///< Latest limit of the next waiting host, by pool.
    wave_plan m_plan;
};
} // namespace

auto planWave(planning_view view, const replication::wave_state &wave, const wave_policy &policy,
              const calendar_check &check, core::wall_time now, const plan_assumptions &assumptions) -> wave_plan
{
    assert(assumptions.outage > core::duration::zero() && assumptions.step > core::duration::zero());
    return dry_run{std::move(view), wave, policy, check, now, assumptions}.run();
}
} // namespace poplarpass::control
