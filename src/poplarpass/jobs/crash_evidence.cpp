#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/crash_evidence.h>

#include <algorithm>

namespace poplarpass::jobs::internal
{
auto knownRunTime(const task_record &state, const worker_slot &worker) -> core::duration
{
    return state.acknowledged ? std::max(worker.lastHeardAt - state.acknowledgedAt, core::duration{0})
                              : core::duration{0};
}

auto isCrashSuspect(const task_record &state, const worker_slot &worker) -> bool
{
    return knownRunTime(state, worker) < startCrashWindow;
}
} // namespace poplarpass::jobs::internal
