#include <poplarpass/jobs/job_order.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <limits>

namespace poplarpass::jobs
{
namespace
{
constexpr std::uint32_t longRunningTier = 0;
constexpr std::uint32_t timelyTier = 1;
constexpr std::uint32_t lateTier = 2;

auto remainingWork(const multistep_job_record &job) -> std::int64_t
{
    std::int64_t work = 0;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const auto &spec = job.spec.steps[step];
        work += std::int64_t{job.unfinishedOf(0, step)} * spec.perTask.cpu * spec.estimate.count();
    }
    return work;
}

auto leastCpu(const multistep_job_record &job) -> std::int64_t
{
    auto least = std::numeric_limits<std::int64_t>::max();
    for (const auto &step : job.spec.steps) {
        least = std::min(least, internal::requiredResources(step).cpu);
    }
    return least;
}
} // namespace

auto outlookOf(const multistep_job_record &job) -> job_outlook
{
    job_outlook outlook;
    outlook.isLongRunning = job.spec.isLongRunning();
    outlook.isScheduled = job.spec.repeatCount > 0;
    outlook.priority = job.queue.priority;
    outlook.acceptedAt = job.acceptedAt;
    outlook.objective = objectiveOf(job);
    outlook.remainingChain = remainingChain(job);
    outlook.remainingWork = remainingWork(job);
    outlook.leastCpu = leastCpu(job);
    return outlook;
}

auto objectiveSpan(const queue_policy &queue, const multistep_job_spec &spec) -> core::duration
{
    const auto chain = std::chrono::duration<double, std::micro>{
        longestChain(spec, [&](std::uint32_t step) { return spec.steps[step].estimate; })};
    return std::chrono::duration_cast<core::duration>(chain * queue.stretch) + queue.targetLatency;
}

auto objectiveOf(const multistep_job_record &job) -> core::wall_time
{
    return job.acceptedAt + objectiveSpan(job.queue, job.spec);
}

auto remainingChain(const multistep_job_record &job) -> std::chrono::milliseconds
{
    return longestChain(job.spec, [&](std::uint32_t step) {
        const bool unfinished = job.unfinishedOf(0, step) > 0;
        return unfinished ? job.spec.steps[step].estimate : std::chrono::milliseconds{0};
    });
}

auto rankOf(const job_outlook &outlook, core::wall_time now) -> job_rank
{
    const auto arrival = outlook.acceptedAt.time_since_epoch().count();
    if (outlook.isLongRunning) {
        return {longRunningTier, outlook.priority, arrival};
    }
    if (outlook.isScheduled) {
        return {timelyTier, outlook.priority, 0};
    }
    const bool timely = now + outlook.remainingChain <= outlook.objective;
    if (timely) {
        return {timelyTier, outlook.priority, outlook.remainingWork};
    }
    return {lateTier, outlook.priority, arrival};
}
} // namespace poplarpass::jobs
