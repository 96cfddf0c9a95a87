#pragma once

#include <poplarpass/config/fleet_config.h>
#include <poplarpass/replication/host_state.h>

#include <span>
#include <string>
#include <vector>

namespace poplarpass::replication
{
/// \brief Promise that limits a pool.
enum class budget_limit {
    none, ///< Nothing does.
    capacity, ///< Serving slots less the worst permitted loss would not cover the promise.
    planned_hosts, ///< As many hosts are out for planned reasons as the profile permits.
    lost_domain, ///< As much is lost unplanned as the profile permits, so nothing more may be taken.
};

/// \brief A pool's availability budget at one moment.
struct budget_view
{
    int servingSlots = 0; ///< Slots of hosts that serve.
    int requiredSlots = 0; ///< Slots that the profile promises.
    int worstLossSlots = 0; ///< Slots that the worst permitted further loss would take.
    int plannedOut = 0; ///< Hosts out for planned reasons.
    int unplannedOut = 0; ///< Hosts lost without a plan.
    int lostDomains = 0; ///< Loss domains with a host lost without a plan.

    /// \brief Slots above the promise after the worst permitted loss; negative when the budget does not hold.
    [[nodiscard]] auto spareSlots() const -> int
    {
        return servingSlots - worstLossSlots - requiredSlots;
    }
};

/// \brief Budget of one pool that can be asked about many hosts: built once in O(hosts), asked in O(loss domains).
class pool_budget
{
public:
    /// \brief Counts the hosts of \p pool; hosts of other pools are passed over.
    /// \pre \p profile outlives this object
    pool_budget(const config::pool &pool, const config::profile &profile, std::span<const host_state> hosts);

    /// \brief The figures.
    [[nodiscard]] auto view() const -> const budget_view &;

    /// \brief Which promise forbids taking \p host out for a planned reason; none when it may be taken.
    /// \pre \p host belongs to the pool and serves
    [[nodiscard]] auto limitOfTaking(const host_state &host) const -> budget_limit;

    /// \brief Counts \p host as out for a planned reason from here on.
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

/// \brief Budget of \p pool under \p profile over \p hosts; hosts of other pools are passed over.
auto evaluateBudget(const config::pool &pool, const config::profile &profile, std::span<const host_state> hosts)
    -> budget_view;

/// \brief Which promise forbids taking \p host out of \p pool now; none when it may be taken.
auto limitOfTaking(const host_state &host, const config::pool &pool, const config::profile &profile,
                   std::span<const host_state> hosts) -> budget_limit;

/// \brief Wire name of \p limit.
auto nameOf(budget_limit limit) -> std::string;
} // namespace poplarpass::replication
