#include "account_load.h"

#include <algorithm>

namespace tests
{
using namespace jobs_fixture;

namespace
{
constexpr std::int64_t stepMs = 10;

auto workersOf(int count) -> std::vector<jobs::worker_entry>
{
    std::vector<jobs::worker_entry> entries;
    for (int number = 0; number < count; ++number) {
        entries.push_back(worker("w" + std::to_string(100 + number)));
        entries.back().capacity.memoryMb = 1'000'000;
    }
    return entries;
}

auto jobIdOf(std::size_t number) -> jobs::job_id
{
    return jobs::job_id{"j" + std::to_string(number)};
}

auto specOf(const load_job &job) -> jobs::multistep_job_spec
{
    auto spec = step(job.tasks, job.cpu, job.runMs);
    spec.gang = job.gang;
    return jobOf({spec});
}
} // namespace

account_load::account_load(int workers)
    : m_engine{engineWith(workersOf(workers))}
{
    for (const auto &entry : workersOf(workers)) {
        m_workers[entry.id.str()];
    }
}

auto account_load::setAccounts(const std::map<std::string, double> &weights) -> void
{
    std::vector<jobs::account_limits> accounts;
    for (const auto &[name, weight] : weights) {
        accounts.push_back({jobs::account_id{name}, weight, {}});
    }
    m_engine.updateAccounts(accounts);
}

auto account_load::setLimited(bool limited) -> void
{
    m_isLimited = limited;
}

auto account_load::play(std::vector<load_job> load, std::int64_t endMs) -> std::vector<load_result>
{
    std::ranges::stable_sort(load, {}, &load_job::submittedMs);
    for (auto &job : load) {
        m_results.push_back({std::move(job)});
    }
    std::size_t next = 0;
    for (std::int64_t now = 0; now < endMs; now += stepMs) {
        reportAll(now);
        collectEnded(now);
        while (next < m_results.size() && m_results[next].job.submittedMs <= now) {
            submit(next++, now);
        }
        m_engine.plan(at(now), wallAt(now));
        startAll(now);
        recordUse(now);
    }
    return m_results;
}

auto account_load::submit(std::size_t number, std::int64_t nowMs) -> void
{
    auto &result = m_results[number];
    const jobs::account_id account{result.job.account};
    const auto spec = specOf(result.job);
    if (m_isLimited && m_engine.checkBacklog(jobIdOf(number), queue(), spec, account)) {
        result.refused = true;
        return;
    }
    m_engine.submit(jobIdOf(number), queue(), spec, wallAt(nowMs), account);
    m_open.push_back(number);
}

auto account_load::reportAll(std::int64_t nowMs) -> void
{
    for (auto &[name, state] : m_workers) {
        auto answer = report();
        answer.clockMs = nowMs + 1;
        for (auto entry = state.running.begin(); entry != state.running.end();) {
            const auto &[task, run] = *entry;
            if (run.endsMs <= nowMs) {
                answer.ended.push_back({++state.lastEnd, task, run.run, jobs::end_kind::done, {}});
                entry = state.running.erase(entry);
            } else {
                answer.running.push_back({task, run.run, {}, 50, 0});
                ++entry;
            }
        }
        m_engine.onReport(jobs::worker_id{name}, answer, at(nowMs), at(nowMs));
    }
}

auto account_load::startAll(std::int64_t nowMs) -> void
{
    m_engine.drainChangedJobs();
    for (const auto &order : m_engine.drainOrders().starts) {
        const auto &job = m_results[std::stoul(order.task.job.str().substr(1))].job;
        m_workers.at(order.worker.str()).running[jobs::nameOf(order.task)] = {order.run, nowMs + job.runMs};
        m_engine.onStartAnswer(order, jobs::run_start_answer::started, at(nowMs));
    }
}

auto account_load::recordUse(std::int64_t nowMs) -> void
{
    std::map<std::string, double> use;
    for (const auto &[name, state] : m_workers) {
        for (const auto &[task, run] : state.running) {
            const auto &job = m_results[std::stoul(task.substr(1))].job;
            use[job.account] += static_cast<double>(job.cpu * stepMs) / 1000;
        }
    }
    m_use.emplace_back(nowMs, std::move(use));
}

auto account_load::collectEnded(std::int64_t nowMs) -> void
{
    std::erase_if(m_open, [&](std::size_t number) {
        const auto *job = m_engine.find(jobIdOf(number));
        if (job->phase == jobs::multistep_job_phase::active) {
            return false;
        }
        m_results[number].tookMs = nowMs - m_results[number].job.submittedMs;
        m_results[number].inTime = wallAt(nowMs) <= jobs::objectiveOf(*job);
        return true;
    });
}

auto account_load::usedBetween(const std::string &account, std::int64_t fromMs, std::int64_t toMs) const -> double
{
    auto sum = 0.0;
    for (const auto &[time, use] : m_use) {
        const auto found = use.find(account);
        sum += time >= fromMs && time < toMs && found != use.end() ? found->second : 0.0;
    }
    return sum;
}

auto account_load::engine() -> jobs::job_engine &
{
    return m_engine;
}
} // namespace tests
