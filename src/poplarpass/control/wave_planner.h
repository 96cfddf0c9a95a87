#pragma once

#include <poplarpass/control/planning_view.h>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::control
{
/// \brief Why a host is not taken out now.
enum class step_limit {
    none, ///< It may be taken now.
    capacity, ///< The pool's promise would not be covered after the worst permitted loss.
    planned_hosts, ///< As many hosts are out for planned reasons as the profile permits.
    lost_domain, ///< As much is lost unplanned as the profile permits.
    calendar, ///< Maintenance is closed for the pool.
    paused, ///< An operator paused the wave.
    host_busy, ///< The host is down, out of contact or in another planned change.
    policy, ///< The policy's own rule, where the promises would permit the step.
};

/// \brief Wire name of \p limit.
auto nameOf(step_limit limit) -> std::string_view;

/// \brief What a policy chooses drains from.
struct wave_query
{
    const planning_view &view; ///< The fleet by pool.
    std::span<const replication::wave_state> waves; ///< Waves in order of their start.
    core::wall_time now; ///< Wall time, for calendars.
    std::function<bool(const replication::host_state &)> isUsable; ///< Whether a serving host may be taken at all.
};

/// \brief One host to take out for a wave.
struct drain_choice
{
    core::host_id host; ///< Which host.
    core::wave_id wave; ///< For which wave.

    auto operator==(const drain_choice &) const -> bool = default;
};

/// \brief Chooses the hosts whose drains start now.
using wave_policy = std::function<std::vector<drain_choice>(const wave_query &)>;

/// \brief One step of a planned wave.
struct plan_step
{
    core::host_id host; ///< Host that goes through maintenance.
    core::pool_id pool; ///< Its pool.
    core::rack_id rack; ///< Its rack.
    core::zone_id zone; ///< Its availability zone.
    core::wall_time earliestStart; ///< Earliest start of its drain, when every host takes as long as assumed.
    step_limit limit = step_limit::none; ///< What kept it from starting earlier.
    std::string explanation; ///< The limit with its figures, for people.
};

/// \brief A whole planned wave.
struct wave_plan
{
    std::vector<plan_step> steps; ///< In order of their start.
    std::vector<plan_step> unplaced; ///< Hosts that cannot start within the horizon, each with its limit.
    core::wall_time end; ///< When the last host is back.
};

/// \brief Assumptions of a dry run.
struct plan_assumptions
{
    core::duration outage = std::chrono::minutes{10}; ///< From the start of a drain to the return of the host.
    core::duration horizon = std::chrono::hours{24 * 7}; ///< How far ahead the plan looks.
    core::duration step = std::chrono::minutes{1}; ///< Resolution of calendar openings.
};

/// \brief Whether \p wave still has to maintain \p host.
auto isToMaintain(const replication::wave_state &wave, const replication::host_state &host) -> bool;

/// \brief Policy that takes, pool by pool, the hosts whose absence costs the promise least.
auto leastLossPolicy(calendar_check check) -> wave_policy;

/// \brief Baseline: keeps a spare as large as the largest zone in each pool and takes one host at a time.
auto fixedSpareZonePolicy(calendar_check check) -> wave_policy;

/// \brief Baseline: takes hosts in the order of their names wherever the budget allows.
auto firstFitPolicy(calendar_check check) -> wave_policy;

/// \brief Plans \p wave from \p now on with \p policy, without changing anything.
/// \param wave the wave; for one that was not started, startedAt is the offset of the agreed state
/// \sa host_controller, which starts drains by the same policy
auto planWave(planning_view view, const replication::wave_state &wave, const wave_policy &policy,
              const calendar_check &check, core::wall_time now, const plan_assumptions &assumptions = {}) -> wave_plan;
} // namespace poplarpass::control
