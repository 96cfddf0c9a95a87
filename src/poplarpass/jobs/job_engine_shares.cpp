#include <poplarpass/jobs/backlog_limit.h>
#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

// Fair sharing of full pools between client accounts.
namespace poplarpass::jobs
{
namespace
{
/// \brief Resources of a pool: what its workers have, and what of it starts may use now.
struct pool_room
{
    resources capacity; ///< Of the workers that accept starts; of the others only what their runs use.
    resources free;
};

auto roomOf(std::span<worker_slot *const> all, core::monotonic_time now) -> pool_room
{
    pool_room room;
    for (const auto *worker : all) {
        const bool accepts = worker->acceptsStarts(now);
        room.capacity += accepts ? worker->entry.capacity : worker->used;
        if (accepts) {
            room.free.cpu += std::max<std::int64_t>(worker->free().cpu, 0);
            room.free.memoryMb += std::max<std::int64_t>(worker->free().memoryMb, 0);
        }
    }
    return room;
}

auto freeCpuOf(std::span<worker_slot *const> workers) -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto *worker : workers) {
        sum += std::max<std::int64_t>(worker->free().cpu, 0);
    }
    return sum;
}

auto quotient(std::int64_t capacity, std::int64_t need) -> std::int64_t
{
    return need > 0 ? capacity / need : std::numeric_limits<std::int64_t>::max();
}

/// \brief Returns how many tasks of \p step \p worker could run if nothing else ran there.
auto tasksIfEmpty(const step_spec &step, const worker_slot &worker) -> std::int64_t
{
    if (!step.requirement.empty() && !worker.hasLabel(step.requirement)) {
        return 0;
    }
    const auto need = internal::requiredResources(step);
    const auto &capacity = worker.entry.capacity;
    const auto count = std::min({quotient(capacity.cpu, need.cpu), quotient(capacity.memoryMb, need.memoryMb),
                                 quotient(capacity.gpu, need.gpu), std::int64_t{step.taskCount}});
    return step.antiAffinity > 0 ? std::min<std::int64_t>(count, step.antiAffinity) : count;
}

/// \brief Returns the workers with the most free processor time that together could run \p step if nothing else ran
/// there; empty when all of them could not.
auto workersForGang(const step_spec &step, std::span<worker_slot *const> workers) -> std::vector<worker_slot *>
{
    std::vector<worker_slot *> sorted{workers.begin(), workers.end()};
    std::ranges::stable_sort(sorted, std::greater{}, [](const auto *worker) { return worker->free().cpu; });
    std::vector<worker_slot *> chosen;
    std::int64_t fitting = 0;
    for (auto *worker : sorted) {
        const auto count = tasksIfEmpty(step, *worker);
        if (count > 0 && fitting < step.taskCount) {
            chosen.push_back(worker);
            fitting += count;
        }
    }
    return fitting >= step.taskCount ? chosen : std::vector<worker_slot *>{};
}
} // namespace

