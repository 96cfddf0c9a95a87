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

auto remainingWork(const multistep_job_record &job, const run_time_hook &runTimeOf) -> std::int64_t
{
    std::int64_t work = 0;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const auto &spec = job.spec.steps[step];
        work += std::int64_t{job.unfinishedOf(0, step)} * spec.perTask.cpu * runTimeOf(job.queue.name, spec).count();
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

auto outlookOf(const multistep_job_record &job, const run_time_hook &runTimeOf) -> job_outlook
{
    job_outlook outlook;
    outlook.isLongRunning = job.spec.isLongRunning();
    outlook.isScheduled = job.spec.repeatCount > 0;
    outlook.priority = job.queue.priority;
    outlook.acceptedAt = job.acceptedAt;
    outlook.objective = objectiveOf(job, runTimeOf);
    outlook.remainingChain = remainingChain(job, runTimeOf);
    outlook.remainingWork = remainingWork(job, runTimeOf);
    outlook.leastCpu = leastCpu(job);
    return outlook;
}

auto objectiveSpan(const queue_policy &queue, const multistep_job_spec &spec, const run_time_hook &runTimeOf)
    -> core::duration
{
    const auto chain = std::chrono::duration<double, std::micro>{
        longestChain(spec, [&](std::uint32_t step) { return runTimeOf(queue.name, spec.steps[step]); })};
    return std::chrono::duration_cast<core::duration>(chain * queue.stretch) + queue.targetLatency;
}

auto objectiveOf(const multistep_job_record &job, const run_time_hook &runTimeOf) -> core::wall_time
{
    return job.acceptedAt + objectiveSpan(job.queue, job.spec, runTimeOf);
}

auto remainingChain(const multistep_job_record &job, const run_time_hook &runTimeOf) -> std::chrono::milliseconds
{
    return longestChain(job.spec, [&](std::uint32_t step) {
        const bool unfinished = job.unfinishedOf(0, step) > 0;
        return unfinished ? runTimeOf(job.queue.name, job.spec.steps[step]) : std::chrono::milliseconds{0};
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
