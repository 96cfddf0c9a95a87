#include "account_world.h"

#include <array>
#include <string_view>
#include <utility>

namespace bench
{
namespace core = poplarpass::core;
namespace jobs = poplarpass::jobs;

namespace
{
constexpr std::array<std::string_view, 5> poolNames{"counter", "titles", "rental", "probate", "members"};
constexpr std::int64_t cycleMs = 15;
constexpr std::int64_t runMs = 1000;
/// \brief A worker without ends reports this often.
constexpr std::int64_t idleReportMs = 400;
constexpr std::int64_t incarnation = 5;
constexpr std::uint64_t flooderPart = 3;
constexpr jobs::resources workerCapacity{16'000, 32'000, 0};

auto poolOf(std::uint64_t number) -> core::pool_id
{
    return core::pool_id{std::string{poolNames.at(number % poolNames.size())}};
}

auto makeSpec() -> jobs::multistep_job_spec
{
    jobs::step_spec step;
    step.taskCount = 8;
    step.perTask = {2200, 1000, 0};
    step.estimate = std::chrono::milliseconds{runMs};
    auto second = step;
    second.taskCount = 5;
    second.after = {0};
    jobs::multistep_job_spec spec;
    spec.payload = "payload";
    spec.steps = {step, second};
    return spec;
}

/// \brief Adds the time from its construction to its destruction.
class stopwatch
{
public:
    explicit stopwatch(std::chrono::nanoseconds &sum)
        : m_sum{sum}
    {
    }

    ~stopwatch()
    {
        m_sum += std::chrono::steady_clock::now() - m_from;
    }

    stopwatch(const stopwatch &) = delete;
    auto operator=(const stopwatch &) -> stopwatch & = delete;

private:
    std::chrono::nanoseconds &m_sum;
    std::chrono::steady_clock::time_point m_from = std::chrono::steady_clock::now();
};
} // namespace

account_world::account_world(int workers, int accounts)
    : m_accounts{accounts}
{
    std::vector<jobs::account_limits> limits;
    for (int number = 0; number < accounts; ++number) {
        limits.push_back({jobs::account_id{"account" + std::to_string(number)}, 1.0 + number % 188, {}});
    }
    m_engine.updateAccounts(limits);
    std::vector<jobs::worker_entry> entries;
    for (int number = 0; number < workers; ++number) {
        jobs::worker_entry entry;
        entry.id = jobs::worker_id{"w" + std::to_string(number)};
        entry.incarnation = incarnation;
        entry.pool = poolOf(static_cast<std::uint64_t>(number));
        entry.capacity = workerCapacity;
        entry.labels = {"kind", "rack"};
        m_positions[entry.id] = m_workers.size();
        m_workers.push_back({entry.id, {}, 0, 0});
        entries.push_back(std::move(entry));
    }
    m_engine.updateWorkers(entries, now());
    for (auto &worker : m_workers) {
        m_engine.onReport(worker.id, reportOf(worker), now(), now());
    }
}

auto account_world::now() const -> core::monotonic_time
{
    return core::monotonic_time{std::chrono::seconds{1000} + std::chrono::milliseconds{m_nowMs}};
}

auto account_world::wallNow() const -> core::wall_time
{
    return core::fromUnixMilliseconds(1'800'000'000'000 + m_nowMs);
}

auto account_world::nextAccount() -> jobs::account_id
{
    if (m_accounts == 0) {
        return {};
    }
    const auto others = static_cast<std::uint64_t>(m_accounts);
    const auto number = m_jobs % flooderPart == 0 ? 0 : m_jobs % others;
    return jobs::account_id{"account" + std::to_string(number)};
}

auto account_world::submit(std::size_t count) -> void
{
    for (std::size_t index = 0; index < count; ++index) {
        jobs::queue_policy queue;
        queue.pool = poolOf(++m_jobs);
        queue.name = jobs::queue_id{queue.pool.str()};
        queue.maxAttempts = 3;
        const jobs::job_id id{std::to_string(m_jobs)};
        auto spec = makeSpec();
        const auto account = nextAccount();
        const stopwatch watch{m_busy};
        // The load is the same with and without accounts, so that a refusal is only counted.
        m_refusals += m_engine.checkBacklog(id, queue, spec, account) ? 1 : 0;
        m_engine.submit(id, queue, std::move(spec), wallNow(), account);
    }
}

auto account_world::run(std::chrono::milliseconds time, double jobsPerSecond) -> void
{
    for (const auto endMs = m_nowMs + time.count(); m_nowMs < endMs; m_nowMs += cycleMs) {
        step(jobsPerSecond);
    }
}

auto account_world::step(double jobsPerSecond) -> void
{
    for (auto &worker : m_workers) {
        const auto report = reportOf(worker);
        if (!report.ended.empty() || m_nowMs - worker.reportedMs >= idleReportMs) {
            worker.reportedMs = m_nowMs;
            const stopwatch watch{m_busy};
            m_engine.onReport(worker.id, report, now(), now());
        }
    }
    m_dueJobs += jobsPerSecond * static_cast<double>(cycleMs) / 1000;
    const auto due = static_cast<std::size_t>(m_dueJobs);
    m_dueJobs -= static_cast<double>(due);
    submit(due);
    jobs::order_batch orders;
    {
        const stopwatch watch{m_busy};
        m_engine.plan(now(), wallNow());
        m_engine.drainChangedJobs();
        orders = m_engine.drainOrders();
    }
    for (const auto &order : orders.starts) {
        m_workers[m_positions.at(order.worker)].running[jobs::nameOf(order.task)] = {order.run, m_nowMs + runMs};
        const stopwatch watch{m_busy};
        m_engine.onStartAnswer(order, jobs::run_start_answer::started, now());
    }
}

auto account_world::reportOf(sim_worker &worker) const -> jobs::renewal_report
{
    jobs::renewal_report report;
    report.incarnation = incarnation;
    report.clockMs = m_nowMs + 1;
    for (auto entry = worker.running.begin(); entry != worker.running.end();) {
        const auto &[task, run] = *entry;
        if (run.second <= m_nowMs) {
            report.ended.push_back({++worker.lastEnd, task, run.first, jobs::end_kind::done, {}});
            entry = worker.running.erase(entry);
        } else {
            report.running.push_back({task, run.first, {}, 50, 0});
            ++entry;
        }
    }
    return report;
}

auto account_world::usage() const -> engine_usage
{
    return {m_busy, m_engine.counters().starts};
}
} // namespace bench