auto job_engine::planSharedPool(const core::pool_id &pool, const active_jobs &active, core::monotonic_time now,
                                core::wall_time wallTime) -> void
{
    auto &shared = m_sharedPools[pool];
    shared.shares.beginCycle();
    std::vector<internal::ranked_job> order;
    auto leastCpu = std::numeric_limits<std::int64_t>::max();
    std::vector<std::pair<const active_job *, internal::waiting_demand>> limited;
    m_caps.beginPool();
    const auto add = [&](const active_job &entry, const internal::waiting_demand &demand) {
        shared.shares.add(entry.accountNumber, demand);
        const bool needsAdvice = entry.job->queue.advice.has_value();
        if (needsAdvice || demand.startableTasks > 0) {
            order.push_back({rankOf(entry.outlook, wallTime), entry.job, entry.accountNumber});
            leastCpu = std::min(leastCpu, needsAdvice ? 0 : entry.outlook.leastCpu);
        }
    };
    const auto consider = [&](const active_job &entry) {
        const auto demand = internal::waitingDemandOf(*entry.job, wallTime);
        if (entry.account != nullptr && demand.startableTasks > 0 && !entry.job->queue.advice) {
            m_caps.addCandidate(*entry.account, entry.leastNeed);
            limited.emplace_back(&entry, demand);
        } else {
            add(entry, demand);
        }
    };
    std::vector<const active_job *> longRunning;
    for (const auto &[id, entry] : active) {
        if (entry.outlook.isLongRunning) {
            longRunning.push_back(&entry);
        } else {
            consider(entry);
        }
    }
    m_pass = {&shared};
    planLongRunning(pool, longRunning, now, wallTime);
    for (const auto *entry : longRunning) {
        consider(*entry);
    }
    // Tasks that wait for their account's cap are no demand: the pool may have room.
    for (const auto &[entry, demand] : limited) {
        const bool isExhausted = m_caps.isExhausted(*entry->account, pool, m_accountUsage);
        add(*entry, isExhausted ? internal::waiting_demand{0, {}, {}, demand.work} : demand);
    }
    updateGangHold(shared, active, now);
    internal::placement_candidates workers{workersBesideGang(pool, shared, active, now)};
    if (order.empty() || workers.workers().empty()) {
        shared.wasUnplaced = false;
        m_pass = {};
        return;
    }
    const auto &need = shared.shares.total().reserved;
    const auto room = roomOf(m_workers.ofPool(pool), now);
    shared.shares.setFull(need.cpu > room.free.cpu || need.memoryMb > room.free.memoryMb);
    const bool takesShares = shared.shares.isFull() || shared.wasUnplaced;
    if (takesShares) {
        computeShares(pool, shared, room.capacity);
        planWithinShares(order, workers, leastCpu, now, wallTime);
    }
    planInOrder(order, workers, leastCpu, now, wallTime);
    shared.wasUnplaced = m_pass.isUnplaced || !order.empty();
    // What is free now is too small for any waiting task and no part of what accounts can share.
    shared.strandedCpu = !order.empty() && !shared.gangs.holder() ? freeCpuOf(workers.workers()) : 0;
    m_pass = {};
}

auto job_engine::computeShares(const core::pool_id &pool, shared_pool &shared, resources capacity) -> void
{
    capacity.cpu -= std::min(capacity.cpu, shared.strandedCpu);
    shared.shares.share(capacity, m_accountNumbers, [&](internal::account_number account) {
        return m_accountUsage.inPool(m_accountNumbers.limitsOf(account).name, pool);
    });
}

// First pass: jobs of accounts within their share. Leaves the other jobs in order.
auto job_engine::planWithinShares(std::vector<internal::ranked_job> &order, internal::placement_candidates &workers,
                                  std::int64_t leastCpu, core::monotonic_time now, core::wall_time wallTime) -> void
{
    const auto &shares = m_pass.pool->shares;
    const auto beyond =
        std::ranges::partition(order, [&](const auto &entry) { return shares.isWithin(entry.account); });
    std::vector<internal::ranked_job> later{beyond.begin(), beyond.end()};
    order.erase(beyond.begin(), beyond.end());
    std::ranges::make_heap(order, internal::isPlannedLater);
    m_pass.isFirst = true;
    while (!order.empty() && workers.mostFreeCpu() >= leastCpu) {
        std::ranges::pop_heap(order, internal::isPlannedLater);
        const auto entry = order.back();
        order.pop_back();
        if (shares.isWithin(entry.account)) {
            m_pass.account = entry.account;
            planJob(*entry.job, workers, now, wallTime);
        }
        if (!shares.isWithin(entry.account) && entry.job->waiting > 0) {
            later.push_back(entry);
        }
    }
    m_pass.isFirst = false;
    order.insert(order.end(), later.begin(), later.end());
}

auto job_engine::planInOrder(std::vector<internal::ranked_job> &order, internal::placement_candidates &workers,
                             std::int64_t leastCpu, core::monotonic_time now, core::wall_time wallTime) -> void
{
    if (workers.mostFreeCpu() < leastCpu) {
        return;
    }
    std::ranges::make_heap(order, internal::isPlannedLater);
    while (!order.empty() && workers.mostFreeCpu() >= leastCpu) {
        std::ranges::pop_heap(order, internal::isPlannedLater);
        m_pass.account = order.back().account;
        planJob(*order.back().job, workers, now, wallTime);
        order.pop_back();
    }
}

auto job_engine::updateGangHold(shared_pool &shared, const active_jobs &active, core::monotonic_time now) -> void
{
    shared.gangs.update(now, [&](const internal::gang_hold::gang &gang) {
        const auto found = active.find(gang.job);
        return found != active.end() && found->second.job->waitingOf(gang.occurrence, gang.step) > 0;
    });
}

