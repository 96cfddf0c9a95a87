#pragma once

#include <poplarpass/control/planning_view.h>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::control
{
/// \brief Reason why a host is not taken out of service now.
enum class step_limit {
    none, ///< It may be taken out now.
    capacity, ///< The pool's required capacity would not be covered after the worst permitted loss.
    planned_hosts, ///< As many hosts are out for planned reasons as the profile permits.
    lost_domain, ///< As many loss domains are lost without a plan as the profile permits.
    calendar, ///< Maintenance is closed for the pool.
    paused, ///< An operator paused the wave.
    host_busy, ///< The host is down, unreachable or in another planned change.
    policy, ///< A rule of the policy; the budget would permit the step.
};

/// \brief Returns the wire name of \p limit.
auto nameOf(step_limit limit) -> std::string_view;

/// \brief Input of a wave policy.
struct wave_query
{
    const planning_view &view; ///< The fleet by pool.
    std::span<const replication::wave_state> waves; ///< Waves ordered by start.
    core::wall_time now; ///< Wall time, for calendars.
    std::function<bool(const replication::host_state &)> isUsable; ///< Whether a serving host may be taken out.
};

/// \brief Drain of one host for a wave.
struct drain_choice
{
    core::host_id host;
    core::wave_id wave;

    auto operator==(const drain_choice &) const -> bool = default;
};

/// \brief Selects the hosts whose drains start now.
using wave_policy = std::function<std::vector<drain_choice>(const wave_query &)>;

/// \brief Maintenance of one host in a planned wave.
struct plan_step
{
    core::host_id host;
    core::pool_id pool;
    core::rack_id rack;
    core::zone_id zone; ///< Availability zone.
    core::wall_time earliestStart; ///< Earliest start of the drain if every host is out as long as assumed.
    step_limit limit = step_limit::none; ///< What prevented an earlier start.
    std::string explanation; ///< The limit with its figures as human-readable text.
};

/// \brief Result of a dry run.
struct wave_plan
{
    std::vector<plan_step> steps; ///< Ordered by start.
    std::vector<plan_step> unplaced; ///< Hosts that cannot start within the horizon, each with its limit.
    core::wall_time end; ///< Return of the last host.
};

/// \brief Assumptions of a dry run.
struct plan_assumptions
{
    core::duration outage = std::chrono::minutes{10}; ///< Time from the start of a drain to the return of the host.
    core::duration horizon = std::chrono::hours{24 * 7}; ///< How far ahead the plan looks.
    core::duration step = std::chrono::minutes{1}; ///< Resolution of calendar openings.
};

/// \brief Returns whether \p wave still has to maintain \p host.
auto needsMaintenance(const replication::wave_state &wave, const replication::host_state &host) -> bool;

/// \brief Returns a policy that drains, pool by pool, the hosts whose absence reduces the spare capacity least.
auto leastLossPolicy(calendar_check check) -> wave_policy;

/// \brief Baseline policy: reserves the largest availability zone of each pool as spare and drains one host at a
/// time.
auto fixedSpareZonePolicy(calendar_check check) -> wave_policy;

/// \brief Baseline policy: drains hosts in name order wherever the budget allows.
auto firstFitPolicy(calendar_check check) -> wave_policy;

/// \brief Simulates \p wave from \p now on with \p policy, without changing any state.
/// \param wave the wave; if it has not started, startedAt is the offset of the replicated state
/// \sa host_controller, which starts drains by the same policy
auto planWave(planning_view view, const replication::wave_state &wave, const wave_policy &policy,
              const calendar_check &check, core::wall_time now, const plan_assumptions &assumptions = {}) -> wave_plan;
} // namespace poplarpass::control
