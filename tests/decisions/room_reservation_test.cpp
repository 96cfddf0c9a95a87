#include "jobs_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace tests::jobs_fixture;

namespace
{
constexpr std::int64_t stepMs = 20;
/// \brief Time that a run takes to end after its stop was ordered.
constexpr std::int64_t stopMs = 400;
constexpr std::int64_t shortRunMs = 1000;
constexpr std::int64_t largeCpu = 24'000;
/// \brief Later than the end of any test.
constexpr std::int64_t noFloodMs = 1'000'000;
/// \brief A long-running task that may start, or that the system stopped, runs again within this time.
constexpr std::int64_t maxWaitMs = 3000;

auto longRunningStep(std::uint32_t count, std::int64_t cpu) -> jobs::step_spec
{
    auto spec = step(count, cpu, 0);
    spec.longRunning = true;
    return spec;
}

auto largeWorker(const std::string &id) -> jobs::worker_entry
{
    auto entry = worker(id);
    entry.capacity.cpu = largeCpu;
    return entry;
}

/// \brief Workers that carry out orders at once, and a flood of short tasks that takes all room it gets.
struct flooded_world
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
    jobs::step_spec floodStep = step(1, 1000, shortRunMs); ///< Step of each job of the flood.
    std::string floodAccount; ///< Account that submits the flood.
    std::int64_t floodFromMs = 0; ///< From then on one job of the flood is submitted in each step.
    int floodJobs = 0;

    explicit flooded_world(std::vector<jobs::worker_entry> workers)
        : entries{std::move(workers)}
        , engine{engineWith(entries)}
    {
    }

    auto submit(const std::string &id, const jobs::step_spec &spec, const std::string &account = {}) -> void
    {
        engine.submit(jobs::job_id{id}, queue(), jobOf({spec}), wallAt(now), jobs::account_id{account});
    }

    auto runUntil(std::int64_t end) -> void
    {
        for (; now < end; now += stepMs) {
            if (now >= floodFromMs) {
                submit("flood" + std::to_string(floodJobs++), floodStep, floodAccount);
            }
            for (const auto &entry : entries) {
                reportFrom(entry.id);
            }
            engine.plan(at(now), wallAt(now));
            carryOut(engine.drainOrders());
        }
    }

    /// \brief Plays until all tasks of \p id run, for at most \p limitMs.
    /// \returns how long it took
    auto timeUntilRunning(const std::string &id, std::int64_t limitMs) -> std::int64_t
    {
        const auto from = now;
        while (!isRunning(id) && now - from < limitMs) {
            runUntil(now + stepMs);
        }
        return now - from;
    }

    [[nodiscard]] auto isRunning(const std::string &id) const -> bool
    {
        return std::ranges::all_of(engine.find(jobs::job_id{id})->tasks, [](const jobs::task_record &task) {
            return task.phase == jobs::task_phase::running || task.phase == jobs::task_phase::starting;
        });
    }

    [[nodiscard]] auto closingTasksOf(const std::string &id) const -> std::ptrdiff_t
    {
        return std::ranges::count(engine.find(jobs::job_id{id})->tasks, jobs::task_phase::closing,
                                  &jobs::task_record::phase);
    }

    [[nodiscard]] auto workerOf(const std::string &id) const -> std::string
    {
        return engine.find(jobs::job_id{id})->tasks.front().worker.str();
    }

    [[nodiscard]] auto usedCpuOf(const std::string &id) -> std::int64_t
    {
        return engine.workers().find(jobs::worker_id{id})->used.cpu;
    }

    auto drain(const std::string &id) -> void
    {
        engine.workers().find(jobs::worker_id{id})->leaving = true;
    }

    auto evacuate(const std::string &id) -> void
    {
        engine.evacuate(*engine.workers().find(jobs::worker_id{id}), at(now));
    }

