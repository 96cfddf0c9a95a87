#include <poplarpass/capacity/constants.h>
#include <poplarpass/capacity/ended_workers.h>

#include <algorithm>
#include <set>

namespace poplarpass::capacity
{
namespace
{
using hosts_by_worker = std::map<jobs::worker_id, core::host_id>;

auto hostsByWorker(std::span<const host_entry> hosts) -> hosts_by_worker
{
    hosts_by_worker hosted;
    for (const auto &host : hosts) {
        if (!host.worker.empty()) {
            hosted.emplace(host.worker, host.id);
        }
    }
    return hosted;
}

// A host that moves or is in maintenance gets a new worker.
auto mayGetWorkerBack(const host_entry &host) -> bool
{
    return host.condition == host_condition::down && host.worker.empty();
}

auto isReplacedOn(std::span<const host_entry> hosts, const core::host_id &id) -> bool
{
    const auto found = std::ranges::find(hosts, id, &host_entry::id);
    return found == hosts.end() ? std::ranges::none_of(hosts, mayGetWorkerBack) : !mayGetWorkerBack(*found);
}

/// \brief Returns whether the list names the worker of each host that is up and all workers that answer.
auto isComplete(std::span<const host_entry> hosts, const hosts_by_worker &hosted, const jobs::worker_table &workers)
    -> bool
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
    auto hosted = hostsByWorker(hosts);
    const bool isConclusive = isComplete(hosts, hosted, workers);
    std::vector<jobs::worker_id> ended;
    std::map<jobs::worker_id, missing_worker> missing;
    for (const auto &[id, worker] : workers.unrenewed()) {
        const bool isMissing = !worker->responsive && worker->mayRunTasks() && !hosted.contains(id);
        const auto first = m_missing.find(id);
        if (isMissing && first != m_missing.end()) {
            missing.insert(*first);
        } else if (isMissing && isConclusive && requestedAt > worker->lastHeardAt) {
            const auto host = m_hosts.find(id);
            missing.emplace(id, missing_worker{requestedAt, host == m_hosts.end() ? core::host_id{} : host->second});
        }
        const auto entry = missing.find(id);
        if (isConclusive && entry != missing.end() && requestedAt - entry->second.since >= minUnhostedTime) {
            entry->second.isReplaced = isReplacedOn(hosts, entry->second.host);
            ended.push_back(id);
        }
    }
    m_missing = std::move(missing);
    m_hosts = std::move(hosted);
    return ended;
}

auto ended_workers::isReplaced(const jobs::worker_id &worker) const -> bool
{
    const auto found = m_missing.find(worker);
    return found != m_missing.end() && found->second.isReplaced;
}
} // namespace poplarpass::capacity
