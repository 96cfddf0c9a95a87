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
    /// \returns workers with placed runs that have ended
    auto update(std::span<const host_entry> hosts, core::monotonic_time requestedAt, const jobs::worker_table &workers)
        -> std::vector<jobs::worker_id>;

private:
    std::map<jobs::worker_id, core::monotonic_time>
        m_missing; ///< When the first list without the worker was requested.
};
} // namespace poplarpass::capacity
