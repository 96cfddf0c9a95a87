#pragma once

#include <poplarpass/config/fleet_config.h>
#include <poplarpass/replication/host_state.h>

#include <span>
#include <string>
#include <vector>

namespace poplarpass::config
{
/// \brief Kind of a configuration error.
enum class problem_kind {
    duplicate_name, ///< Two items of one kind have the same name.
    unknown_reference, ///< A name refers to no item.
    out_of_range, ///< A number is outside its permitted range, or a name is empty.
    weaker_pool, ///< A service selects a profile that guarantees more than its pool's profile.
    pool_in_use, ///< A pool is removed while hosts belong to it or move to it.
    promise_not_kept, ///< The pool's hosts cannot meet the capacity guarantee; the detail has the numbers.
};

/// \brief One error of a configuration.
struct config_problem
{
    problem_kind kind = problem_kind::out_of_range; ///< Kind of the error.
    std::string item; ///< Kind and name of the item, such as "pool quotes".
    std::string detail; ///< Details for operators, with the values involved.

    auto operator==(const config_problem &) const -> bool = default;
};

/// \brief Returns all errors of \p config that need no other input; empty when it is valid.
auto checkConfig(const fleet_config &config) -> std::vector<config_problem>;

/// \brief Returns all errors that prevent \p next from replacing \p previous, given \p hosts.
///
/// Includes checkConfig(); the other checks run only when that finds no error. A capacity guarantee must hold as soon
/// as it is in force. A pool that already has a shortage, after an unplanned loss, does not prevent a revision that
/// does not increase the shortage. Guarantees are not checked while no hosts are known.
auto checkRevision(const fleet_config &next, const fleet_config &previous,
                   std::span<const replication::host_state> hosts) -> std::vector<config_problem>;

/// \brief Returns whether \p stronger guarantees at least the headroom and the loss tolerance of \p weaker.
auto guaranteesAtLeast(const profile &stronger, const profile &weaker) -> bool;

/// \brief Returns the wire name of \p kind.
auto nameOf(problem_kind kind) -> std::string_view;

/// \brief Formats all \p problems as one text, separated by "; ".
auto textOf(std::span<const config_problem> problems) -> std::string;
} // namespace poplarpass::config
