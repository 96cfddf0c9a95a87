#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/jobs/worker_report.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace poplarpass::jobs::internal
{
/// \brief Starts without an answer that may still be carried out, by worker.
///
/// A worker that stopped a run, or on which it ended, refuses later starts of it. It forgets that when it restarts, so
/// each new incarnation is ordered to stop these runs.
class unanswered_starts
{
public:
    /// \brief Returns whether the run of an order is the one that its task has on the worker now.
    using current_run_check = std::function<bool(const stop_order &)>;

    /// \brief Records that \p order had no answer at \p now.
    auto add(const start_order &order, core::monotonic_time now) -> void;

    /// \brief Returns the stops to be ordered at \p worker now that \p incarnation of it has reported.
    auto stopsFor(const worker_id &worker, std::int64_t incarnation, const current_run_check &isCurrent,
                  core::monotonic_time now) -> std::vector<stop_order>;

    /// \brief Records that the worker of \p order confirmed the stop.
    auto onStopped(const stop_order &order) -> void;

    /// \brief Removes the starts that can no longer be carried out.
    auto removeExpired(core::monotonic_time now) -> void;

private:
    struct unanswered_start
    {
        std::string task; ///< Name of the task.
        std::uint32_t run = 0; ///< Number of the run.
        core::monotonic_time expiresAt{}; ///< It is not carried out after this time.
        std::int64_t refusedBy = 0; ///< Incarnation that is known to refuse it.
        std::int64_t stoppedAt = 0; ///< Incarnation that was last ordered to stop it.
        core::monotonic_time stopSentAt{}; ///< When that was ordered.
    };

    std::map<worker_id, std::vector<unanswered_start>> m_starts;
};
} // namespace poplarpass::jobs::internal