// The gang for which workers are held is planned before all others, and others only on the workers that are not held.
auto job_engine::workersBesideGang(const core::pool_id &pool, const shared_pool &shared, const active_jobs &active,
                                   core::monotonic_time now) -> std::vector<worker_slot *>
{
    auto eligible = eligibleWorkersOf(pool, now);
    const auto &holder = shared.gangs.holder();
    if (!holder || eligible.empty()) {
        return eligible;
    }
    const auto &entry = active.at(holder->job);
    internal::placement_candidates all{eligible};
    m_pass.account = entry.accountNumber;
    placeGang(*entry.job, holder->occurrence, holder->step, all, now);
    if (entry.job->waitingOf(holder->occurrence, holder->step) > 0) {
        std::erase_if(eligible, [&](const auto *worker) { return shared.heldWorkers.contains(worker->entry.id); });
    }
    return eligible;
}

auto job_engine::isWithinShare() const -> bool
{
    return !m_pass.isFirst || m_pass.pool->shares.isWithin(m_pass.account);
}

// A gang that the pool can never run, or that exceeds its account's share, holds nothing back.
auto job_engine::noteUnplaced(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                              const internal::placement_candidates &workers, core::monotonic_time now) -> void
{
    if (m_pass.pool == nullptr) {
        return;
    }
    m_pass.isUnplaced = true;
    const auto &spec = job.spec.steps[step];
    if (!m_pass.isFirst || !spec.gang || job.queue.advice) {
        return;
    }
    const resources need{spec.perTask.cpu * spec.taskCount, spec.perTask.memoryMb * spec.taskCount, 0};
    if (!m_pass.pool->shares.allows(m_pass.account, need)) {
        return;
    }
    const auto held = workersForGang(spec, workers.workers());
    if (held.empty() || !m_pass.pool->gangs.onNoRoom({job.id, occurrence, step}, now)) {
        return;
    }
    m_pass.pool->heldWorkers.clear();
    for (const auto *worker : held) {
        m_pass.pool->heldWorkers.insert(worker->entry.id);
    }
    logEvent("gang_hold", stepNameOf({job.id, occurrence, step, 0}), {}, 0, "no_room");
}

auto job_engine::checkBacklog(const job_id &id, const queue_policy &queue, const multistep_job_spec &spec,
                              const account_id &account) const -> std::optional<std::chrono::seconds>
{
    const auto pool = m_sharedPools.find(queue.pool);
    const bool isLimited = m_accountNumbers.isAnyConfigured() && pool != m_sharedPools.end() && !spec.isLongRunning()
        && spec.repeatCount == 0 && !m_jobs.contains(id.str());
    if (!isLimited) {
        return std::nullopt;
    }
    const auto &shares = pool->second.shares;
    const auto number = m_accountNumbers.find(account);
    const auto cores = shares.shareCoresOf(number);
    return backlogRetryAfter({shares.isFull(), shares.isOver(number), shares.waitingWorkOf(number), cores},
                             objectiveSpan(queue, spec), id);
}

auto job_engine::accountStatus() const -> std::vector<account_status>
{
    std::vector<account_status> listed;
    std::vector<std::size_t> positions;
    for (const auto number : m_accountNumbers.configured()) {
        const auto &limits = m_accountNumbers.limitsOf(number);
        account_status status;
        status.limits = limits;
        status.use = m_accountUsage.usageOf(limits.name);
        status.atCapSince = atCapSince(limits.name);
        for (const auto &[pool, shared] : m_sharedPools) {
            status.shareCores += shared.shares.shareCoresOf(number);
        }
        positions.resize(std::max<std::size_t>(positions.size(), number + std::size_t{1}));
        listed.push_back(status);
        positions[number] = listed.size();
    }
    for (const auto &[pool, active] : m_activeJobs) {
        for (const auto &[id, entry] : active) {
            if (entry.accountNumber >= positions.size() || positions[entry.accountNumber] == 0) {
                continue;
            }
            auto &status = listed[positions[entry.accountNumber] - 1];
            status.waitingTasks += entry.job->waiting;
            status.waitingCoreSeconds += internal::waitingDemandOf(*entry.job, core::wall_time::max()).work;
        }
    }
    return listed;
}
} // namespace poplarpass::jobs
