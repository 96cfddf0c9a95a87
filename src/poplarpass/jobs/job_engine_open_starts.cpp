#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>

// Start orders without an answer. A worker that restarts under its identifier has forgotten the runs, stops and ends of
// its former incarnation, so until it is called again it carries out such an order (docs/AT-MOST-ONCE.md, "Starts
// without an answer").
namespace poplarpass::jobs
{
auto job_engine::startsOpenUntil(const multistep_job_record &job, const task_ref &task) -> core::monotonic_time
{
    const auto &step = job.spec.steps[task.step];
    if (!step.gang) {
        return job.tasks[job.positionOf(task.occurrence, task.step, task.index)].startOpenUntil;
    }
    const auto members = std::span{job.tasks}.subspan(job.positionOf(task.occurrence, task.step, 0), step.taskCount);
    return std::ranges::max(members, {}, &task_record::startOpenUntil).startOpenUntil;
}

// The order may have left its host only just before its timeout. Copies of a speculative task may run in parallel.
auto job_engine::openStart(const task_ref &task, multistep_job_record &job, task_record &state,
                           core::monotonic_time now) -> void
{
    if (job.spec.steps[task.step].speculative) {
        return;
    }
    setStartOpenUntil(task, state, now + maxCallDelay);
    markChanged(job);
}

auto job_engine::noteStartCarriedOut(task_record &state, const worker_slot &worker, std::uint32_t run) -> void
{
    const bool isListed = state.run == run && state.worker == worker.entry.id;
    if (isListed && state.placedByFormerOwner && !state.isBoundToWorker()) {
        state.hasOpenStart = false;
    }
}

// For other tasks the next change of their job does.
auto job_engine::recordStart(const multistep_job_record &job, const task_ref &task) -> void
{
    if (job.spec.steps[task.step].longRunning) {
        markChanged(job);
    }
}

auto job_engine::setStartOpenUntil(const task_ref &task, task_record &state, core::monotonic_time until) -> void
{
    state.startOpenUntil = until;
    if (state.isBoundToWorker()) {
        m_openStarts.insert(task);
    } else {
        m_openStarts.erase(task);
    }
}

// No later incarnation receives the orders that are still on their way: another instance has the address and refuses
// them, or the host has another worker. Where no host has the worker after they have arrived, no run of them exists.
auto job_engine::endsOpenStarts(worker_loss loss, const task_record &state, core::monotonic_time now) -> bool
{
    const bool isSuperseded = loss == worker_loss::other_instance || loss == worker_loss::host_replaced;
    return isSuperseded || (loss == worker_loss::host_lost && !state.isStartOpen(now));
}

auto job_engine::endOpenStartsAt(const worker_id &id, worker_loss loss, core::monotonic_time now) -> void
{
    std::erase_if(m_openStarts, [&](const task_ref &task) {
        const auto [job, state] = locate(task);
        if (job == nullptr || state->worker != id || !endsOpenStarts(loss, *state, now)) {
            return false;
        }
        state->startOpenUntil = {};
        markChanged(*job);
        return true;
    });
}

// Only tasks that wait: the others are placed on their workers. A worker that a later owner does not know is added, so
// that the lists of hosts tell when it is gone.
auto job_engine::countOpenStarts() -> void
{
    for (const auto &id : m_workersWithOpenStarts) {
        if (auto *worker = m_workers.find(id)) {
            worker->waitingOpenStarts = 0;
        }
    }
    m_workersWithOpenStarts.clear();
    for (const auto &task : m_openStarts) {
        const auto [job, state] = locate(task);
        if (job == nullptr || state->phase != task_phase::waiting) {
            continue;
        }
        auto *known = m_workers.find(state->worker);
        auto &worker = known == nullptr ? m_workers.findOrAdd(state->worker) : *known;
        ++worker.waitingOpenStarts;
        m_workersWithOpenStarts.insert(state->worker);
    }
}

// The worker has been called since the last order could arrive, and lists no run that is not known; or such a run has
// ended with its lease. The job is stored, so that a later owner need not reckon with these orders.
auto job_engine::expireOpenStarts(core::monotonic_time now) -> void
{
    std::erase_if(m_openStarts, [&](const task_ref &task) {
        const auto [job, state] = locate(task);
        if (job == nullptr || !state->isBoundToWorker()) {
            return true;
        }
        const auto *worker = m_workers.find(state->worker);
        const bool isKnown = worker != nullptr && worker->synced && worker->reportSentAt >= state->startOpenUntil;
        const bool hasLapsed = now >= state->startOpenUntil + maxGrantedLease + leaseMargin;
        // A host that was drained is ordered away as soon as its worker is empty, and no list may show it for long.
        const bool hasLeft = worker != nullptr && worker->leaving && !worker->responsive;
        const bool mustStart = state->phase == task_phase::waiting && hasWaitedForOpenStart(*job, task, now);
        if (!isKnown && !hasLapsed && !hasLeft && !mustStart) {
            return false;
        }
        state->startOpenUntil = {};
        markChanged(*job);
        return true;
    });
    countOpenStarts();
}

// A run of an order that arrived late: its task is free for other workers once a later report does not list it.
auto job_engine::onStrayRunOfTask(const task_ref &task, task_record &state, const worker_slot &worker,
                                  core::monotonic_time now) -> void
{
    if (state.phase == task_phase::waiting && state.worker == worker.entry.id && state.isBoundToWorker()) {
        setStartOpenUntil(task, state, std::max(state.startOpenUntil, now));
    }
}

// The present incarnation of that worker refuses the open start once it has a run with a higher number, and when the
// worker falls silent, the new run is waited out like the last one.
auto job_engine::workerOfOpenStart(const multistep_job_record &job, const task_ref &task,
                                   const internal::placement_candidates &workers) -> worker_slot *
{
    const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    const auto found =
        std::ranges::find(workers.workers(), state.worker, [](const worker_slot *worker) { return worker->entry.id; });
    if (found == workers.workers().end()) {
        return nullptr;
    }
    const internal::placement_candidates only{{*found}};
    return only.choose(job, task.occurrence, task.step);
}

auto job_engine::hasOpenStarts(const worker_slot &worker) -> bool
{
    return std::ranges::any_of(worker.placed, [&](const task_ref &task) {
        const auto [job, state] = locate(task);
        return job != nullptr && mayStartUnnoticed(worker, *state);
    });
}

// A task that runs until it is cancelled is promised to have a run again within seconds. It is not kept from one by a
// start that a worker may carry out that is silent or takes no starts.
auto job_engine::hasWaitedForOpenStart(const multistep_job_record &job, const task_ref &task, core::monotonic_time now)
    -> bool
{
    const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    const auto since = state.withoutRunSince.value_or(state.startedAt);
    return job.spec.steps[task.step].longRunning && now >= since + maxOpenStartWait;
}

auto job_engine::lastStartArrival(const worker_slot &worker) const -> core::monotonic_time
{
    if (worker.leaseSentAt) {
        return *worker.leaseSentAt + maxStartTimeout + maxCallDelay;
    }
    return m_formerOrdersUntil.value_or(core::monotonic_time{}) + maxCallDelay;
}

// All that ran there has ended. But the worker may come back under its identifier, and an order that was sent to its
// former incarnation may then start a run. Once such orders can no longer arrive, a list without the worker shows that
// there is no such run either.
auto job_engine::onHostLost(const worker_id &id, core::monotonic_time requestedAt) -> void
{
    auto *worker = m_workers.find(id);
    if (worker == nullptr || !hasOpenStarts(*worker) || requestedAt >= lastStartArrival(*worker)) {
        endWorker(id, worker_loss::host_lost, requestedAt);
        return;
    }
    m_workers.markUnresponsive(*worker, requestedAt);
    worker->listed = false;
    worker->openStartsEnd = lastStartArrival(*worker) + maxGrantedLease + leaseMargin;
    expireAcknowledgedRuns(*worker, worker_loss::host_lost, requestedAt);
    worker->isCrashRecorded = true;
    onSilentWorkerEnded(id, requestedAt);
}
} // namespace poplarpass::jobs
