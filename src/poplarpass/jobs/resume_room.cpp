#include <poplarpass/jobs/resume_room.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>

namespace poplarpass::jobs::internal
{
resume_room::resume_room(std::span<worker_slot *const> workers)
{
    m_rooms.reserve(workers.size());
    for (const auto *worker : workers) {
        m_rooms.push_back({worker, worker->free(), {}});
    }
}

// The sum of what is free on several workers does not help a task that needs a large part of one.
auto resume_room::take(const multistep_job_record &job, const task_ref &task) -> bool
{
    const auto found = std::ranges::find_if(m_rooms, [&](const worker_room &room) { return hasRoom(room, job, task); });
    if (found == m_rooms.end()) {
        return false;
    }
    found->free -= requiredResources(job.spec.steps[task.step]);
    found->taken.push_back(task);
    return true;
}

auto resume_room::hasRoom(const worker_room &room, const multistep_job_record &job, const task_ref &task) -> bool
{
    const auto &step = job.spec.steps[task.step];
    if (!room.free.holds(requiredResources(step))) {
        return false;
    }
    if (!step.requirement.empty() && !room.worker->hasLabel(step.requirement)) {
        return false;
    }
    if (step.antiAffinity == 0) {
        return true;
    }
    const auto taken = std::ranges::count_if(room.taken, [&](const task_ref &other) {
        return other.job == task.job && other.occurrence == task.occurrence && other.step == task.step;
    });
    const auto placed = tasksOfStepOn(job, task.occurrence, task.step, *room.worker);
    return placed + static_cast<std::uint32_t>(taken) < step.antiAffinity;
}
} // namespace poplarpass::jobs::internal
