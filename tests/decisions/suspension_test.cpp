#include "jobs_fixture.h"

#include <poplarpass/jobs/resume_room.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace tests::jobs_fixture;

namespace
{
constexpr std::int64_t runMs = 2000;
constexpr std::int64_t stopMs = 100;

auto resumableStep(std::uint32_t count, std::int64_t cpu) -> jobs::step_spec
{
    auto spec = step(count, cpu, runMs);
    spec.checkpointing = true;
    return spec;
}

/// \brief Workers that carry out orders at once, save the progress of tasks when they are stopped, and take stopMs to
/// stop.
struct resumable_world
{
    struct active_run
    {
        std::string task;
        std::uint32_t run = 0;
        std::int64_t endsAt = 0;
        bool stopping = false;
    };

    std::vector<jobs::worker_entry> entries;
    jobs::job_engine engine;
    std::map<jobs::worker_id, std::vector<active_run>> runs;
    std::map<jobs::worker_id, std::uint64_t> endNumbers;
    std::int64_t now = 0;

    explicit resumable_world(std::vector<jobs::worker_entry> workers)
        : entries{std::move(workers)}
        , engine{engineWith(entries)}
    {
    }

    auto submit(const std::string &id, const jobs::step_spec &spec) -> void
    {
        engine.submit(jobs::job_id{id}, queue(), jobOf({spec}), wallAt(now));
    }

    auto drain(const std::string &id) -> void
    {
        engine.workers().find(jobs::worker_id{id})->leaving = true;
    }

    auto suspend() -> void
    {
        std::vector<const jobs::worker_slot *> drained;
        for (const auto &entry : entries) {
            const auto *worker = engine.workers().find(entry.id);
            if (worker->leaving) {
                drained.push_back(worker);
            }
        }
        engine.suspendResumable(drained, at(now));
    }

    auto runUntil(std::int64_t end, bool suspends) -> void
    {
        constexpr std::int64_t stepMs = 20;
        for (; now < end; now += stepMs) {
            for (const auto &entry : entries) {
                reportFrom(entry.id);
            }
            if (suspends) {
                suspend();
            }
            engine.plan(at(now), wallAt(now));
            carryOut(engine.drainOrders());
        }
    }

    auto reportFrom(const jobs::worker_id &id) -> void
    {
        auto result = report();
        auto &active = runs[id];
        for (const auto &run : active) {
            if (run.endsAt > now) {
                result.running.push_back({run.task, run.run, {}, 0, 0});
                continue;
            }
            const auto how = run.stopping ? jobs::end_kind::stopped : jobs::end_kind::done;
            result.ended.push_back({++endNumbers[id], run.task, run.run, how, run.stopping ? "saved" : ""});
        }
        std::erase_if(active, [&](const active_run &run) { return run.endsAt <= now; });
        engine.onReport(id, result, at(now), at(now));
    }

    auto carryOut(const jobs::order_batch &orders) -> void
    {
        for (const auto &order : orders.starts) {
            const auto remaining = order.checkpoint.empty() ? runMs : runMs / 2;
            runs[order.worker].push_back({jobs::nameOf(order.task), order.run, now + remaining, false});
            engine.onStartAnswer(order, jobs::run_start_answer::started, at(now));
        }
        for (const auto &order : orders.stops) {
            for (auto &run : runs[order.worker]) {
                if (run.task == order.task && run.run == order.run) {
                    run.stopping = true;
                    run.endsAt = now + stopMs;
                }
            }
            engine.onStopAnswer(order, jobs::stop_answer::stopped, at(now));
        }
    }

    [[nodiscard]] auto placedOn(const std::string &id) -> std::size_t
    {
        return engine.workers().find(jobs::worker_id{id})->placed.size();
    }

    [[nodiscard]] auto taskOf(const std::string &id, std::uint32_t index) const -> const jobs::task_record &
    {
        return engine.find(jobs::job_id{id})->tasks.at(index);
    }
};
} // namespace

TEST_CASE("A task that saves its progress resumes elsewhere when its worker is drained", "[jobs][suspension]")
{
    resumable_world world{{worker("a"), worker("b")}};
    world.submit("job", resumableStep(1, 8000));
    world.runUntil(200, false);
    const auto former = world.taskOf("job", 0).worker;
    world.drain(former.str());
    world.runUntil(1000, true);
    CHECK(world.placedOn(former.str()) == 0);
    const auto &task = world.taskOf("job", 0);
    CHECK(task.phase == jobs::task_phase::running);
    CHECK(task.run == 2);
    CHECK(task.checkpoint == "saved");
    CHECK(task.failedRuns.empty());
    CHECK(world.engine.counters().tasksSuspended == 1);
    world.runUntil(3000, true);
    CHECK(world.engine.find(jobs::job_id{"job"})->phase == jobs::multistep_job_phase::completed);
}

TEST_CASE("No more tasks are stopped on drained workers than have room elsewhere", "[jobs][suspension]")
{
    resumable_world world{{worker("a"), worker("b")}};
    world.submit("job", resumableStep(6, 4000));
    world.runUntil(200, false);
    REQUIRE(world.placedOn("a") + world.placedOn("b") == 6);
    const std::string drained = world.placedOn("a") == 4 ? "a" : "b";
    world.drain(drained);
    world.suspend();
    CHECK(world.engine.counters().tasksSuspended == 2);
    world.suspend();
    CHECK(world.engine.counters().tasksSuspended == 2);
}