    auto reportFrom(const jobs::worker_id &id) -> void
    {
        auto result = report();
        result.clockMs = now + 1;
        auto &active = runs[id];
        for (const auto &run : active) {
            if (run.endsAt > now) {
                result.running.push_back({run.task, run.run, {}, 100, 0});
                continue;
            }
            const auto how = run.stopping ? jobs::end_kind::stopped : jobs::end_kind::done;
            result.ended.push_back({++endNumbers[id], run.task, run.run, how, {}});
        }
        std::erase_if(active, [&](const active_run &run) { return run.endsAt <= now; });
        engine.onReport(id, result, at(now), at(now));
    }

    auto carryOut(const jobs::order_batch &orders) -> void
    {
        for (const auto &order : orders.starts) {
            const auto &spec = engine.find(order.task.job)->spec.steps[order.task.step];
            const auto runMs = spec.longRunning ? std::int64_t{3'600'000} : spec.estimate.count();
            runs[order.worker].push_back({jobs::nameOf(order.task), order.run, now + runMs, false});
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
};

auto setAccounts(flooded_world &world, const std::vector<jobs::account_limits> &accounts) -> void
{
    world.engine.updateAccounts(accounts);
}
} // namespace

TEST_CASE("Short tasks that fit at once do not keep a larger long-running task waiting in a full pool",
          "[jobs][room][load]")
{
    flooded_world world{{worker("a"), worker("b")}};
    world.runUntil(2000);
    world.submit("large", longRunningStep(1, 8000));
    CHECK(world.timeUntilRunning("large", 2 * maxWaitMs) <= maxWaitMs);
}

TEST_CASE("Short tasks do not keep a long-running task waiting for memory in a full pool", "[jobs][room][load]")
{
    flooded_world world{{worker("a")}};
    world.floodStep.perTask = {100, 2000, 0};
    world.runUntil(2000);
    auto spec = longRunningStep(1, 1000);
    spec.perTask.memoryMb = 16'000;
    world.submit("large", spec);
    CHECK(world.timeUntilRunning("large", 2 * maxWaitMs) <= maxWaitMs);
}

TEST_CASE("Short tasks do not keep a long-running gang waiting in a full pool", "[jobs][room][load]")
{
    flooded_world world{{worker("a"), worker("b")}};
    world.runUntil(2000);
    auto spec = longRunningStep(2, 10'000);
    spec.gang = true;
    world.submit("gang", spec);
    CHECK(world.timeUntilRunning("gang", 2 * maxWaitMs) <= maxWaitMs);
}

TEST_CASE("A long-running task of an account beyond its share does not wait until other accounts have no work",
          "[jobs][room][accounts][load]")
{
    flooded_world world{{worker("a")}};
    setAccounts(world, {{jobs::account_id{"serving"}, 1, {}}, {jobs::account_id{"batch"}, 1, {}}});
    world.submit("first", longRunningStep(1, 9000), "serving");
    world.floodAccount = "batch";
    world.floodFromMs = stepMs;
    world.runUntil(2000);
    REQUIRE(world.isRunning("first"));
    world.submit("second", longRunningStep(1, 4000), "serving");
    CHECK(world.timeUntilRunning("second", 2 * maxWaitMs) <= maxWaitMs);
}

TEST_CASE("Short tasks do not take the room for which a long-running task was stopped on a leaving host",
          "[jobs][room][load]")
{
    flooded_world world{{worker("a"), largeWorker("b")}};
    world.floodFromMs = 1000;
    world.floodStep = step(1, 1000, 60'000);
    world.submit("moved", longRunningStep(1, 4000));
    world.runUntil(stepMs);
    world.submit("other", longRunningStep(1, largeCpu - 4000));
    world.runUntil(1000);
    REQUIRE(world.workerOf("moved") == "a");
    REQUIRE(world.workerOf("other") == "b");
    world.drain("a");
    world.evacuate("a");
    REQUIRE(world.closingTasksOf("moved") == 1);
    CHECK(world.timeUntilRunning("moved", 2 * maxWaitMs) <= stopMs + 200);
    CHECK(world.workerOf("moved") == "b");
}

TEST_CASE("No more long-running tasks are stopped on a leaving host than have room elsewhere", "[jobs][room]")
{
    flooded_world world{{worker("a"), largeWorker("b")}};
    world.floodFromMs = noFloodMs;
    world.submit("pair", longRunningStep(2, 4000));
    world.runUntil(stepMs);
    world.submit("other", longRunningStep(1, largeCpu - 4000));
    world.runUntil(1000);
    REQUIRE(world.workerOf("other") == "b");
    world.drain("a");
    world.evacuate("a");
    CHECK(world.closingTasksOf("pair") == 1);
    world.evacuate("a");
    CHECK(world.closingTasksOf("pair") == 1);
    world.runUntil(1100);
    world.evacuate("a");
    CHECK(world.closingTasksOf("pair") == 1);
}

TEST_CASE("Tasks that must not share a worker are not stopped for the same room on it", "[jobs][room]")
{
    flooded_world world{{worker("a"), largeWorker("b"), worker("c")}};
    world.floodFromMs = noFloodMs;
    auto apart = longRunningStep(2, 4000);
    apart.antiAffinity = 1;
    world.submit("apart", apart);
    world.runUntil(stepMs);
    REQUIRE(world.workerOf("apart") == "a");
    world.drain("a");
    world.drain("c");
    world.evacuate("a");
    world.evacuate("c");
    CHECK(world.closingTasksOf("apart") == 1);
}

TEST_CASE("A long-running task that no worker can hold keeps no room from others", "[jobs][room]")
{
    flooded_world world{{worker("a")}};
    world.submit("running", longRunningStep(1, 8000));
    world.runUntil(2000);
    auto labelled = longRunningStep(1, 4000);
    labelled.requirement = "large-disk";
    world.submit("too-large", longRunningStep(1, hostCpu + 1000));
    world.submit("no-longer-fits", longRunningStep(1, 9000));
    world.submit("labelled", labelled);
    world.runUntil(4000);
    CHECK(world.usedCpuOf("a") == hostCpu);
}

TEST_CASE("A long-running task at the cap of its account keeps no room from others", "[jobs][room][accounts]")
{
    flooded_world world{{worker("a")}};
    setAccounts(world, {{jobs::account_id{"capped"}, 1, {6000, 0, 0}}, {jobs::account_id{"batch"}, 1, {}}});
    world.floodAccount = "batch";
    world.submit("first", longRunningStep(1, 4000), "capped");
    world.runUntil(2000);
    world.submit("second", longRunningStep(1, 4000), "capped");
    world.runUntil(4000);
    REQUIRE(world.isRunning("first"));
    CHECK_FALSE(world.isRunning("second"));
    CHECK(world.usedCpuOf("a") == hostCpu);
}

TEST_CASE("Only the room that a waiting long-running task needs is kept from short tasks", "[jobs][room]")
{
    flooded_world world{{worker("a"), worker("b")}};
    world.runUntil(2000);
    world.submit("large", longRunningStep(1, 4000));
    auto leastUsed = 2 * hostCpu;
    while (!world.isRunning("large") && world.now < 2000 + maxWaitMs) {
        world.runUntil(world.now + stepMs);
        leastUsed = std::min(leastUsed, world.usedCpuOf("a") + world.usedCpuOf("b"));
    }
    REQUIRE(world.isRunning("large"));
    CHECK(leastUsed >= 2 * hostCpu - 4000);
    world.runUntil(world.now + 1000);
    CHECK(world.usedCpuOf("a") + world.usedCpuOf("b") == 2 * hostCpu);
}

TEST_CASE("The room of a waiting long-running task is given back when its job is cancelled", "[jobs][room]")
{
    flooded_world world{{worker("a")}};
    world.runUntil(2000);
    world.submit("large", longRunningStep(1, 15'000));
    world.runUntil(2100);
    REQUIRE_FALSE(world.isRunning("large"));
    world.engine.cancel(jobs::job_id{"large"}, at(world.now));
    world.runUntil(4000);
    CHECK(world.usedCpuOf("a") == hostCpu);
}
