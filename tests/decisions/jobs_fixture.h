#pragma once

#include <poplarpass/jobs.h>

#include <string>
#include <vector>

/// Builders of small jobs, workers and reports for tests of poplarpass::jobs.
namespace tests::jobs_fixture
{
namespace core = poplarpass::core;
namespace jobs = poplarpass::jobs;

inline constexpr std::int64_t hostCpu = 16'000;

/// \brief Returns the monotonic time \p milliseconds after the start of a test.
inline auto at(std::int64_t milliseconds) -> core::monotonic_time
{
    return core::monotonic_time{std::chrono::seconds{1000} + std::chrono::milliseconds{milliseconds}};
}

/// \brief Returns the wall time \p milliseconds after the start of a test.
inline auto wallAt(std::int64_t milliseconds) -> core::wall_time
{
    return core::fromUnixMilliseconds(1'800'000'000'000 + milliseconds);
}

inline auto step(std::uint32_t count, std::int64_t cpu = 1000, std::int64_t estimateMs = 1000) -> jobs::step_spec
{
    jobs::step_spec spec;
    spec.taskCount = count;
    spec.perTask = {cpu, 100, 0};
    spec.estimate = std::chrono::milliseconds{estimateMs};
    return spec;
}

inline auto jobOf(std::vector<jobs::step_spec> steps) -> jobs::multistep_job_spec
{
    jobs::multistep_job_spec spec;
    spec.payload = "payload";
    spec.steps = std::move(steps);
    return spec;
}

inline auto queue(std::uint32_t maxAttempts = 3) -> jobs::queue_policy
{
    jobs::queue_policy policy;
    policy.name = jobs::queue_id{"queue"};
    policy.pool = core::pool_id{"pool"};
    policy.maxAttempts = maxAttempts;
    policy.stretch = 1.6;
    policy.targetLatency = std::chrono::milliseconds{600};
    return policy;
}

inline auto worker(const std::string &id, std::int64_t incarnation = 1, const std::string &pool = "pool")
    -> jobs::worker_entry
{
    jobs::worker_entry entry;
    entry.id = jobs::worker_id{id};
    entry.incarnation = incarnation;
    entry.pool = core::pool_id{pool};
    entry.address = id + ".example:80";
    entry.capacity = {hostCpu, 32'000, 0};
    entry.labels = {"kind", "rack-" + id};
    return entry;
}

inline auto report(std::int64_t incarnation = 1) -> jobs::renewal_report
{
    jobs::renewal_report result;
    result.incarnation = incarnation;
    result.clockMs = 1;
    return result;
}

/// \brief Returns an engine with the given workers, all of which have answered a renewal.
inline auto engineWith(const std::vector<jobs::worker_entry> &workers) -> jobs::job_engine
{
    jobs::job_engine engine{nullptr};
    engine.updateWorkers(workers, at(0));
    for (const auto &entry : workers) {
        engine.onReport(entry.id, report(entry.incarnation), at(0), at(0));
    }
    return engine;
}

/// \brief Plans at \p now and answers all starts that this orders as accepted.
inline auto startAll(jobs::job_engine &engine, std::int64_t now) -> std::vector<jobs::start_order>
{
    engine.plan(at(now), wallAt(now));
    const auto orders = engine.drainOrders();
    for (const auto &order : orders.starts) {
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(now));
    }
    return orders.starts;
}

/// \brief Returns the end of the run that \p order started.
inline auto endOf(std::uint64_t number, const jobs::start_order &order, jobs::end_kind how) -> jobs::ended_run
{
    return {number, jobs::nameOf(order.task), order.run, how, {}};
}
} // namespace tests::jobs_fixture
