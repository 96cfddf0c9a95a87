#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

// Usage of client accounts.
namespace poplarpass::jobs
{
auto job_engine::accountUsage() const -> const account_usage &
{
    return m_accountUsage;
}

// An account is charged the full resources of a task; a worker reserves no processor time for a best-effort one. The
// pool is the one of the job's queue, since a restored worker has no entry yet.
auto job_engine::addPlacement(const task_ref &task, const multistep_job_record &job, worker_slot &worker) -> void
{
    const auto &step = job.spec.steps[task.step];
    if (worker.placed.insert(task).second) {
        internal::addUsage(worker, step);
        m_accountUsage.add(job.account, job.queue.pool, step.perTask);
    }
}

auto job_engine::removePlacement(const task_ref &task, const multistep_job_record &job, const task_record &state)
    -> void
{
    const auto &step = job.spec.steps[task.step];
    auto *worker = m_workers.find(state.worker);
    if (worker != nullptr && worker->placed.erase(task) > 0) {
        internal::removeUsage(*worker, step);
        m_accountUsage.remove(job.account, job.queue.pool, step.perTask);
    }
}
} // namespace poplarpass::jobs