TEST_CASE("Room counts once for tasks with an anti-affinity, and only on workers with the required label",
          "[jobs][suspension]")
{
    jobs::worker_slot first;
    first.entry = worker("a");
    first.entry.labels = {"large-disk"};
    jobs::worker_slot second;
    second.entry = worker("b");
    std::vector<jobs::worker_slot *> workers{&first, &second};
    auto apart = resumableStep(3, 1000);
    apart.antiAffinity = 1;
    const auto job = jobs::makeJob(jobs::job_id{"apart"}, queue(), jobOf({apart}), wallAt(0));
    jobs::internal::resume_room room{workers};
    CHECK(room.take(job, {job.id, 0, 0, 0}));
    CHECK(room.take(job, {job.id, 0, 0, 1}));
    CHECK_FALSE(room.take(job, {job.id, 0, 0, 2}));
    auto labelled = resumableStep(2, 9000);
    labelled.requirement = "large-disk";
    const auto other = jobs::makeJob(jobs::job_id{"labelled"}, queue(), jobOf({labelled}), wallAt(0));
    CHECK(room.take(other, {other.id, 0, 0, 0}));
    CHECK_FALSE(room.take(other, {other.id, 0, 0, 1}));
}

TEST_CASE("Room for a wide task is looked for on one worker, not in the sum over several", "[jobs][suspension]")
{
    jobs::worker_slot first;
    first.entry = worker("a");
    first.used = {8000, 0, 0};
    auto second = first;
    std::vector<jobs::worker_slot *> workers{&first, &second};
    const auto job = jobs::makeJob(jobs::job_id{"wide"}, queue(), jobOf({resumableStep(2, 12'000)}), wallAt(0));
    jobs::internal::resume_room room{workers};
    CHECK_FALSE(room.take(job, {job.id, 0, 0, 0}));
    second.used = {};
    jobs::internal::resume_room larger{workers};
    CHECK(larger.take(job, {job.id, 0, 0, 0}));
    CHECK_FALSE(larger.take(job, {job.id, 0, 0, 1}));
}

TEST_CASE("Tasks of a queue with advice are not stopped on drained workers, as they would need new tickets",
          "[jobs][suspension]")
{
    auto policy = queue();
    policy.advice = jobs::advice_policy{std::chrono::milliseconds{1}, {}, std::chrono::seconds{60}};
    resumable_world world{{worker("a"), worker("b")}};
    world.engine.submit(jobs::job_id{"advised"}, policy, jobOf({resumableStep(1, 1000)}), wallAt(0));
    world.engine.plan(at(0), wallAt(0));
    for (const auto &request : world.engine.drainAdviceRequests()) {
        std::vector<jobs::advice_ticket> tickets;
        for (const auto &candidate : request.workers) {
            tickets.push_back({candidate, "ticket"});
        }
        world.engine.onAdvice(request, tickets, at(0), at(0));
    }
    world.runUntil(200, false);
    REQUIRE(world.taskOf("advised", 0).phase == jobs::task_phase::running);
    world.drain("a");
    world.drain("b");
    world.suspend();
    world.engine.workers().find(jobs::worker_id{"a"})->leaving = false;
    world.suspend();
    world.drain("a");
    world.engine.workers().find(jobs::worker_id{"b"})->leaving = false;
    world.suspend();
    CHECK(world.engine.counters().tasksSuspended == 0);
}

TEST_CASE("Tasks that would lose work or end soon are not stopped on drained workers", "[jobs][suspension]")
{
    resumable_world world{{worker("a"), worker("b")}};
    auto gang = resumableStep(1, 1000);
    gang.gang = true;
    world.submit("plain", step(1, 1000, runMs));
    world.submit("gang", gang);
    world.submit("ending", resumableStep(1, 1000));
    world.runUntil(1700, false);
    world.drain("a");
    world.drain("b");
    world.suspend();
    CHECK(world.engine.counters().tasksSuspended == 0);
}

TEST_CASE("When half of a pool is drained between two peaks, suspension empties it early and no caller gets late",
          "[jobs][suspension][load]")
{
    const auto play = [](bool suspends) {
        std::vector<jobs::worker_entry> workers;
        for (int index = 0; index < 8; ++index) {
            workers.push_back(worker("w" + std::to_string(index)));
        }
        resumable_world world{workers};
        for (int job = 0; job < 4; ++job) {
            world.submit("job" + std::to_string(job), resumableStep(4, 4000));
        }
        world.runUntil(200, false);
        std::vector<std::string> drained;
        for (int index = 0; index < 8 && drained.size() < 2; ++index) {
            const auto name = "w" + std::to_string(index);
            if (world.placedOn(name) > 0) {
                drained.push_back(name);
                world.drain(name);
            }
        }
        std::int64_t emptyAt = 0;
        while (emptyAt == 0 && world.now < 5000) {
            world.runUntil(world.now + 20, suspends);
            const bool isEmpty = world.placedOn(drained[0]) + world.placedOn(drained[1]) == 0;
            emptyAt = isEmpty ? world.now : 0;
        }
        world.runUntil(5000, suspends);
        std::size_t inTime = 0;
        for (const auto &[name, job] : world.engine.jobs()) {
            const bool completed = job.phase == jobs::multistep_job_phase::completed;
            const auto objective = at(0) + jobs::objectiveSpan(job.queue, job.spec);
            inTime += completed && job.endedAt <= objective ? 1 : 0;
        }
        return std::pair{emptyAt, inTime};
    };
    const auto [waitingUntil, waitingInTime] = play(false);
    const auto [suspendedUntil, suspendedInTime] = play(true);
    CHECK(waitingUntil >= runMs);
    CHECK(suspendedUntil < 500);
    CHECK(waitingInTime == 4);
    CHECK(suspendedInTime == 4);
}
