#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/job_order.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <utility>

// Scheduling: which task starts on which worker.
namespace poplarpass::jobs
{
auto job_engine::plan(core::monotonic_time now, core::wall_time wallTime) -> void
{
    expireLeases(now);
    retryStops(now);
    relocateStragglers(now);
    evacuateLeaving(now);
    for (const auto &[pool, ids] : m_activeJobs) {
        if (!ids.empty()) {
            planPool(pool, now, wallTime);
        }
    }
}

auto job_engine::eligibleWorkersOf(const core::pool_id &pool, core::monotonic_time now) -> std::vector<worker_slot *>
{
    std::vector<worker_slot *> workers;
    for (auto &[id, worker] : m_workers.all()) {
        if (worker.entry.pool == pool && worker.acceptsStarts(now)) {
            workers.push_back(&worker);
        }
    }
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
    const auto placed = worker.placed;
    const auto pool = eligibleWorkersOf(worker.entry.pool, now);
    for (const auto &task : placed) {
        const auto [job, state] = locate(task);
        const bool isEvacuable = job != nullptr && job->spec.steps[task.step].longRunning
            && !job->spec.steps[task.step].gang && state->phase == task_phase::running
            && job->phase == multistep_job_phase::active;
        if (!isEvacuable || !mayBeUnavailable(*job, task, now)) {
            continue;
        }
        const auto candidates = advisedWorkers(*job, task.occurrence, task.step, pool, now);
        if (internal::chooseWorker(*job, task.occurrence, task.step, candidates) == nullptr) {
            recordMismatch(*job, task.step, pool);
            continue;
        }
        logEvent("task_evacuated", nameOf(task), worker.entry.id, state->run, "host_leaves");
        state->ready = false;
        beginClosing(task, *job, *state, now);
    }
}

// A draining worker soon ends all its runs, so its long-running tasks are moved to other workers first.
auto job_engine::evacuateLeaving(core::monotonic_time now) -> void
{
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.listed && worker.responsive && worker.entry.draining) {
            evacuate(worker, now);
        }
    }
}

auto job_engine::planPool(const core::pool_id &pool, core::monotonic_time now, core::wall_time wallTime) -> void
{
    const auto workers = eligibleWorkersOf(pool, now);
    if (workers.empty()) {
        return;
    }
    struct ranked_job
    {
        job_rank rank;
        multistep_job_record *job;
    };
    std::vector<ranked_job> order;
    for (auto *job : activeJobsOf(pool)) {
        order.push_back({rankOf(*job, wallTime), job});
    }
    std::ranges::sort(order, {}, [](const ranked_job &entry) { return std::pair{entry.rank, entry.job->id}; });
    for (const auto &entry : order) {
        planJob(*entry.job, workers, now, wallTime);
    }
}

auto job_engine::planJob(multistep_job_record &job, std::span<worker_slot *const> workers, core::monotonic_time now,
                         core::wall_time wallTime) -> void
{
    for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        if (job.spec.repeatCount > 0 && job.dueTime(occurrence) > wallTime) {
            return;
        }
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            if (job.unfinishedOf(occurrence, step) == 0 || !job.areDependenciesDone(occurrence, step)) {
                continue;
            }
            const auto eligible = advisedWorkers(job, occurrence, step, workers, now);
            const bool placed = job.spec.steps[step].gang ? planGang(job, occurrence, step, eligible, now)
                                                          : planStep(job, occurrence, step, eligible, now);
            if (!placed) {
                recordMismatch(job, step, workers);
            }
        }
    }
}

auto job_engine::advisedWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                std::span<worker_slot *const> workers, core::monotonic_time now)
    -> std::vector<worker_slot *>
{
    if (!job.queue.advice) {
        return {workers.begin(), workers.end()};
    }
    const auto name = stepNameOf({job.id, occurrence, step, 0});
    if (auto request = m_advice.makeRequest(name, *job.queue.advice, workers, now)) {
        m_adviceRequests.push_back(std::move(*request));
    }
    return m_advice.allowed(name, workers, now);
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
                          std::span<worker_slot *const> workers, core::monotonic_time now) -> bool
{
    const auto first = job.positionOf(occurrence, step, 0);
    for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
        const auto &state = job.tasks[first + index];
        if (state.phase != task_phase::waiting || now < state.notBefore) {
            continue;
        }
        auto *worker = internal::chooseWorker(job, occurrence, step, workers);
        if (worker == nullptr) {
            return false;
        }
        place(job, task_ref{job.id, occurrence, step, index}, *worker, state.run + 1, now);
    }
    return true;
}

// Either all members start together or none does. They share one run number and one checkpoint.
auto job_engine::planGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                          std::span<worker_slot *const> workers, core::monotonic_time now) -> bool
{
    const auto &spec = job.spec.steps[step];
    const auto first = job.positionOf(occurrence, step, 0);
    std::uint32_t run = 0;
    std::string checkpoint;
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        const auto &state = job.tasks[first + index];
        if (state.phase != task_phase::waiting || now < state.notBefore) {
            return true;
        }
        run = std::max(run, state.run);
        if (!state.checkpoint.empty()) {
            checkpoint = state.checkpoint;
        }
    }
    // Placement is tried on copies first, so that a gang that does not fit changes nothing.
    std::vector<worker_slot> copies;
    for (const auto *worker : workers) {
        copies.push_back(*worker);
    }
    std::vector<worker_slot *> trial;
    for (auto &copy : copies) {
        trial.push_back(&copy);
    }
    std::vector<worker_slot *> chosen;
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        auto *copy = internal::chooseWorker(job, occurrence, step, trial);
        if (copy == nullptr) {
            return false;
        }
        copy->placed.insert(task_ref{job.id, occurrence, step, index});
        internal::addUsage(*copy, spec);
        chosen.push_back(workers[static_cast<std::size_t>(copy - copies.data())]);
    }
    for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
        job.tasks[first + index].checkpoint = checkpoint;
        place(job, task_ref{job.id, occurrence, step, index}, *chosen[index], run + 1, now);
    }
    return true;
}
} // namespace poplarpass::jobs
