#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>

#include <algorithm>

// Log lines about tasks that wait. Nothing here changes a decision.
namespace poplarpass::jobs
{
namespace
{
auto localTime(core::wall_time time, core::monotonic_time now, core::wall_time wallTime) -> core::monotonic_time
{
    return now - std::chrono::duration_cast<core::duration>(std::max(wallTime - time, core::wall_time::duration{0}));
}
} // namespace

// Visits all jobs, so it has a period of its own.
auto job_engine::reportWaits(core::monotonic_time now, core::wall_time wallTime) -> void
{
    if (now - m_waitsCheckedAt < waitCheckPeriod) {
        return;
    }
    m_waitsCheckedAt = now;
    task_waits tasks;
    pool_waits pools;
    for (const auto &[pool, active] : m_activeJobs) {
        waiting_pool found;
        for (const auto &[id, entry] : active) {
            const auto &job = *entry.job;
            job.forEachStartableStep(wallTime, [&](std::uint32_t occurrence, std::uint32_t step) {
                const auto dueAt = localTime(job.dueTime(occurrence), now, wallTime);
                if (job.spec.steps[step].longRunning) {
                    addLongRunningWaits({job.id, occurrence, step, 0}, job, dueAt, tasks);
                } else if (job.waitingOf(occurrence, step) > 0 && now - dueAt >= longWait) {
                    found.tasks += job.waitingOf(occurrence, step);
                    found.first = dueAt < found.since ? task_ref{job.id, occurrence, step, 0} : found.first;
                    found.since = std::min(found.since, dueAt);
                }
                return true;
            });
        }
        if (found.tasks > 0) {
            pools.emplace(pool, std::move(found));
        }
    }
    logTaskWaits(tasks, now);
    m_longRunningWaits = {tasks.size(), m_taskWaits.longest(now)};
    logPoolWaits(pools, now);
}

auto job_engine::addLongRunningWaits(task_ref task, const multistep_job_record &job, core::monotonic_time dueAt,
                                     task_waits &waits) -> void
{
    const auto &step = job.spec.steps[task.step];
    for (task.index = 0; task.index < step.taskCount; ++task.index) {
        const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
        if (state.phase == task_phase::running) {
            if (const auto lostAt = contactLostAt(state)) {
                waits.push_back({task, lostAt});
            }
        } else if (state.phase != task_phase::done) {
            // When the steps were done that a first run waits for is not known.
            const auto begin = state.withoutRunSince || !step.after.empty() ? state.withoutRunSince : dueAt;
            waits.push_back({task, begin});
        }
    }
}

auto job_engine::contactLostAt(const task_record &state) -> std::optional<core::monotonic_time>
{
    const auto *worker = m_workers.find(state.worker);
    if (worker == nullptr || worker->responsive) {
        return std::nullopt;
    }
    return std::max(worker->contactLostAt, state.startedAt);
}

auto job_engine::logTaskWaits(const task_waits &waits, core::monotonic_time now) -> void
{
    m_waitLinesLeft = maxWaitLinesPerCheck;
    for (const auto &[task, since] : m_taskWaits.update(waits, now, m_waitLinesLeft)) {
        --m_waitLinesLeft;
        const auto [job, state] = locate(task);
        wait_details details{now - *since, {}, {}, {}};
        if (state->phase == task_phase::waiting) {
            details.lastEnd = state->lastEnd;
        } else if (const auto *worker = m_workers.find(state->worker); worker != nullptr && !worker->responsive) {
            details.leaseFor = worker->leaseEnd - now;
        }
        logEvent("task_without_run", nameOf(task), state->worker, state->run, nameOf(waitReasonOf(*job, task, now)),
                 {{}, {}, {}, details});
    }
}

auto job_engine::logPoolWaits(const pool_waits &pools, core::monotonic_time now) -> void
{
    std::vector<internal::wait_schedule<core::pool_id>::wait> waits;
    for (const auto &[pool, found] : pools) {
        // The first of the waiting tasks changes all the time, so the wait of the pool counts on its own.
        waits.push_back({pool, std::nullopt});
    }
    for (const auto &[pool, since] : m_poolWaits.update(waits, now, m_waitLinesLeft)) {
        const auto &found = pools.at(pool);
        const auto [job, state] = locate(found.first);
        logEvent("tasks_waiting", stepNameOf(found.first), {}, 0, nameOf(waitReasonOf(*job, found.first, now)),
                 {{}, {}, {}, wait_details{now - found.since, {}, {}, waiting_in_pool{pool.str(), found.tasks}}});
    }
}

auto job_engine::waitReasonOf(multistep_job_record &job, task_ref task, core::monotonic_time now) -> wait_reason
{
    const auto &step = job.spec.steps[task.step];
    const auto stateOf = [&]() -> const task_record & {
        return job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
    };
    // A step is named by its first task, which may not be among those that wait.
    while (!step.longRunning && stateOf().phase != task_phase::waiting && task.index + 1 < step.taskCount) {
        ++task.index;
    }
    const auto &state = stateOf();
    const auto *worker = m_workers.find(state.worker);
    internal::wait_facts facts;
    facts.isPlaced = state.phase != task_phase::waiting;
    facts.isWorkerSilent = worker == nullptr || !worker->responsive;
    facts.isClosing = state.phase == task_phase::closing;
    facts.isDelayed = now < state.notBefore;
    facts.hasOpenStart = state.isBoundToWorker();
    facts.needsObservation = internal::needsObservedStart(state.crashes);
    facts.isCapped = waitsForCap(job, step);
    addPoolFacts(job, task, now, facts);
    return internal::reasonOf(facts);
}

auto job_engine::addPoolFacts(multistep_job_record &job, const task_ref &task, core::monotonic_time now,
                              internal::wait_facts &facts) -> void
{
    const auto &pool = job.queue.pool;
    auto workers = eligibleWorkersOf(pool, now);
    facts.isPoolHeld = m_heldPools.contains(pool);
    facts.hasWorker = !acceptingWorkersOf(pool, now).empty();
    facts.needsObservation = facts.needsObservation || workers.empty();
    if (job.queue.advice) {
        workers = m_advice.allowed(stepNameOf(task), workers, now);
    }
    facts.isAdvised = !workers.empty();
    facts.hasRoom = hasRoomFor(job, task, workers);
    facts.hasRoomBesideGang = facts.hasRoom;
    const auto found = m_sharedPools.find(pool);
    if (found == m_sharedPools.end()) {
        return;
    }
    const auto &shared = found->second;
    facts.isOverShare = shared.shares.isOver(m_accountNumbers.find(job.account));
    const auto &holder = shared.gangs.holder();
    if (holder && *holder != internal::gang_hold::gang{job.id, task.occurrence, task.step}) {
        std::erase_if(workers, [&](const auto *worker) { return shared.heldWorkers.contains(worker->entry.id); });
        facts.hasRoomBesideGang = hasRoomFor(job, task, workers);
    }
}

auto job_engine::hasRoomFor(const multistep_job_record &job, const task_ref &task,
                            const std::vector<worker_slot *> &workers) -> bool
{
    internal::placement_candidates candidates{workers};
    return job.spec.steps[task.step].gang ? !chooseGangWorkers(job, task.occurrence, task.step, candidates).empty()
                                          : candidates.choose(job, task.occurrence, task.step) != nullptr;
}

auto job_engine::waitsForCap(const multistep_job_record &job, const step_spec &step) const -> bool
{
    const auto *account = job.account.empty() ? nullptr : m_caps.find(job.account);
    return account != nullptr
        && m_caps.isHeldBack(*account, job.queue.pool, resourcesToStart(step), m_accountUsage.usageOf(job.account));
}

auto job_engine::longRunningWaits() const -> const wait_summary &
{
    return m_longRunningWaits;
}
} // namespace poplarpass::jobs
