#include <poplarpass/jobs/job_engine.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>

// Usage and caps of client accounts.
namespace poplarpass::jobs
{
namespace
{
auto leastNeedOf(const multistep_job_spec &spec) -> resources
{
    auto least = resourcesToStart(spec.steps.front());
    for (const auto &step : spec.steps) {
        const auto need = resourcesToStart(step);
        least = {std::min(least.cpu, need.cpu), std::min(least.memoryMb, need.memoryMb), std::min(least.gpu, need.gpu)};
    }
    return least;
}
} // namespace

auto job_engine::updateAccounts(std::span<const account_limits> accounts) -> void
{
    m_accountNumbers.update(accounts);
    if (!m_caps.update(accounts)) {
        return;
    }
    for (auto &[pool, active] : m_activeJobs) {
        for (auto &[id, entry] : active) {
            linkAccount(entry);
        }
    }
}

auto job_engine::disableAccounts() -> void
{
    for (auto &[pool, active] : m_activeJobs) {
        for (auto &[id, entry] : active) {
            entry.account = nullptr;
        }
    }
    m_caps.clear();
    m_accountNumbers.update({});
    m_sharedPools.clear();
}

auto job_engine::setCapsConfirmed(bool confirmed) -> void
{
    m_caps.setConfirmed(confirmed);
}

auto job_engine::limitsOf(const account_id &account) const -> const account_limits *
{
    const auto *entry = m_caps.find(account);
    return entry == nullptr ? nullptr : &entry->limits;
}

auto job_engine::atCapSince(const account_id &account) const -> std::optional<core::monotonic_time>
{
    const auto *entry = m_caps.find(account);
    return entry == nullptr ? std::nullopt : entry->atCapSince;
}

auto job_engine::exceedsCap(const multistep_job_spec &spec, const account_id &account) const -> bool
{
    const auto *limits = limitsOf(account);
    return limits != nullptr && std::ranges::any_of(spec.steps, [&](const step_spec &step) {
               return jobs::exceedsCap(limits->cap, resourcesToStart(step));
           });
}

auto job_engine::linkAccount(active_job &entry) -> void
{
    if (entry.job->account.empty()) {
        return;
    }
    entry.account = m_caps.find(entry.job->account);
    entry.leastNeed = leastNeedOf(entry.job->spec);
}

auto job_engine::capPermits(const multistep_job_record &job, const step_spec &step) -> bool
{
    auto *account = job.account.empty() ? nullptr : m_caps.find(job.account);
    return account == nullptr
        || m_caps.permits(*account, job.queue.pool, resourcesToStart(step), m_accountUsage.usageOf(job.account));
}

auto job_engine::onCappedStart(const multistep_job_record &job) -> void
{
    auto *account = job.account.empty() ? nullptr : m_caps.find(job.account);
    if (account != nullptr) {
        m_caps.onStart(*account, job.queue.pool);
    }
}

// Above its cap an account gets no starts, so a task that is stopped to be moved would not start again.
auto job_engine::mayRestart(const multistep_job_record &job) const -> bool
{
    const auto *account = job.account.empty() ? nullptr : m_caps.find(job.account);
    return account == nullptr || m_caps.mayRestart(*account, m_accountUsage.usageOf(job.account));
}

auto job_engine::reportCaps() -> void
{
    m_caps.endPlan(m_accountUsage, [this](const account_id &account, bool isAtCap, std::string_view resource) {
        if (isAtCap) {
            logEvent("account_at_cap", account.str(), {}, 0, resource);
        } else {
            logEvent("account_below_cap", account.str(), {}, 0, resource);
        }
    });
}
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
        endObservation(*worker, task.job);
        m_accountUsage.remove(job.account, job.queue.pool, step.perTask);
    }
}
} // namespace poplarpass::jobs
