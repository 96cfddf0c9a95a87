#include <poplarpass/jobs/constants.h>
#include <poplarpass/jobs/placement_candidates.h>
#include <poplarpass/jobs/suspect_workers.h>
#include <poplarpass/jobs/task_placement.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace poplarpass::jobs::internal
{
namespace
{
/// \brief Returns how much the crash of \p worker would cost; long-running tasks lose more than others.
auto crashCost(const worker_slot &worker) -> std::tuple<std::uint32_t, std::size_t>
{
    return {worker.longRunningRuns, worker.placed.size()};
}

auto isReservedFor(const worker_slot &worker, const job_id &job, core::monotonic_time now) -> bool
{
    return worker.isReserved(now) && worker.observation->job == job;
}
} // namespace

suspect_workers::suspect_workers(std::vector<worker_slot *> workers, core::monotonic_time now,
                                 const std::function<bool(const worker_slot &)> &isQuiet)
    : m_workers{std::move(workers)}
    , m_now{now}
{
    std::ranges::copy_if(m_workers, std::back_inserter(m_quiet),
                         [&](const worker_slot *worker) { return isQuiet(*worker); });
    std::ranges::sort(m_quiet, std::less<>{});
}

auto suspect_workers::workers() const -> std::span<worker_slot *const>
{
    return m_workers;
}

auto suspect_workers::isFreeFor(const worker_slot &worker, const job_id &job) const -> bool
{
    const bool isQuiet = std::ranges::binary_search(m_quiet, &worker, std::less<>{});
    if (worker.isReserved(m_now)) {
        return isReservedFor(worker, job, m_now) && (worker.observation->started || isQuiet);
    }
    return isQuiet && mayReserve();
}

auto suspect_workers::mayReserve() const -> bool
{
    const auto reserved = static_cast<std::size_t>(
        std::ranges::count_if(m_workers, [this](const worker_slot *worker) { return worker->isReserved(m_now); }));
    return reserved < (m_workers.size() + reservedWorkersDivisor - 1) / reservedWorkersDivisor;
}

auto suspect_workers::hasReservation(const job_id &job) const -> bool
{
    return std::ranges::any_of(m_workers,
                               [&](const worker_slot *worker) { return isReservedFor(*worker, job, m_now); });
}

auto suspect_workers::choose(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                             std::span<worker_slot *const> permitted) const -> worker_slot *
{
    std::vector<worker_slot *> free;
    std::ranges::copy_if(permitted, std::back_inserter(free),
                         [&](const worker_slot *worker) { return isFreeFor(*worker, job.id); });
    // Of equal workers the one heard of last is the least likely to be gone already.
    std::ranges::stable_sort(free, {}, [&](const worker_slot *worker) {
        return std::tuple{!isReservedFor(*worker, job.id, m_now), crashCost(*worker), m_now - worker->lastHeardAt};
    });
    for (auto *worker : free) {
        const placement_candidates only{{worker}};
        if (only.choose(job, occurrence, step) != nullptr) {
            return worker;
        }
    }
    return nullptr;
}

auto suspect_workers::observe(worker_slot &worker, const job_id &job) const -> void
{
    worker.observation = start_observation{job, m_now + reservationTime, true};
}

auto suspect_workers::reserve(const job_id &job, const step_spec &step, std::span<worker_slot *const> permitted) const
    -> worker_slot *
{
    if (hasReservation(job) || !mayReserve()) {
        return nullptr;
    }
    const auto need = requiredResources(step);
    worker_slot *best = nullptr;
    for (auto *worker : permitted) {
        const bool fitsOnceEmpty = worker->entry.capacity.holds(need);
        const bool isLabelled = step.requirement.empty() || worker->hasLabel(step.requirement);
        if (!fitsOnceEmpty || !isLabelled || worker->isReserved(m_now)) {
            continue;
        }
        if (best == nullptr || crashCost(*worker) < crashCost(*best)) {
            best = worker;
        }
    }
    if (best != nullptr) {
        best->observation = start_observation{job, m_now + reservationTime, false};
    }
    return best;
}
} // namespace poplarpass::jobs::internal
