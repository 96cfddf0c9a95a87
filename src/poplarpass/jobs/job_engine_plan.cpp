#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/job_order.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <utility>

// Scheduling: which task starts on which worker.
namespace poplarpass::jobs
{
namespace
{
/// \brief Returns whether \p job has a waiting task in a step that may start.
auto hasStartableTask(const multistep_job_record &job, core::wall_time now) -> bool
{
    if (job.waiting == 0) {
        return false;
    }
    bool found = false;
    job.forEachStartableStep(now, [&](std::uint32_t occurrence, std::uint32_t step) {
        found = job.waitingOf(occurrence, step) > 0;
        return !found;
    });
    return found;
}
} // namespace

auto job_engine::plan(core::monotonic_time now, core::wall_time wallTime) -> void
{
    expireLeases(now);
    expireOpenStarts(now);
    retryStops(now);
    updateLingering(now);
    updateRoomReservations(now);
    relocateStragglers(now);
    evacuateLeaving(now);
    m_caps.beginPlan(now);
    for (const auto &[pool, active] : m_activeJobs) {
        planSuspects(pool, active, now, wallTime);
        if (m_accountNumbers.isAnyConfigured()) {
            planSharedPool(pool, active, now, wallTime);
        } else if (!active.empty()) {
            planPool(pool, active, now, wallTime);
        }
    }
    std::ranges::move(m_advice.takeRequests(now), std::back_inserter(m_adviceRequests));
    reportCaps();
    reportWaits(now, wallTime);
}

auto job_engine::setHeldPools(std::set<core::pool_id> pools) -> void
{
    m_heldPools = std::move(pools);
}

auto job_engine::acceptingWorkersOf(const core::pool_id &pool, core::monotonic_time now) -> std::vector<worker_slot *>
{
    std::vector<worker_slot *> workers;
    if (m_heldPools.contains(pool)) {
        return workers;
    }
    for (auto *worker : m_workers.ofPool(pool)) {
        if (worker->acceptsStarts(now)) {
            workers.push_back(worker);
        }
    }
    return workers;
}

auto job_engine::eligibleWorkersOf(const core::pool_id &pool, core::monotonic_time now) -> std::vector<worker_slot *>
{
    auto workers = acceptingWorkersOf(pool, now);
    std::erase_if(workers, [now](const worker_slot *worker) { return worker->isReserved(now); });
    return workers;
}

auto job_engine::mayBeUnavailable(const multistep_job_record &job, const task_ref &task, core::monotonic_time now)
    -> bool
{
    const auto &step = job.spec.steps[task.step];
    if (!step.maxUnavailable) {
        return true;
    }
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < step.taskCount; ++index) {
        const auto &other = job.tasks[job.positionOf(task.occurrence, task.step, index)];
        const auto *worker = m_workers.find(other.worker);
        // The last report of an unresponsive worker does not count: the worker may be gone.
        const bool reachable =
            worker != nullptr && worker->responsive && now - worker->lastResponseAt < workerResponseTimeout;
        const bool ready = reachable && other.phase == task_phase::running && other.ready;
        unavailable += index != task.index && !ready ? 1 : 0;
    }
    return unavailable < *step.maxUnavailable;
}

auto job_engine::evacuate(const worker_slot &worker, core::monotonic_time now) -> void
{
    if (worker.longRunningRuns == 0) {
        return;
    }
    const auto pool = eligibleWorkersOf(worker.entry.pool, now);
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        const bool isEvacuable = job != nullptr && job->spec.steps[task.step].longRunning
            && !job->spec.steps[task.step].gang && state->phase == task_phase::running
            && job->phase == multistep_job_phase::active && !state->isStartOpen(now);
        if (!isEvacuable || !mayRestart(*job) || !mayBeUnavailable(*job, task, now)) {
            continue;
        }
        const internal::placement_candidates candidates{
            job->queue.advice ? advisedWorkers(*job, task.occurrence, task.step, pool, now) : pool};
        auto *next = candidates.choose(*job, task.occurrence, task.step);
        if (next == nullptr) {
            if (job->queue.advice) {
                requestAdvice(*job, task.occurrence, task.step, 1, pool, now);
            }
            recordMismatch(*job, task.step, pool);
            continue;
        }
        reserveRoom(*job, task, *next);
        logEvent("task_evacuated", nameOf(task), worker.entry.id, state->run, "host_leaves");
        state->ready = false;
        beginClosing(task, *job, *state, now);
    }
}

// A draining worker soon ends all its runs, so its long-running tasks are moved to other workers first.
auto job_engine::evacuateLeaving(core::monotonic_time now) -> void
{
    for (const auto *worker : m_workers.draining()) {
        if (worker->listed && worker->responsive) {
            evacuate(*worker, now);
        }
    }
}

