#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/job_engine.h>

#include <algorithm>

// Workers that end, or stay silent until their lease has expired, although nothing announced it.
namespace poplarpass::jobs
{
auto job_engine::onWorkerCrash(const worker_slot &worker, std::string_view reason) -> void
{
    const bool isExpectedToEnd = worker.leaving || worker.entry.draining;
    if (worker.placed.empty() || isExpectedToEnd) {
        return;
    }
    ++m_counters.workerCrashes;
    crash_counts counts;
    for (const auto &task : worker.placed) {
        const auto [job, state] = locate(task);
        if (job != nullptr) {
            ++counts.placed;
            counts.suspects += internal::isCrashSuspect(*state, worker) ? 1 : 0;
        }
    }
    logEvent("worker_crashed", worker.entry.id.str(), worker.entry.id, 0, reason, {{}, counts});
}

auto job_engine::logRunLost(const task_ref &task, const worker_slot &worker, const task_record &state,
                            std::string_view reason) -> void
{
    logEvent("run_lost", nameOf(task), worker.entry.id, state.run, reason, {internal::knownRunTime(state, worker), {}});
}
} // namespace poplarpass::jobs
