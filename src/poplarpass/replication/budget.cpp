#include <poplarpass/replication/budget.h>

#include <algorithm>
#include <cassert>
#include <functional>
#include <vector>

namespace poplarpass::replication
{
namespace
{
auto domainOf(const host_state &host, config::loss_domain kind) -> const std::string &
{
    switch (kind) {
    case config::loss_domain::rack:
        return host.description.rack.str();
    case config::loss_domain::zone:
        return host.description.zone.str();
    case config::loss_domain::host:
        break;
    }
    return host.description.host.str();
}

auto sumOfLargest(std::vector<int> sizes, std::size_t count) -> int
{
    const auto taken = std::min(count, sizes.size());
    std::ranges::partial_sort(sizes, sizes.begin() + static_cast<std::ptrdiff_t>(taken), std::greater<>{});
    int sum = 0;
    for (std::size_t index = 0; index < taken; ++index) {
        sum += sizes[index];
    }
    return sum;
}
} // namespace

pool_budget::pool_budget(const config::pool &pool, const config::profile &profile, std::span<const host_state> hosts)
    : m_profile{&profile}
{
    m_view.requiredSlots = config::requiredSlots(pool, profile);
    for (const auto &host : hosts) {
        if (host.pool == pool.name) {
            count(host);
        }
    }
    m_view.lostDomains = static_cast<int>(std::ranges::count_if(m_domains, &domain_slots::lost));
    m_view.worstLossSlots = worstLoss();
}

auto pool_budget::view() const -> const budget_view &
{
    return m_view;
}

auto pool_budget::limitForPlannedOutage(const host_state &host) const -> budget_limit
{
    if (m_view.lostDomains > 0 && m_view.lostDomains >= m_profile->maxLost) {
        return budget_limit::lost_domain;
    }
    if (m_view.plannedOut >= m_profile->maxOut) {
        return budget_limit::planned_hosts;
    }
    auto after = *this;
    after.take(host);
    return after.m_view.spareSlots() < 0 ? budget_limit::capacity : budget_limit::none;
}

auto pool_budget::take(const host_state &host) -> void
{
    assert(host.serves());
    m_view.servingSlots -= host.description.slots;
    ++m_view.plannedOut;
    findOrAddDomain(host).servingSlots -= host.description.slots;
    m_view.worstLossSlots = worstLoss();
}

auto pool_budget::count(const host_state &host) -> void
{
    auto &domain = findOrAddDomain(host);
    if (host.serves()) {
        m_view.servingSlots += host.description.slots;
        domain.servingSlots += host.description.slots;
    } else if (host.down) {
        ++m_view.unplannedOut;
        domain.lost = true;
    } else {
        ++m_view.plannedOut;
    }
}

auto pool_budget::findOrAddDomain(const host_state &host) -> domain_slots &
{
    const auto &name = domainOf(host, m_profile->lossDomain);
    const auto position = std::ranges::lower_bound(m_domains, name, {}, &domain_slots::name);
    if (position != m_domains.end() && position->name == name) {
        return *position;
    }
    return *m_domains.insert(position, domain_slots{name, 0, false});
}

// The serving hosts of a partly lost domain may fail without exceeding the permitted losses, so their slots count too.
auto pool_budget::worstLoss() const -> int
{
    int remainingOfLost = 0;
    std::vector<int> intact;
    for (const auto &domain : m_domains) {
        if (domain.lost) {
            remainingOfLost += domain.servingSlots;
        } else {
            intact.push_back(domain.servingSlots);
        }
    }
    const auto furtherLosses = std::max(0, m_profile->maxLost - m_view.lostDomains);
    return remainingOfLost + sumOfLargest(std::move(intact), static_cast<std::size_t>(furtherLosses));
}

auto evaluateBudget(const config::pool &pool, const config::profile &profile, std::span<const host_state> hosts)
    -> budget_view
{
    return pool_budget{pool, profile, hosts}.view();
}

auto limitForPlannedOutage(const host_state &host, const config::pool &pool, const config::profile &profile,
                           std::span<const host_state> hosts) -> budget_limit
{
    return pool_budget{pool, profile, hosts}.limitForPlannedOutage(host);
}

auto nameOf(budget_limit limit) -> std::string
{
    switch (limit) {
    case budget_limit::none:
        return "none";
    case budget_limit::capacity:
        return "capacity";
    case budget_limit::planned_hosts:
        return "planned_hosts";
    case budget_limit::lost_domain:
        return "lost_domain";
    }
    return "none";
}
} // namespace poplarpass::replication