// During load spikes most jobs have to wait, so the jobs are taken from a heap until the pool is full. Jobs that cannot
// start a task are skipped, unless their advice has to be kept up to date.
auto job_engine::planPool(const core::pool_id &pool, const active_jobs &active, core::monotonic_time now,
                          core::wall_time wallTime) -> void
{
    std::vector<internal::ranked_job> order;
    std::vector<const active_job *> limited;
    std::vector<const active_job *> longRunning;
    auto leastCpu = std::numeric_limits<std::int64_t>::max();
    m_caps.beginPool();
    const auto add = [&](const active_job &entry, std::int64_t cpu) {
        order.push_back({rankOf(entry.outlook, wallTime), entry.job, entry.accountNumber});
        leastCpu = std::min(leastCpu, cpu);
    };
    const auto consider = [&](const active_job &entry) {
        if (entry.job->queue.advice) {
            add(entry, 0);
        } else if (hasStartableTask(*entry.job, wallTime)) {
            if (entry.account == nullptr) {
                add(entry, entry.outlook.leastCpu);
            } else {
                m_caps.addCandidate(*entry.account, entry.leastNeed);
                limited.push_back(&entry);
            }
        }
    };
    for (const auto &[id, entry] : active) {
        if (entry.outlook.isLongRunning) {
            longRunning.push_back(&entry);
        } else {
            consider(entry);
        }
    }
    planLongRunning(pool, longRunning, now, wallTime);
    for (const auto *entry : longRunning) {
        consider(*entry);
    }
    for (const auto *entry : limited) {
        if (!m_caps.isExhausted(*entry->account, pool, m_accountUsage)) {
            add(*entry, entry->outlook.leastCpu);
        }
    }
    if (order.empty()) {
        return;
    }
    internal::placement_candidates workers{eligibleWorkersOf(pool, now)};
    if (workers.workers().empty()) {
        return;
    }
    std::ranges::make_heap(order, internal::isPlannedLater);
    while (!order.empty() && workers.mostFreeCpu() >= leastCpu) {
        std::ranges::pop_heap(order, internal::isPlannedLater);
        planJob(*order.back().job, workers, now, wallTime);
        order.pop_back();
    }
}

auto job_engine::planJob(multistep_job_record &job, internal::placement_candidates &workers, core::monotonic_time now,
                         core::wall_time wallTime) -> void
{
    job.forEachStartableStep(wallTime, [&](std::uint32_t occurrence, std::uint32_t step) {
        if (!isWithinShare()) {
            return false;
        }
        // Long-running steps were planned before all others.
        if (job.spec.steps[step].longRunning) {
            return true;
        }
        const bool placed = job.queue.advice ? planAdvisedStep(job, occurrence, step, workers, now)
                                             : planStep(job, occurrence, step, workers, now);
        if (!placed) {
            recordMismatch(job, step, workers.workers());
            noteUnplaced(job, occurrence, step, workers, now);
        }
        return true;
    });
}

auto job_engine::planAdvisedStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                 internal::placement_candidates &workers, core::monotonic_time now) -> bool
{
    internal::placement_candidates advised{advisedWorkers(job, occurrence, step, workers.workers(), now)};
    const auto startsBefore = m_counters.starts;
    const bool placed = planStep(job, occurrence, step, advised, now);
    if (m_counters.starts != startsBefore) {
        workers.updateAllUsage();
    }
    requestAdvice(job, occurrence, step, job.waitingOf(occurrence, step), workers.workers(), now);
    return placed;
}

auto job_engine::advisedWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                std::span<worker_slot *const> workers, core::monotonic_time now) const
    -> std::vector<worker_slot *>
{
    assert(job.queue.advice);
    return m_advice.allowed(stepNameOf({job.id, occurrence, step, 0}), workers, now);
}

// A long-running task may have to move at any time. Other steps without waiting tasks need no advice.
auto job_engine::requestAdvice(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                               std::uint32_t tasks, std::span<worker_slot *const> workers, core::monotonic_time now)
    -> void
{
    if (tasks > 0 || job.spec.steps[step].longRunning) {
        const auto name = stepNameOf({job.id, occurrence, step, 0});
        m_advice.addNeed({name, job.queue.pool, *job.queue.advice, tasks}, workers, now);
    }
}

// A pool without free resources is visible in its load. A mismatch means that resources are free, but only on workers
// that may not run the step.
auto job_engine::recordMismatch(const multistep_job_record &job, std::uint32_t step,
                                std::span<worker_slot *const> workers) -> void
{
    const auto &spec = job.spec.steps[step];
    const auto need = internal::requiredResources(spec);
    const bool hasResources =
        std::ranges::any_of(workers, [&](const auto *worker) { return worker->free().holds(need); });
    if (!hasResources || spec.bestEffort) {
        return;
    }
    auto &mismatch = m_mismatches[job.queue.pool];
    const bool same = mismatch.steps == 0 || mismatch.requirement == spec.requirement;
    mismatch.requirement = same ? spec.requirement : std::string{};
    ++mismatch.steps;
}

auto job_engine::drainMismatches() -> std::map<core::pool_id, placement_mismatch>
{
    return std::exchange(m_mismatches, {});
}

auto job_engine::planStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                          internal::placement_candidates &workers, core::monotonic_time now) -> bool
{
    return job.spec.steps[step].gang ? placeGang(job, occurrence, step, workers, now)
                                     : placeStep(job, occurrence, step, workers, now);
}

auto job_engine::placeStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                           internal::placement_candidates &workers, core::monotonic_time now) -> bool
{
    const auto first = job.positionOf(occurrence, step, 0);
    for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
        const auto &state = job.tasks[first + index];
        if (!state.isStartable(now) || internal::needsObservedStart(state.crashes)) {
            continue;
        }
        if (!isWithinShare()) {
            return true;
        }
        if (!capPermits(job, job.spec.steps[step])) {
            return true;
        }
        const task_ref task{job.id, occurrence, step, index};
        const bool isBound = state.isBoundToWorker();
        auto *worker = isBound ? workerOfOpenStart(job, task, workers) : workers.choose(job, occurrence, step);
        if (worker == nullptr && isBound) {
            continue;
        }
        if (worker == nullptr) {
            return false;
        }
        place(job, task, *worker, state.run + 1, now);
        onCappedStart(job);
        workers.updateUsage(*worker);
    }
    return true;
}
} // namespace poplarpass::jobs
