#include "jobs_fixture.h"

#include <poplarpass/capacity/host_load.h>

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
namespace capacity = poplarpass::capacity;

constexpr std::int64_t estimateMs = 1000;

/// \brief One worker on which one task was started at time 0 and acknowledged at once.
struct running_task
{
    jobs::job_engine engine = engineWith({worker("a")});
    const jobs::job_id job{"job"};

    running_task()
    {
        engine.submit(job, queue(), jobOf({step(1, 1000, estimateMs)}), wallAt(0));
        engine.plan(at(0), wallAt(0));
        for (const auto &order : engine.drainOrders().starts) {
            engine.onStartAnswer(order, jobs::run_start_answer::started, at(0));
        }
    }

    auto reportProgress(std::uint32_t percent, std::int64_t time) -> void
    {
        auto progress = report();
        progress.running.push_back({jobs::nameOf(jobs::task_ref{job, 0, 0, 0}), 1, {}, percent, 0});
        engine.onReport(jobs::worker_id{"a"}, progress, at(time), at(time));
    }

    [[nodiscard]] auto remainingMs(std::int64_t time) -> std::int64_t
    {
        const auto &worker = *engine.workers().find(jobs::worker_id{"a"});
        const auto remaining = capacity::internal::remainingRunTimeOf(worker, engine, at(time));
        return std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    }
};
} // namespace

TEST_CASE("Without reported progress the remaining time of a worker follows from the estimates", "[host_load]")
{
    running_task task;
    CHECK(task.remainingMs(0) == 1000);
    CHECK(task.remainingMs(600) == 400);
}

TEST_CASE("A run without progress that exceeds its estimate is not taken for one that is about to end", "[host_load]")
{
    running_task task;
    CHECK(task.remainingMs(5000) == estimateMs / 4);
}

TEST_CASE("Reported progress replaces a wrong estimate", "[host_load]")
{
    running_task task;
    SECTION("The run takes longer than estimated")
    {
        task.reportProgress(25, 800);
        CHECK(task.remainingMs(800) == 2400);
        CHECK(task.remainingMs(1800) == 1400);
    }
    SECTION("The run takes shorter than estimated")
    {
        task.reportProgress(80, 400);
        CHECK(task.remainingMs(400) == 100);
        CHECK(task.remainingMs(900) == 0);
    }
}
