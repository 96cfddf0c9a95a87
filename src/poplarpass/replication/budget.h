#pragma once

#include <poplarpass/config/fleet_config.h>
#include <poplarpass/replication/host_state.h>

#include <span>
#include <string>
#include <vector>

namespace poplarpass::replication
{
/// \brief Rule that forbids a planned outage of a host.
enum class budget_limit {
    none, ///< The outage is permitted.
    capacity, ///< Serving slots less the worst permitted loss would fall below the required slots.
    planned_hosts, ///< The profile's limit of hosts out for planned reasons is reached.
    lost_domain, ///< The profile's limit of lost domains is reached, so no planned outage may start.
};

/// \brief Availability budget of a pool in one state.
struct budget_view
{
    int servingSlots = 0; ///< Slots of serving hosts.
    int requiredSlots = 0; ///< Slots that the profile requires.
    int worstLossSlots = 0; ///< Slots lost in the worst further loss that the profile permits.
    int plannedOut = 0; ///< Hosts out for planned reasons.
    int unplannedOut = 0; ///< Hosts down outside planned changes.
    int lostDomains = 0; ///< Loss domains with a host that is down.

    /// \brief Slots above the required ones after the worst permitted loss; negative when the budget is violated.
    [[nodiscard]] auto spareSlots() const -> int
    {
        return servingSlots - worstLossSlots - requiredSlots;
    }
};

/// \brief Budget of one pool, to check many hosts against: construction is O(hosts), each check O(loss domains).
class pool_budget
{
public:
    /// \brief Counts the hosts of \p pool; hosts of other pools are ignored.
    /// \pre \p profile outlives this object
    pool_budget(const config::pool &pool, const config::profile &profile, std::span<const host_state> hosts);

    [[nodiscard]] auto view() const -> const budget_view &;

    /// \brief Returns the limit that forbids a planned outage of \p host, or budget_limit::none.
    /// \pre \p host belongs to the pool and serves
    [[nodiscard]] auto limitForPlannedOutage(const host_state &host) const -> budget_limit;

    /// \brief Counts \p host as out for a planned reason in further checks.
    /// \pre \p host belongs to the pool and serves
    auto take(const host_state &host) -> void;

private:
    struct domain_slots
    {
        std::string name;
        int servingSlots = 0;
        bool lost = false;
    };

    auto count(const host_state &host) -> void;
    auto findOrAddDomain(const host_state &host) -> domain_slots &;
    [[nodiscard]] auto worstLoss() const -> int;

    const config::profile *m_profile;
    budget_view m_view;
    std::vector<domain_slots> m_domains;
};

/// \brief Returns the budget of \p pool under \p profile over \p hosts; hosts of other pools are ignored.
auto evaluateBudget(const config::pool &pool, const config::profile &profile, std::span<const host_state> hosts)
    -> budget_view;

/// \brief Returns the limit that forbids a planned outage of \p host of \p pool, or budget_limit::none.
auto limitForPlannedOutage(const host_state &host, const config::pool &pool, const config::profile &profile,
                           std::span<const host_state> hosts) -> budget_limit;

/// \brief Wire name of \p limit.
auto nameOf(budget_limit limit) -> std::string;
} // namespace poplarpass::replication
