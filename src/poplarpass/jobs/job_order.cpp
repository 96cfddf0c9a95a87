#include <poplarpass/jobs/job_order.h>

#include <algorithm>

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

} // namespace

auto objectiveOf(const multistep_job_record &job) -> core::wall_time
{
    const auto chain = std::chrono::duration<double, std::micro>{
        longestChain(job.spec, [&](std::uint32_t step) { return job.spec.steps[step].estimate; })};
    const auto stretched = std::chrono::duration_cast<core::duration>(chain * job.queue.stretch);
    return job.acceptedAt + stretched + job.queue.targetLatency;
}

auto remainingChain(const multistep_job_record &job) -> std::chrono::milliseconds
{
    return longestChain(job.spec, [&](std::uint32_t step) {
        const bool unfinished = job.unfinishedOf(0, step) > 0;
        return unfinished ? job.spec.steps[step].estimate : std::chrono::milliseconds{0};
    });
}

auto rankOf(const multistep_job_record &job, core::wall_time now) -> job_rank
{
    if (job.spec.isLongRunning()) {
        return {longRunningTier, job.queue.priority, job.acceptedAt.time_since_epoch().count()};
    }
    if (job.spec.repeatCount > 0) {
        return {timelyTier, job.queue.priority, 0};
    }
    const bool timely = now + remainingChain(job) <= objectiveOf(job);
    if (timely) {
        return {timelyTier, job.queue.priority, remainingWork(job)};
    }
    return {lateTier, job.queue.priority, job.acceptedAt.time_since_epoch().count()};
}
} // namespace poplarpass::jobs
