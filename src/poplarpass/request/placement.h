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
/// \brief What a job needs of a worker.
struct placement_query
{
    int cores = 1; ///< Size, as declared or learnt.
    int memoryMb = 0; ///< Size, as declared or learnt.
    core::zone_id zone; ///< Zone of this entry.
    const core::host_id *avoid = nullptr; ///< Worker that an earlier attempt went to, if any.
};

/// \brief Chooses a worker by its index, or none when it finds no free one.
using placement_policy =
    std::function<std::optional<std::size_t>(const placement_query &, std::span<const worker_view>, std::mt19937_64 &)>;

/// \brief Whether \p worker is large enough for the job of \p query.
auto couldHold(const worker_view &worker, const placement_query &query) -> bool;

/// \brief Whether \p worker may get the job of \p query now.
auto canTake(const worker_view &worker, const placement_query &query) -> bool;

/// \brief Any worker that can take the job, with equal probability.
auto randomPlacement() -> placement_policy;
/// \brief The next worker in turn that can take the job.
auto roundRobinPlacement() -> placement_policy;
/// \brief The worker with the fewest own jobs outstanding.
auto leastOutstandingPlacement() -> placement_policy;
/// \brief The better of two random workers, or the best of a small pool, by free slots, zone and failure rate.
auto twoChoicesPlacement() -> placement_policy;

/// \brief Policy of that name: "random", "round_robin", "least_outstanding" or "two_choices".
auto placementNamed(std::string_view name) -> std::optional<placement_policy>;
} // namespace poplarpass::request
