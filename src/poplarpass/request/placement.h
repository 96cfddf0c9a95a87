#pragma once

#include <poplarpass/request/worker_view.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace poplarpass::request
{
/// \brief Requirements of a job on its worker.
struct placement_query
{
    int cores = 1; ///< Required processor cores, declared or observed.
    int memoryMb = 0; ///< Required memory in MB, declared or observed.
    core::zone_id zone; ///< Zone of this entry.
    const core::host_id *excludedHost = nullptr; ///< Worker of an earlier attempt, not to be chosen again; may be null.
};

/// \brief Returns the index of the chosen worker, or none if no worker can accept the job.
using placement_policy =
    std::function<std::optional<std::size_t>(const placement_query &, std::span<const worker_view>, std::mt19937_64 &)>;

/// \brief Returns whether \p worker is large enough for the job of \p query.
auto isLargeEnough(const worker_view &worker, const placement_query &query) -> bool;

/// \brief Returns whether \p worker can accept the job of \p query now.
auto canAccept(const worker_view &worker, const placement_query &query) -> bool;

/// \brief Returns a policy that chooses at random among the workers that can accept the job.
auto randomPlacement() -> placement_policy;
/// \brief Returns a policy that chooses the next worker in turn that can accept the job.
auto roundRobinPlacement() -> placement_policy;
/// \brief Returns a policy that chooses the worker with the fewest outstanding jobs of this entry.
auto leastOutstandingPlacement() -> placement_policy;
/// \brief Returns a policy that chooses the better of two random workers, or the best of a small pool, by free slots,
/// zone and failure rate.
auto twoChoicesPlacement() -> placement_policy;

/// \brief Returns the policy with that name, or none if unknown: "random", "round_robin", "least_outstanding" or
/// "two_choices".
auto placementByName(std::string_view name) -> std::optional<placement_policy>;
} // namespace poplarpass::request
