#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/ended_workers.h>

#include <algorithm>
#include <set>

namespace poplarpass::capacity
{
namespace
{
auto workersOf(std::span<const host_entry> hosts) -> std::set<jobs::worker_id>
{
    std::set<jobs::worker_id> hosted;
    for (const auto &host : hosts) {
        hosted.insert(host.worker);
    }
    return hosted;
}

/// \brief Returns whether the list names the worker of each host that is up and all workers that answer.
auto isComplete(std::span<const host_entry> hosts, const std::set<jobs::worker_id> &hosted,
                const jobs::worker_table &workers) -> bool
{
    return std::ranges::none_of(
               hosts,
               [](const host_entry &host) { return host.condition == host_condition::up && host.worker.empty(); })
        && std::ranges::all_of(workers.all(), [&](const auto &entry) {
               return !entry.second.responsive || !entry.second.listed || hosted.contains(entry.first);
           });
}
} // namespace

// A worker is one life of a host, and each host is listed with its current worker, also while that worker is cut off:
// a worker that no host has any more has ended. The pages of a list are no snapshot and a list may lag, so a second
// list has to confirm it, and a list that lacks a worker that answers proves nothing.
auto ended_workers::update(std::span<const host_entry> hosts, core::monotonic_time requestedAt,
                           const jobs::worker_table &workers) -> std::vector<jobs::worker_id>
{
    const auto hosted = workersOf(hosts);
    const bool isConclusive = isComplete(hosts, hosted, workers);
    std::vector<jobs::worker_id> ended;
    std::map<jobs::worker_id, core::monotonic_time> missing;
    for (const auto &[id, worker] : workers.unrenewed()) {
        const bool isMissing = !worker->responsive && !worker->placed.empty() && !hosted.contains(id);
        const auto first = m_missing.find(id);
        if (isMissing && first != m_missing.end()) {
            missing.insert(*first);
        } else if (isMissing && isConclusive && requestedAt > worker->lastHeardAt) {
            missing.emplace(id, requestedAt);
        }
        const auto since = missing.find(id);
        if (isConclusive && since != missing.end() && requestedAt - since->second >= minUnhostedTime) {
            ended.push_back(id);
        }
    }
    m_missing = std::move(missing);
    return ended;
}
} // namespace poplarpass::capacity
