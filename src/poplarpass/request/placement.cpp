#include <poplarpass/request/constants.h>
#include <poplarpass/request/placement.h>

#include <memory>

namespace poplarpass::request
{
namespace
{
auto randomIndex(std::size_t count, std::mt19937_64 &random) -> std::size_t
{
    return static_cast<std::size_t>(random() % count);
}

auto firstAcceptingFrom(std::size_t start, const placement_query &query, std::span<const worker_view> workers)
    -> std::optional<std::size_t>
{
    for (std::size_t step = 0; step < workers.size(); ++step) {
        const auto index = (start + step) % workers.size();
        if (canAccept(workers[index], query)) {
            return index;
        }
    }
    return std::nullopt;
}

auto scoreOf(const worker_view &worker, const placement_query &query) -> double
{
    const auto used = worker.outstanding + otherUsageWeight * worker.otherSlots;
    const auto share = 1.0 - used / std::max(1, worker.slots);
    const auto distance = worker.zone == query.zone ? 0.0 : otherZonePenalty;
    return share - distance - failurePenalty * worker.failureRate;
}

// The better of a few random candidates. Two candidates balance the load almost as well as a full scan, at a cost that
// does not grow with the pool.
auto bestOfSample(const placement_query &query, std::span<const worker_view> workers, std::mt19937_64 &random)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    double bestScore = 0.0;
    int found = 0;
    for (int probe = 0; probe < maxPlacementProbes && found < placementChoices; ++probe) {
        const auto index = randomIndex(workers.size(), random);
        if (index == best || !canAccept(workers[index], query)) {
            continue;
        }
        ++found;
        const auto score = scoreOf(workers[index], query);
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

// In a small pool a full scan spreads the jobs of each entry evenly over all workers, which also reduces collisions
// between entries. The random start breaks ties.
auto bestOfAll(const placement_query &query, std::span<const worker_view> workers, std::mt19937_64 &random)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    double bestScore = 0.0;
    const auto start = randomIndex(workers.size(), random);
    for (std::size_t step = 0; step < workers.size(); ++step) {
        const auto index = (start + step) % workers.size();
        if (!canAccept(workers[index], query)) {
            continue;
        }
        const auto score = scoreOf(workers[index], query);
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}
} // namespace

auto isLargeEnough(const worker_view &worker, const placement_query &query) -> bool
{
    return worker.cores >= query.cores && worker.memoryMb >= query.memoryMb;
}

auto canAccept(const worker_view &worker, const placement_query &query) -> bool
{
    const bool isExcluded = query.excludedHost != nullptr && *query.excludedHost == worker.host;
    return worker.open && !isExcluded && worker.freeSlots() > 0 && worker.freeConnections() > 0
        && isLargeEnough(worker, query);
}

auto randomPlacement() -> placement_policy
{
    return [](const placement_query &query, std::span<const worker_view> workers,
              std::mt19937_64 &random) -> std::optional<std::size_t> {
        if (workers.empty()) {
            return std::nullopt;
        }
        for (int probe = 0; probe < maxPlacementProbes; ++probe) {
            const auto index = randomIndex(workers.size(), random);
            if (canAccept(workers[index], query)) {
                return index;
            }
        }
        return firstAcceptingFrom(randomIndex(workers.size(), random), query, workers);
    };
}

auto roundRobinPlacement() -> placement_policy
{
    return [next = std::size_t{0}](const placement_query &query, std::span<const worker_view> workers,
                                   std::mt19937_64 & /*random*/) mutable -> std::optional<std::size_t> {
        if (workers.empty()) {
            return std::nullopt;
        }
        const auto found = firstAcceptingFrom(next % workers.size(), query, workers);
        next = found ? *found + 1 : next;
        return found;
    };
}

auto leastOutstandingPlacement() -> placement_policy
{
    return [](const placement_query &query, std::span<const worker_view> workers,
              std::mt19937_64 & /*random*/) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < workers.size(); ++index) {
            const bool fewer = !best || workers[index].outstanding < workers[*best].outstanding;
            if (fewer && canAccept(workers[index], query)) {
                best = index;
            }
        }
        return best;
    };
}

auto twoChoicesPlacement() -> placement_policy
{
    return [](const placement_query &query, std::span<const worker_view> workers,
              std::mt19937_64 &random) -> std::optional<std::size_t> {
        if (workers.empty()) {
            return std::nullopt;
        }
        if (workers.size() <= maxScannedWorkers) {
            return bestOfAll(query, workers, random);
        }
        if (const auto best = bestOfSample(query, workers, random)) {
            return best;
        }
        return firstAcceptingFrom(randomIndex(workers.size(), random), query, workers);
    };
}

auto placementByName(std::string_view name) -> std::optional<placement_policy>
{
    if (name == "random") {
        return randomPlacement();
    }
    if (name == "round_robin") {
        return roundRobinPlacement();
    }
    if (name == "least_outstanding") {
        return leastOutstandingPlacement();
    }
    if (name == "two_choices") {
        return twoChoicesPlacement();
    }
    return std::nullopt;
}
} // namespace poplarpass::request
