#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>

// Runs that may exist although their tasks are done: members of a gang of which another one reported the end, and newer
// runs of a task of which an earlier run completed after all.
namespace poplarpass::jobs
{
namespace
{
auto makeLingering(const task_ref &task, const multistep_job_record &job, std::uint32_t run, std::int64_t incarnation)
    -> lingering_run
{
    const auto &step = job.spec.steps[task.step];
    lingering_run entry;
    entry.task = nameOf(task);
    entry.run = run;
    entry.incarnation = incarnation;
    entry.account = job.account;
    entry.pool = job.queue.pool;
    entry.need = step.perTask;
    entry.reserved = internal::requiredResources(step);
    return entry;
}

auto isRun(const lingering_run &entry, std::string_view task, std::uint32_t run) -> bool
{
    return entry.run == run && entry.task == task;
}
} // namespace

auto job_engine::lingeringRuns() const -> const std::map<worker_id, std::vector<lingering_run>> &
{
    return m_lingering;
}

auto job_engine::keepLingering(const task_ref &task, const multistep_job_record &job, const task_record &state,
                               core::monotonic_time now) -> void
{
    auto *worker = m_workers.find(state.worker);
    if (worker == nullptr || !worker->placed.contains(task)) {
        return;
    }
    auto entry = makeLingering(task, job, state.run, state.workerIncarnation);
    entry.acknowledged = state.acknowledged;
    entry.acknowledgedAt = state.acknowledgedAt;
    entry.stopConfirmed = state.stopConfirmed;
    entry.stopConfirmedAt = state.stopConfirmedAt;
    entry.stopSentAt = now;
    entry.leaseEnd = worker->leaseEnd;
    addLingering(*worker, std::move(entry));
}

auto job_engine::addLingering(worker_slot &worker, lingering_run entry) -> void
{
    m_accountUsage.add(entry.account, entry.pool, entry.need);
    worker.lingering += entry.reserved;
    m_lingering[worker.entry.id].push_back(std::move(entry));
}

// Runs of a former owner's engine that lingered there are found when their workers list them.
auto job_engine::onStrayRun(worker_slot &worker, const running_run &running, core::monotonic_time now) -> void
{
    const auto task = parseTaskName(running.task);
    const auto [job, state] = task ? locate(*task) : located_task{};
    const bool isPlaced = job != nullptr && state->run == running.run && worker.placed.contains(*task);
    const auto known = m_lingering.find(worker.entry.id);
    const bool isKnown = known != m_lingering.end() && std::ranges::any_of(known->second, [&](const auto &entry) {
                             return isRun(entry, running.task, running.run);
                         });
    if (job == nullptr || isPlaced || isKnown) {
        return;
    }
    auto entry = makeLingering(*task, *job, running.run, worker.entry.incarnation);
    entry.acknowledged = true;
    entry.acknowledgedAt = now;
    entry.stopSentAt = now;
    entry.leaseEnd = worker.leaseEnd;
    addLingering(worker, std::move(entry));
}

auto job_engine::removeLingeringIf(const worker_id &worker, const std::function<bool(lingering_run &)> &isOver) -> void
{
    const auto found = m_lingering.find(worker);
    if (found == m_lingering.end()) {
        return;
    }
    auto *slot = m_workers.find(worker);
    std::erase_if(found->second, [&](lingering_run &entry) {
        const bool over = isOver(entry);
        if (over) {
            m_accountUsage.remove(entry.account, entry.pool, entry.need);
        }
        if (over && slot != nullptr) {
            slot->lingering -= entry.reserved;
        }
        return over;
    });
    if (found->second.empty()) {
        m_lingering.erase(found);
    }
}

auto job_engine::onLingeringEnd(const worker_id &worker, const ended_run &end) -> void
{
    removeLingeringIf(worker, [&](const lingering_run &entry) { return isRun(entry, end.task, end.run); });
}

auto job_engine::dropLingering(const worker_id &worker) -> void
{
    removeLingeringIf(worker, [](const lingering_run & /*entry*/) { return true; });
}

auto job_engine::onLingeringStopped(const stop_order &order, core::monotonic_time now) -> void
{
    const auto found = m_lingering.find(order.worker);
    if (found == m_lingering.end()) {
        return;
    }
    for (auto &entry : found->second) {
        if (isRun(entry, order.task, order.run) && !entry.stopConfirmed) {
            entry.stopConfirmed = true;
            entry.stopConfirmedAt = now;
        }
    }
}

// The rules are those of resolveUnlistedRuns(). A start that was on its way during a restart of the worker may have
// reached the new incarnation, whose stop has to be confirmed again.
auto job_engine::resolveLingering(const worker_slot &worker, const renewal_report &report, core::monotonic_time sentAt)
    -> void
{
    removeLingeringIf(worker.entry.id, [&](lingering_run &entry) {
        if (entry.incarnation != worker.entry.incarnation) {
            entry.incarnation = worker.entry.incarnation;
            entry.stopConfirmed = false;
        }
        const bool isListed = std::ranges::any_of(
            report.running, [&](const auto &running) { return isRun(entry, running.task, running.run); });
        const bool hasEnded = (entry.acknowledged && entry.acknowledgedAt < sentAt)
            || (entry.stopConfirmed && entry.stopConfirmedAt < sentAt);
        return !isListed && hasEnded;
    });
}

// The lease of a worker that is no longer listed is not extended.
auto job_engine::updateLingering(core::monotonic_time now) -> void
{
    std::vector<worker_id> lapsed;
    for (auto &[id, entries] : m_lingering) {
        const auto *worker = m_workers.find(id);
        const bool isExtended = worker != nullptr && worker->responsive;
        for (auto &entry : entries) {
            entry.leaseEnd = worker == nullptr ? entry.leaseEnd : worker->leaseEnd;
            if (isExtended && !entry.stopConfirmed && now - entry.stopSentAt >= stopRetryInterval) {
                entry.stopSentAt = now;
                orderStop(id, entry.task, entry.run);
            }
        }
        if (!isExtended && now >= entries.front().leaseEnd) {
            lapsed.push_back(id);
        }
    }
    for (const auto &id : lapsed) {
        dropLingering(id);
    }
}
} // namespace poplarpass::jobs
