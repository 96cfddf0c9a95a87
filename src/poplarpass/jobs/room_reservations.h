#pragma once

#include <poplarpass/jobs/job_spec.h>
#include <poplarpass/jobs/worker_table.h>

#include <functional>
#include <map>

namespace poplarpass::jobs::internal
{
/// \brief Room that workers keep free for long-running tasks, one worker for each task.
///
/// Without it, smaller tasks that fit at once would take each core that becomes free in a full pool, and a larger
/// long-running task would never start.
class room_reservations
{
public:
    /// \brief Reserves \p need on \p worker for \p task.
    /// \pre there is no reservation for \p task
    auto add(const task_ref &task, const resources &need, worker_slot &worker) -> void;

    /// \brief Removes the reservation for \p task.
    /// \returns whether there was one
    auto remove(const task_ref &task, worker_table &workers) -> bool;

    /// \brief Removes the reservations for which \p isNeeded returns false, and those on removed workers.
    auto update(worker_table &workers,
                const std::function<bool(const task_ref &task, const worker_slot &worker)> &isNeeded) -> void;

    /// \brief Returns the worker that keeps room for \p task; null when there is none.
    [[nodiscard]] auto workerFor(const task_ref &task) const -> const worker_id *;

    /// \brief Calls \p visit with each task that has a reservation.
    auto forEach(const std::function<void(const task_ref &task)> &visit) const -> void;

private:
    struct reservation
    {
        worker_id worker;
        resources need;
    };

    static auto release(const task_ref &task, const reservation &entry, worker_table &workers) -> void;

    std::map<task_ref, reservation> m_reservations;
};
} // namespace poplarpass::jobs::internal
