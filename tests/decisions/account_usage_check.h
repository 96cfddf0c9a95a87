#pragma once

#include <poplarpass/jobs.h>

#include <map>
#include <string>
#include <utility>

/// Comparison of an engine's account usage with the runs that are placed on its workers.
namespace tests::account_usage_check
{
namespace core = poplarpass::core;
namespace jobs = poplarpass::jobs;

/// \brief Recomputes the usage of all accounts from the tasks placed on \p engine's workers and its lingering runs.
/// \returns the first difference to the engine's own account; empty when there is none
inline auto differenceIn(jobs::job_engine &engine) -> std::string
{
    std::map<std::pair<jobs::account_id, core::pool_id>, jobs::resources> byPool;
    std::map<jobs::account_id, jobs::resources> total;
    // Accounts without placed runs must have no usage.
    for (const auto &[id, job] : engine.jobs()) {
        byPool[{job.account, job.queue.pool}];
        total[job.account];
    }
    for (const auto &[id, worker] : engine.workers().all()) {
        for (const auto &task : worker.placed) {
            const auto &job = *engine.find(task.job);
            const auto &need = job.spec.steps.at(task.step).perTask;
            byPool[{job.account, job.queue.pool}] += need;
            total[job.account] += need;
        }
    }
    for (const auto &[id, runs] : engine.lingeringRuns()) {
        for (const auto &run : runs) {
            byPool[{run.account, run.pool}] += run.need;
            total[run.account] += run.need;
        }
    }
    for (const auto &[account, usage] : total) {
        if (engine.accountUsage().usageOf(account) != usage) {
            return "account '" + account.str() + "'";
        }
    }
    for (const auto &[key, usage] : byPool) {
        if (engine.accountUsage().usageOf(key.first, key.second) != usage) {
            return "account '" + key.first.str() + "' in pool " + key.second.str();
        }
    }
    return {};
}
} // namespace tests::account_usage_check
