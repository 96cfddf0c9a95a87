#include "jobs_fixture.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

using namespace tests::jobs_fixture;

namespace
{
/// \brief A job of the simulated load: one step of equal tasks.
struct simulated_job
{
    jobs::multistep_job_record record;
    std::int64_t arrivedAt = 0;
    std::int64_t runMs = 0;
    std::uint32_t waiting = 0;
    std::uint32_t remaining = 0;
    std::int64_t doneAt = -1;
};

using rank_function = std::function<jobs::job_rank(const simulated_job &, std::int64_t)>;
using task_done_hook = std::function<void(const simulated_job &)>;

/// \brief Generates a load spike: 30 jobs per second for four seconds, more than twice what 100 slots can run, then
/// 0.5 jobs per second.
/// \param declaredSpread standard deviation of the logarithm of declared over actual run times
auto makeBurst(std::uint64_t seed, double declaredSpread = 0) -> std::vector<simulated_job>
{
    std::mt19937_64 random{seed};
    std::vector<simulated_job> load;
    double next = 0;
    while (next < 10'000) {
        const double perSecond = next < 4000 ? 30.0 : 0.5;
        next += std::exponential_distribution<double>{perSecond / 1000}(random);
        simulated_job job;
        job.arrivedAt = static_cast<std::int64_t>(next);
        job.runMs = 400 + static_cast<std::int64_t>(random() % 1600);
        job.waiting = 2 + static_cast<std::uint32_t>(random() % 10);
        job.remaining = job.waiting;
        auto declaredMs = job.runMs;
        if (declaredSpread > 0) {
            std::lognormal_distribution<double> error{0, declaredSpread};
            declaredMs = std::max<std::int64_t>(std::llround(static_cast<double>(job.runMs) * error(random)), 1);
        }
        job.record = jobs::makeJob(jobs::job_id{std::to_string(load.size())}, queue(),
                                   jobOf({step(job.waiting, 1000, declaredMs)}), wallAt(job.arrivedAt));
        load.push_back(std::move(job));
    }
    return load;
}

/// \brief Simulates the load on a pool of \p slots one-core slots.
/// \returns number of jobs that met their objective
auto servedInTime(std::vector<simulated_job> load, std::uint32_t slots, const rank_function &order,
                  const task_done_hook &onTaskDone = {}) -> std::size_t
{
    struct running
    {
        std::int64_t endsAt;
        std::size_t job;

        auto operator>(const running &other) const -> bool
        {
            return endsAt > other.endsAt;
        }
    };
    std::priority_queue<running, std::vector<running>, std::greater<>> busy;
    for (std::int64_t now = 0; now < 60'000; now += 10) {
        while (!busy.empty() && busy.top().endsAt <= now) {
            auto &job = load[busy.top().job];
            busy.pop();
            job.doneAt = --job.remaining == 0 ? now : job.doneAt;
            job.record.unfinishedTasks[0] = job.remaining;
            if (onTaskDone) {
                onTaskDone(job);
            }
        }
        while (busy.size() < slots) {
            std::optional<std::size_t> best;
            for (std::size_t index = 0; index < load.size() && load[index].arrivedAt <= now; ++index) {
                if (load[index].waiting > 0 && (!best || order(load[index], now) < order(load[*best], now))) {
                    best = index;
                }
            }
            if (!best) {
                break;
            }
            --load[*best].waiting;
            busy.push({now + load[*best].runMs, *best});
        }
    }
    return static_cast<std::size_t>(std::ranges::count_if(load, [](const simulated_job &job) {
        const auto objective = jobs::objectiveOf(job.record, [&job](const jobs::queue_id &, const jobs::step_spec &) {
            return std::chrono::milliseconds{job.runMs};
        });
        return job.doneAt >= 0 && wallAt(job.doneAt) <= objective;
    }));
}
} // namespace

TEST_CASE("In a load spike above the pool's capacity, ranking meets more objectives than order of arrival",
          "[jobs][load]")
{
    constexpr std::uint32_t slots = 100;
    std::size_t ranked = 0;
    std::size_t byArrival = 0;
    for (std::uint64_t round = 0; round < 5; ++round) {
        const auto load = makeBurst(tests::baseSeed() + round);
        ranked += servedInTime(load, slots, [](const simulated_job &job, std::int64_t now) {
            return jobs::rankOf(jobs::outlookOf(job.record), wallAt(now));
        });
        byArrival += servedInTime(load, slots, [](const simulated_job &job, std::int64_t) {
            return jobs::job_rank{0, 0, job.arrivedAt};
        });
    }
    INFO("by rank " << ranked << ", by arrival " << byArrival);
    CHECK(ranked > byArrival + byArrival / 5);
}

TEST_CASE("In a load spike with declared run times off by a factor of three, learnt ones meet more objectives",
          "[jobs][load]")
{
    constexpr std::uint32_t slots = 100;
    constexpr double declaredSpread = 1;
    std::size_t learnt = 0;
    std::size_t declared = 0;
    for (std::uint64_t round = 0; round < 5; ++round) {
        const auto load = makeBurst(tests::baseSeed() + round, declaredSpread);
        declared += servedInTime(load, slots, [](const simulated_job &job, std::int64_t now) {
            return jobs::rankOf(jobs::outlookOf(job.record), wallAt(now));
        });
        jobs::run_time_model model;
        const auto runTimeOf = [&model](const jobs::queue_id &name, const jobs::step_spec &spec) {
            return model.expected(name, spec.estimate);
        };
        learnt += servedInTime(
            load, slots,
            [&](const simulated_job &job, std::int64_t now) {
                return jobs::rankOf(jobs::outlookOf(job.record, runTimeOf), wallAt(now));
            },
            [&model](const simulated_job &job) {
                model.learn(job.record.queue.name, job.record.spec.steps[0].estimate,
                            std::chrono::milliseconds{job.runMs});
            });
    }
    INFO("learnt " << learnt << ", declared " << declared);
    CHECK(learnt > declared);
}

TEST_CASE("Long-running jobs rank first, then jobs that can meet their objective, then the rest by arrival", "[jobs]")
{
    const auto jobWith = [](jobs::step_spec spec, std::int64_t acceptedMs) {
        return jobs::makeJob(jobs::job_id{"j"}, queue(), jobOf({std::move(spec)}), wallAt(acceptedMs));
    };
    auto longRunningStep = step(1);
    longRunningStep.longRunning = true;
    const auto now = wallAt(10'000);
    const auto rankOf = [now](const jobs::multistep_job_record &job) {
        return jobs::rankOf(jobs::outlookOf(job), now);
    };
    const auto timely = rankOf(jobWith(step(1), 9'900));
    const auto late = rankOf(jobWith(step(1), 1'000));
    const auto later = rankOf(jobWith(step(1), 2'000));
    CHECK(rankOf(jobWith(longRunningStep, 9'000)) < timely);
    CHECK(timely < late);
    CHECK(late < later);
    CHECK(rankOf(jobWith(step(2), 9'900)) > timely);
}
