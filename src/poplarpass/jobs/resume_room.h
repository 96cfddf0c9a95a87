#pragma once

#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <span>
#include <vector>

namespace poplarpass::jobs::internal
{
/// \brief Free resources of the workers of a pool, and what stopped tasks will take of them when they start again.
class resume_room
{
public:
    /// \param workers workers of the pool that accept starts; they outlive this object
    explicit resume_room(std::span<worker_slot *const> workers);

    /// \brief Takes the room that \p task needs on one worker that may run it.
    /// \returns false when no worker has that room
    auto take(const multistep_job_record &job, const task_ref &task) -> bool;

private:
    struct worker_room
    {
        const worker_slot *worker = nullptr;
        resources free; ///< Not reserved, and not taken here.
        std::vector<task_ref> taken; ///< Tasks that took room here.
    };

    [[nodiscard]] static auto hasRoom(const worker_room &room, const multistep_job_record &job, const task_ref &task)
        -> bool;

    std::vector<worker_room> m_rooms;
};
} // namespace poplarpass::jobs::internal
