#pragma once

#include <poplarpass/config/fleet_config.h>
#include <poplarpass/fold/host_state.h>

#include <span>
#include <string>
#include <vector>

namespace poplarpass::config
{
/// \brief What is wrong with a configuration.
enum class problem_kind {
    duplicate_name, ///< Two items of one kind have one name.
    unknown_reference, ///< A name refers to nothing.
    out_of_range, ///< A number is outside its range.
    weaker_pool, ///< A service picked a profile that promises more than its pool's.
    pool_in_use, ///< A pool is gone from the text while hosts belong to it.
    promise_not_kept, ///< The pool's hosts cannot keep the promise; the numbers say by how much.
};

/// \brief One thing that is wrong with a configuration.
struct config_problem
{
    problem_kind kind = problem_kind::out_of_range; ///< What is wrong.
    std::string item; ///< Which item, such as "pool quotes".
    std::string detail; ///< The evidence, with the numbers.

    auto operator==(const config_problem &) const -> bool = default;
};

/// \brief Everything that is wrong with \p config in itself; empty when it is sound.
auto checkConfig(const fleet_config &config) -> std::vector<config_problem>;

/// \brief Everything that forbids putting \p next in force in place of \p previous over \p hosts.
///
/// A promise must hold from the moment at which it is made. A pool that is short already, by an unplanned loss, does
/// not forbid a revision that makes it no shorter. While no host is known, promises are not checked. \sa checkConfig,
/// which is part of it
auto checkRevision(const fleet_config &next, const fleet_config &previous, std::span<const fold::host_state> hosts)
    -> std::vector<config_problem>;

/// \brief Whether \p stronger promises at least what \p weaker does, field by field.
auto guaranteesAtLeast(const profile &stronger, const profile &weaker) -> bool;

/// \brief Wire name of \p kind.
auto nameOf(problem_kind kind) -> std::string_view;

/// \brief All \p problems in one text, separated by "; ".
auto textOf(std::span<const config_problem> problems) -> std::string;
} // namespace poplarpass::config
