#include <poplarpass/jobs/room_reservations.h>

#include <cassert>

namespace poplarpass::jobs::internal
{
auto room_reservations::add(const task_ref &task, const resources &need, worker_slot &worker) -> void
{
    assert(workerFor(task) == nullptr);
    m_reservations[task] = {worker.entry.id, need};
    worker.reservedRoom += need;
    worker.roomReservedFor.insert(task);
}

auto room_reservations::remove(const task_ref &task, worker_table &workers) -> bool
{
    const auto found = m_reservations.find(task);
    if (found == m_reservations.end()) {
        return false;
    }
    release(task, found->second, workers);
    m_reservations.erase(found);
    return true;
}

auto room_reservations::update(worker_table &workers,
                               const std::function<bool(const task_ref &task, const worker_slot &worker)> &isNeeded)
    -> void
{
    std::erase_if(m_reservations, [&](const auto &entry) {
        const auto &[task, reserved] = entry;
        const auto *worker = workers.find(reserved.worker);
        if (worker != nullptr && worker->roomReservedFor.contains(task) && isNeeded(task, *worker)) {
            return false;
        }
        release(task, reserved, workers);
        return true;
    });
}

auto room_reservations::workerFor(const task_ref &task) const -> const worker_id *
{
    const auto found = m_reservations.find(task);
    return found == m_reservations.end() ? nullptr : &found->second.worker;
}

auto room_reservations::forEach(const std::function<void(const task_ref &task)> &visit) const -> void
{
    for (const auto &[task, reserved] : m_reservations) {
        visit(task);
    }
}

// The worker may have been removed, and added again without reservations.
auto room_reservations::release(const task_ref &task, const reservation &entry, worker_table &workers) -> void
{
    auto *worker = workers.find(entry.worker);
    if (worker != nullptr && worker->roomReservedFor.erase(task) > 0) {
        worker->reservedRoom -= entry.need;
    }
}
} // namespace poplarpass::jobs::internal
