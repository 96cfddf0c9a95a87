#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/jobs/worker_table.h>

#include <map>
#include <span>
#include <vector>

namespace poplarpass::capacity
{
/// \brief Finds workers that have ended by the platform's host lists.
class ended_workers
{
public:
    /// \brief Applies a complete host list that was requested at \p requestedAt.
    /// \returns workers that may run tasks and have ended, each in every list that shows it
    auto update(std::span<const host_entry> hosts, core::monotonic_time requestedAt, const jobs::worker_table &workers)
        -> std::vector<jobs::worker_id>;

    /// \brief Returns whether the host of \p worker, which has ended, had another worker in the last list, or gets one.
    [[nodiscard]] auto isReplaced(const jobs::worker_id &worker) const -> bool;

private:
    /// \brief A worker that is missing in the lists.
    struct missing_worker
    {
        core::monotonic_time since{}; ///< When the first list without it was requested.
        core::host_id host; ///< Host that had it; empty if not known.
        bool isReplaced = false; ///< Whether that host had another worker in the last list.
    };

    std::map<jobs::worker_id, missing_worker> m_missing;
    std::map<jobs::worker_id, core::host_id> m_hosts; ///< Hosts of the workers in the last list.
};
} // namespace poplarpass::capacity
