#include "jobs_fixture.h"

#include <poplarpass/capacity/capacity_planner.h>
#include <poplarpass/capacity/constants.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <utility>

using namespace tests::jobs_fixture;

namespace
{
namespace capacity = poplarpass::capacity;
namespace route = poplarpass::route;

auto hostOf(const std::string &name, const std::string &pool, bool onStandby = false) -> capacity::host_entry
{
    capacity::host_entry entry;
    entry.id = core::host_id{"h-" + name};
    entry.pool = core::pool_id{pool};
    entry.worker = onStandby ? jobs::worker_id{} : jobs::worker_id{name};
    entry.capacity = {hostCpu, 32'000, 0};
    return entry;
}

/// \brief Planner with two active pools and one standby pool; tests add the hosts.
struct planner_fixture
{
    std::vector<capacity::host_entry> hosts;
    std::vector<jobs::worker_entry> entries;
    jobs::job_engine engine{nullptr};
    capacity::capacity_planner planner;
    std::vector<route::pool_config> pools{{core::pool_id{"busy"}, true, false},
                                          {core::pool_id{"calm"}, true, false},
                                          {core::pool_id{"spare"}, true, true}};
    std::int64_t now = 0;

    auto add(const std::string &name, const std::string &pool) -> void
    {
        const bool onStandby = pool == "spare";
        hosts.push_back(hostOf(name, pool, onStandby));
        if (!onStandby) {
            entries.push_back(worker(name, 1, pool));
        }
    }

    auto begin() -> void
    {
        engine.updateWorkers(entries, at(0));
        for (const auto &entry : entries) {
            engine.onReport(entry.id, report(), at(0), at(0));
        }
        planner.updateHosts(hosts, at(0), at(0));
    }

    auto plan(std::int64_t time) -> std::vector<capacity::host_order>
    {
        now = time;
        for (const auto &entry : entries) {
            engine.onReport(entry.id, reportOf(entry.id), at(now), at(now));
        }
        return planner.plan(engine, pools, at(now));
    }

    auto reportOf(const jobs::worker_id &id) -> jobs::renewal_report
    {
        auto result = report();
        for (const auto &task : engine.workers().find(id)->placed) {
            const auto &job = *engine.find(task.job);
            const auto &state = job.tasks[job.positionOf(task.occurrence, task.step, task.index)];
            result.running.push_back({jobs::nameOf(task), state.run, {}, 100, 0});
        }
        return result;
    }

    /// \brief Carries out a move to standby at once, and shows the host there in the host list at \p time.
    auto completeMoveToStandby(const capacity::host_order &order, std::int64_t time) -> void
    {
        planner.onOrderAnswer(order, capacity::host_order_outcome::done, at(time - 1));
        const auto host = std::ranges::find(hosts, order.host, &capacity::host_entry::id);
        std::erase_if(entries, [&](const auto &entry) { return entry.id == host->worker; });
        host->worker = {};
        host->pool = *order.pool;
        engine.updateWorkers(entries, at(time));
        planner.updateHosts(hosts, at(time), at(time));
    }

    auto submit(const std::string &id, const std::string &pool, std::vector<jobs::step_spec> steps, std::int64_t time)
        -> void
    {
        auto policy = queue();
        policy.pool = core::pool_id{pool};
        engine.submit(jobs::job_id{id}, policy, jobOf(std::move(steps)), wallAt(time));
        planner.onJob(*engine.find(jobs::job_id{id}), at(time));
        engine.plan(at(time), wallAt(time));
        for (const auto &order : engine.drainOrders().starts) {
            engine.onStartAnswer(order, jobs::run_start_answer::started, at(time));
        }
    }

    /// \brief Cancels a job and reports its runs as stopped.
    auto cancelAll(const std::string &id, std::int64_t time) -> void
    {
        engine.cancel(jobs::job_id{id}, at(time));
        for (const auto &entry : entries) {
            auto result = report();
            for (const auto &running : reportOf(entry.id).running) {
                if (jobs::parseTaskName(running.task)->job != jobs::job_id{id}) {
                    result.running.push_back(running);
                    continue;
                }
                const auto number = result.ended.size() + 1;
                result.ended.push_back({number, running.task, running.run, jobs::end_kind::stopped, {}});
            }
            engine.onReport(entry.id, result, at(time), at(time));
        }
    }
};

/// \brief Plays a load on the fleet: short tasks end after their run time, orders are carried out by workers and hosts.
struct played_fleet : planner_fixture
{
    static constexpr std::int64_t tickMs = 50;
    static constexpr std::int64_t shortRunMs = 1000;
    static constexpr std::int64_t moveMs = 1500;
    static constexpr std::int64_t maintenanceMs = 2000;

    struct played_run
    {
        jobs::task_ref task;
        std::uint32_t run = 0;
        std::int64_t startedAt = 0;
        bool longRunning = false;
        bool stopping = false;
    };

    struct host_return
    {
        std::int64_t time = 0;
        core::pool_id pool;
    };

    std::map<jobs::worker_id, std::vector<played_run>> runs;
    std::map<jobs::worker_id, std::uint64_t> endCounts;
    std::map<core::host_id, host_return> returns;
    std::vector<capacity::host_order> moves;
    std::vector<core::host_id> maintained;
    jobs::worker_id workerWithoutEnds; ///< Worker on which no short run ends; empty for none.
    bool waveCompleted = false;

    /// \brief Submits work to \p pool without starting it.
    auto enqueue(const std::string &id, const std::string &pool, std::vector<jobs::step_spec> steps) -> void
    {
        auto policy = queue();
        policy.pool = core::pool_id{pool};
        engine.submit(jobs::job_id{id}, policy, jobOf(std::move(steps)), wallAt(now));
        planner.onJob(*engine.find(jobs::job_id{id}), at(now));
    }

    /// \brief Removes the worker of a host, which is listed as down from now on.
    auto crash(const std::string &name) -> void
    {
        auto &host = hostNamed(core::host_id{"h-" + name});
        removeWorker(host);
        host.condition = capacity::host_condition::down;
    }

    /// \brief Lists a host as up again, with a new worker.
    auto restore(const std::string &name) -> void
    {
        auto &host = hostNamed(core::host_id{"h-" + name});
        returnToService(host, host.pool);
    }

    auto playUntil(
        std::int64_t end, const std::function<void()> &afterTick = [] {}) -> void
    {
        while (now < end) {
            now += tickMs;
            tick();
            afterTick();
        }
    }

    /// \brief Returns the number of tasks of \p job that run on a worker that accepts starts.
    auto runningInService(const std::string &job) -> std::size_t
    {
        const auto &tasks = engine.find(jobs::job_id{job})->tasks;
        return static_cast<std::size_t>(std::ranges::count_if(tasks, [&](const auto &task) {
            const auto *worker = engine.workers().find(task.worker);
            return task.phase == jobs::task_phase::running && worker != nullptr && worker->acceptsStarts(at(now));
        }));
    }

    auto acceptingIn(const std::string &pool) -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(engine.workers().ofPool(core::pool_id{pool}),
                                  [&](const auto *worker) { return worker->acceptsStarts(at(now)); }));
    }

private:
    auto hostNamed(const core::host_id &id) -> capacity::host_entry &
    {
        return *std::ranges::find(hosts, id, &capacity::host_entry::id);
    }

    auto removeWorker(capacity::host_entry &host) -> void
    {
        std::erase_if(entries, [&](const auto &entry) { return entry.id == host.worker; });
        runs.erase(host.worker);
        engine.updateWorkers(entries, at(now));
        engine.onNoReport(host.worker, at(now));
    }

    auto returnToService(capacity::host_entry &host, const core::pool_id &pool) -> void
    {
        host.condition = capacity::host_condition::up;
        host.pool = pool;
        host.worker = jobs::worker_id{host.id.str() + "-" + std::to_string(now)};
        entries.push_back(worker(host.worker.str(), 1, pool.str()));
        engine.updateWorkers(entries, at(now));
    }

    auto tick() -> void
    {
        for (const auto &[id, entry] : std::exchange(returns, {})) {
            if (now >= entry.time) {
                returnToService(hostNamed(id), entry.pool);
            } else {
                returns[id] = entry;
            }
        }
        planner.updateHosts(hosts, at(now), at(now));
        for (const auto &entry : entries) {
            engine.onReport(entry.id, nextReport(entry.id), at(now), at(now));
        }
        engine.plan(at(now), wallAt(now));
        const auto orders = planner.plan(engine, pools, at(now));
        carryOut(engine.drainOrders());
        for (const auto &order : orders) {
            carryOut(order);
        }
        for (const auto &wave : planner.consumeWaveUpdates()) {
            waveCompleted = waveCompleted || wave.completed;
        }
    }

    auto nextReport(const jobs::worker_id &id) -> jobs::renewal_report
    {
        constexpr std::int64_t percent = 100;
        auto result = report();
        std::vector<played_run> kept;
        for (const auto &entry : runs[id]) {
            const auto ran = now - entry.startedAt;
            const bool done = !entry.longRunning && ran >= shortRunMs && id != workerWithoutEnds;
            if (done || entry.stopping) {
                result.ended.push_back({++endCounts[id],
                                        jobs::nameOf(entry.task),
                                        entry.run,
                                        done ? jobs::end_kind::done : jobs::end_kind::stopped,
                                        {}});
                continue;
            }
            const auto progress = entry.longRunning ? percent : ran * percent / shortRunMs;
            result.running.push_back(
                {jobs::nameOf(entry.task), entry.run, {}, static_cast<std::uint32_t>(progress), 0});
            kept.push_back(entry);
        }
        runs[id] = std::move(kept);
        return result;
    }

    auto carryOut(const jobs::order_batch &orders) -> void
    {
        for (const auto &order : orders.starts) {
            const auto &step = engine.find(order.task.job)->spec.steps[order.task.step];
            runs[order.worker].push_back({order.task, order.run, now, step.longRunning, false});
            engine.onStartAnswer(order, jobs::run_start_answer::started, at(now));
        }
        for (const auto &order : orders.stops) {
            for (auto &entry : runs[order.worker]) {
                entry.stopping = entry.stopping || jobs::nameOf(entry.task) == order.task;
            }
            engine.onStopAnswer(order, jobs::stop_answer::stopped, at(now));
        }
    }

    auto carryOut(const capacity::host_order &order) -> void
    {
        auto &host = hostNamed(order.host);
        REQUIRE(runs[host.worker].empty());
        removeWorker(host);
        host.condition = order.pool ? capacity::host_condition::moving : capacity::host_condition::maintenance;
        returns[order.host] = {now + (order.pool ? moveMs : maintenanceMs), order.pool.value_or(host.pool)};
        if (order.pool) {
            moves.push_back(order);
        } else {
            maintained.push_back(order.host);
        }
        planner.onOrderAnswer(order, capacity::host_order_outcome::done, at(now));
    }
};

/// \brief Returns a step of long-running tasks, one of which may be unavailable.
auto longRunningStep(std::uint32_t count, std::int64_t cpu, std::uint32_t antiAffinity = 0) -> jobs::step_spec
{
    auto result = step(count, cpu);
    result.longRunning = true;
    result.antiAffinity = antiAffinity;
    result.maxUnavailable = 1;
    return result;
}

/// \brief Wave 1: maintains \p host within 20 s.
auto waveOf(const core::host_id &host) -> capacity::wave_request
{
    return {1, {host}, std::chrono::seconds{20}, 1};
}

auto movesTo(const std::vector<capacity::host_order> &orders, const std::string &pool) -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(orders, [&](const auto &order) { return order.pool && order.pool->str() == pool; }));
}
} // namespace

TEST_CASE("Hosts move to a pool whose demand exceeds its capacity, idle hosts before those on standby", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    for (const auto *name : {"c1", "c2", "c3"}) {
        fixture.add(name, "calm");
    }
    fixture.add("s1", "spare");
    fixture.begin();
    fixture.submit("job", "busy", {step(30, 1000)}, 2000);
    const auto orders = fixture.plan(2100);
    CHECK(movesTo(orders, "busy") == 2);
    CHECK(std::ranges::none_of(orders, [](const auto &order) { return order.host.str() == "h-s1"; }));
}

TEST_CASE("A large fleet moves up to half of its hosts at once when the load rises", "[capacity]")
{
    planner_fixture fixture;
    constexpr int hostCount = 200;
    for (int index = 0; index < hostCount; ++index) {
        fixture.add("s" + std::to_string(index), "spare");
    }
    fixture.add("a", "busy");
    fixture.begin();
    fixture.submit("0000000000000001", "busy", {step(3000, 1000, 5000)}, 2000);
    CHECK(fixture.plan(2100).size() == hostCount / 2 + 1);
}

// Load: the demand of a pool falls for seconds, so that its hosts go to standby, and rises as soon as they are there.
TEST_CASE("A host that has just arrived on standby moves to a pool that is short of hosts", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    fixture.add("b2", "busy");
    fixture.add("s1", "spare");
    fixture.begin();
    std::int64_t time = 100;
    std::vector<capacity::host_order> orders;
    while (orders.empty() && time < 30'000) {
        time += 100;
        orders = fixture.plan(time);
    }
    REQUIRE(movesTo(orders, "spare") == 1);
    fixture.completeMoveToStandby(orders.front(), time + 100);

    fixture.submit("job", "busy", {step(40, 1000)}, time + 200);
    CHECK(movesTo(fixture.plan(time + 300), "busy") == 2);
}

TEST_CASE("A pool keeps the hosts that its long-running tasks need, one without any, and gives the rest to standby",
          "[capacity]")
{
    planner_fixture fixture;
    for (const auto *name : {"b1", "b2", "b3", "b4", "c1", "c2", "c3"}) {
        fixture.add(name, name[0] == 'b' ? "busy" : "calm");
    }
    // Enough hosts that the limit of moves at once allows more moves than expected.
    for (const auto *name : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
        fixture.add(name, "spare");
    }
    fixture.begin();
    auto longRunning = step(2, 4000);
    longRunning.longRunning = true;
    longRunning.antiAffinity = 1;
    fixture.submit("service", "busy", {longRunning}, 10);
    std::map<std::string, std::size_t> moved;
    for (std::int64_t time = 100; time < 30'000; time += 100) {
        for (const auto &order : fixture.plan(time)) {
            ++moved[fixture.engine.workers().find(fixture.planner.workerOf(order.host))->entry.pool.str()];
        }
    }
    CHECK(moved["busy"] == 2);
    CHECK(moved["calm"] == 2);
}

TEST_CASE("A move to a pool that was refused for a host is not ordered again", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    fixture.add("c1", "calm");
    fixture.add("c2", "calm");
    fixture.begin();
    fixture.submit("job", "busy", {step(24, 1000)}, 2000);
    const auto first = fixture.plan(2100);
    REQUIRE(movesTo(first, "busy") == 1);
    fixture.planner.onOrderAnswer(first[0], capacity::host_order_outcome::refused, at(2110));
    (void)fixture.plan(2120);
    const auto second = fixture.plan(4000);
    CHECK(std::ranges::none_of(
        second, [&](const auto &order) { return order.host == first[0].host && order.pool == first[0].pool; }));
}

TEST_CASE("Hosts that stay unneeded move to standby, except those that their pool requires", "[capacity]")
{
    planner_fixture fixture;
    for (const auto *name : {"b1", "b2", "b3"}) {
        fixture.add(name, "busy");
    }
    fixture.add("s1", "spare");
    fixture.begin();
    fixture.submit("job", "busy", {step(1)}, 10);
    CHECK(fixture.plan(100).empty());
    const auto idle = std::max(capacity::idleBeforeStandby, capacity::firstJobStandbyDelay);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(idle).count();
    CHECK(fixture.plan(wait).empty());
    const auto orders = fixture.plan(wait + 200);
    CHECK(movesTo(orders, "spare") == 2);
}

TEST_CASE("A host is ordered to maintenance only when no task is placed on it", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    fixture.add("c1", "calm");
    fixture.begin();
    fixture.submit("short", "busy", {step(2, 1000)}, 10);
    fixture.planner.addWave({1, {core::host_id{"h-b1"}}, std::chrono::milliseconds{4000}, 1}, at(20));
    for (std::int64_t time = 100; time < 2000; time += 100) {
        for (const auto &order : fixture.plan(time)) {
            CHECK(fixture.engine.workers().find(fixture.planner.workerOf(order.host))->placed.empty());
        }
    }
    CHECK(fixture.engine.workers().find(jobs::worker_id{"b1"})->leaving);
}

TEST_CASE(
    "A wave ends before its deadline and within its cap, and is reported as completed only when all its hosts are done",
    "[capacity]")
{
    constexpr std::int64_t waveMs = 24'000;
    constexpr std::int64_t maintenanceMs = 2000;
    constexpr std::size_t cap = 4;
    planner_fixture fixture;
    std::vector<core::host_id> waveHosts;
    for (int index = 0; index < 20; ++index) {
        fixture.add("b" + std::to_string(index), "busy");
        waveHosts.emplace_back("h-b" + std::to_string(index));
    }
    fixture.begin();
    fixture.planner.addWave({1, waveHosts, std::chrono::milliseconds{waveMs}, cap}, at(0));
    std::map<std::string, std::int64_t> downUntil;
    std::set<std::string> maintained;
    bool completed = false;
    for (std::int64_t time = 50; time <= waveMs; time += 50) {
        for (auto &host : fixture.hosts) {
            const auto down = downUntil.find(host.id.str());
            if (down != downUntil.end() && time >= down->second
                && host.condition == capacity::host_condition::maintenance) {
                host.condition = capacity::host_condition::up;
                host.worker = jobs::worker_id{host.worker.str() + "'"};
                fixture.entries.push_back(worker(host.worker.str(), 1, "busy"));
            }
        }
        fixture.engine.updateWorkers(fixture.entries, at(time));
        fixture.planner.updateHosts(fixture.hosts, at(time), at(time));
        for (const auto &order : fixture.plan(time)) {
            if (order.pool) {
                fixture.planner.onOrderAnswer(order, capacity::host_order_outcome::refused, at(time));
                continue;
            }
            const auto host = std::ranges::find(fixture.hosts, order.host, &capacity::host_entry::id);
            host->condition = capacity::host_condition::maintenance;
            downUntil[order.host.str()] = time + maintenanceMs;
            maintained.insert(order.host.str());
            fixture.planner.onOrderAnswer(order, capacity::host_order_outcome::done, at(time));
        }
        const auto down = std::ranges::count_if(
            fixture.hosts, [](const auto &host) { return host.condition == capacity::host_condition::maintenance; });
        REQUIRE(static_cast<std::size_t>(down) <= cap);
        for (const auto &wave : fixture.planner.consumeWaveUpdates()) {
            completed = completed || wave.completed;
            CHECK((!wave.completed || maintained.size() == waveHosts.size()));
        }
    }
    CHECK(maintained.size() == waveHosts.size());
    CHECK(completed);
}

// Guards against an order in each planning cycle to a host that the host list still shows as up.
TEST_CASE("A host that was not up gets the next order only after a delay", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    fixture.begin();
    fixture.planner.addWave(waveOf(core::host_id{"h-b1"}), at(0));
    const auto first = fixture.plan(20'000);
    REQUIRE(first.size() == 1);
    fixture.planner.onOrderAnswer(first[0], capacity::host_order_outcome::busy, at(20'010));
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(capacity::busyHostRetryDelay).count();
    std::size_t early = 0;
    for (std::int64_t time = 20'050; time < 20'010 + delay; time += 50) {
        early += fixture.plan(time).size();
    }
    CHECK(early == 0);
    CHECK(fixture.plan(20'050 + delay).size() == 1);
}

TEST_CASE("A host under a recent order of a former owner gets no order before the restored time, and other hosts do",
          "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    fixture.add("c1", "calm");
    fixture.add("c2", "calm");
    fixture.add("c3", "calm");
    fixture.begin();
    fixture.planner.restoreOrderDelay(core::host_id{"h-c1"}, at(4000));
    fixture.submit("job", "busy", {step(60, 1000)}, 2000);
    const auto first = fixture.plan(2100);
    CHECK(movesTo(first, "busy") >= 1);
    CHECK(std::ranges::none_of(first, [](const auto &order) { return order.host.str() == "h-c1"; }));
}

TEST_CASE("A wave on schedule does not drain hosts that their pool needs", "[capacity]")
{
    planner_fixture fixture;
    std::vector<core::host_id> waveHosts;
    for (const auto *name : {"b1", "b2", "b3"}) {
        fixture.add(name, "busy");
        waveHosts.emplace_back(std::string{"h-"} + name);
    }
    fixture.begin();
    const std::uint32_t tasks = GENERATE(2U, 3U);
    auto longRunning = step(tasks, 4000);
    longRunning.longRunning = true;
    longRunning.antiAffinity = 1;
    longRunning.maxUnavailable = 1;
    fixture.submit("job", "busy", {longRunning}, 10);
    fixture.planner.addWave({1, waveHosts, std::chrono::milliseconds{24'000}, 3}, at(20));
    (void)fixture.plan(100);
    std::size_t leaving = 0;
    for (const auto &[id, worker] : fixture.engine.workers().all()) {
        leaving += worker.leaving ? 1 : 0;
        CHECK((!worker.leaving || worker.placed.empty()));
    }
    CHECK(leaving == 3 - tasks);
}

TEST_CASE("A host whose maintenance was executed before the retried order was answered returns to service",
          "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.add("b", "busy");
    fixture.begin();
    fixture.planner.addWave(waveOf(core::host_id{"h-a"}), at(0));
    const auto first = fixture.plan(100);
    REQUIRE(first.size() == 1);

    // The answer is lost. A host list shows the new worker, and the retried order is answered as done.
    fixture.planner.onOrderAnswer(first[0], capacity::host_order_outcome::unknown, at(1600));
    fixture.hosts[0] = hostOf("a2", "busy");
    fixture.hosts[0].id = core::host_id{"h-a"};
    fixture.entries[0] = worker("a2", 1, "busy");
    fixture.engine.updateWorkers(fixture.entries, at(2500));
    fixture.engine.onReport(jobs::worker_id{"a2"}, report(), at(2500), at(2500));
    fixture.planner.updateHosts(fixture.hosts, at(2500), at(2500));
    auto orders = fixture.plan(2600);
    for (std::int64_t time = 2700; orders.empty() && time < 6000; time += 100) {
        orders = fixture.plan(time);
    }
    REQUIRE(orders.size() == 1);
    const auto done = fixture.now + 10;
    fixture.planner.onOrderAnswer(orders[0], capacity::host_order_outcome::done, at(done));
    fixture.planner.excludeLeavingWorkers(fixture.engine);
    for (auto time = done + 300; time < done + 5000; time += 300) {
        fixture.planner.updateHosts(fixture.hosts, at(time), at(time));
        fixture.plan(time + 10);
    }
    CHECK(fixture.engine.workers().find(jobs::worker_id{"a2"})->acceptsStarts(at(fixture.now)));
}

TEST_CASE("A worker first listed while an order for its host is in progress gets no work", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.begin();
    auto newHost = hostOf("b", "busy");
    fixture.hosts.push_back(newHost);
    fixture.planner.updateHosts(fixture.hosts, at(50), at(60));
    fixture.planner.addWave(waveOf(newHost.id), at(60));
    CHECK(fixture.plan(100).empty());
    fixture.planner.updateHosts(fixture.hosts, at(150), at(160));
    REQUIRE(fixture.plan(200).size() == 1);

    fixture.entries.push_back(worker("b", 1, "busy"));
    fixture.engine.updateWorkers(fixture.entries, at(210));
    fixture.engine.onReport(jobs::worker_id{"b"}, report(), at(210), at(220));
    fixture.planner.excludeLeavingWorkers(fixture.engine);
    fixture.submit("0000000000000001", "busy", {step(20, 1000)}, 230);
    CHECK(fixture.engine.workers().find(jobs::worker_id{"b"})->placed.empty());
    CHECK_FALSE(fixture.engine.workers().find(jobs::worker_id{"a"})->placed.empty());
}

TEST_CASE("A host with an unresponsive worker is ordered to maintenance only when a new list still shows that worker",
          "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.add("b", "busy");
    fixture.begin();
    fixture.planner.addWave(waveOf(core::host_id{"h-a"}), at(0));
    fixture.engine.onNoReport(jobs::worker_id{"a"}, at(0));
    CHECK(fixture.planner.plan(fixture.engine, fixture.pools, at(100)).empty());
    CHECK(fixture.planner.plan(fixture.engine, fixture.pools, at(200)).empty());

    // The host returned with a new worker that may have work already.
    fixture.hosts[0] = hostOf("a2", "busy");
    fixture.hosts[0].id = core::host_id{"h-a"};
    fixture.planner.updateHosts(fixture.hosts, at(300), at(310));
    CHECK(fixture.planner.plan(fixture.engine, fixture.pools, at(320)).empty());
}

TEST_CASE("Hosts with long-running tasks are drained only for a pool with a persistent shortage", "[capacity]")
{
    planner_fixture fixture;
    for (const auto *name : {"a", "b", "c"}) {
        fixture.add(name, "calm");
    }
    fixture.add("d", "busy");
    fixture.begin();
    // One long-running task on each host of pool calm, which two of them can hold, and more work in pool busy than its
    // host can run.
    auto longRunning = step(1, 5000);
    longRunning.longRunning = true;
    fixture.submit("0000000000000005", "calm", {step(3, 10'000)}, 0);
    for (const auto *job : {"0000000000000001", "0000000000000002", "0000000000000003"}) {
        fixture.submit(job, "calm", {longRunning}, 0);
    }
    fixture.cancelAll("0000000000000005", 100);
    for (const auto *name : {"a", "b", "c"}) {
        REQUIRE(fixture.engine.workers().find(jobs::worker_id{name})->placed.size() == 1);
    }
    fixture.submit("0000000000000004", "busy", {step(60, 1000, 60'000)}, 2000);
    const auto leaving = [&] {
        return std::ranges::count_if(fixture.engine.workers().all(), [](const auto &entry) {
            return entry.second.leaving && !entry.second.placed.empty();
        });
    };
    fixture.plan(3000);
    CHECK(leaving() == 0);
    fixture.plan(5000);
    CHECK(leaving() == 0);
    fixture.plan(9100);
    CHECK(leaving() > 0);
}

TEST_CASE("A host is not drained for a move when its long-running tasks fit on no other host of its pool", "[capacity]")
{
    planner_fixture fixture;
    for (const auto *name : {"a", "b", "c"}) {
        fixture.add(name, "calm");
    }
    fixture.add("d", "busy");
    fixture.begin();
    auto longRunning = step(1, 9000);
    longRunning.longRunning = true;
    for (const auto *job : {"0000000000000001", "0000000000000002", "0000000000000003"}) {
        fixture.submit(job, "calm", {longRunning}, 0);
    }
    fixture.submit("0000000000000004", "busy", {step(60, 1000, 60'000)}, 2000);
    for (std::int64_t time = 3000; time < 20'000; time += 100) {
        fixture.plan(time);
        CHECK(std::ranges::none_of(fixture.engine.workers().all(),
                                   [](const auto &entry) { return entry.second.leaving; }));
    }
}

TEST_CASE("An order is no longer valid once its host has another worker", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.add("b", "busy");
    fixture.begin();
    fixture.planner.addWave(waveOf(core::host_id{"h-a"}), at(0));
    const auto orders = fixture.plan(100);
    REQUIRE(orders.size() == 1);
    CHECK(fixture.planner.isCurrent(orders[0]));
    fixture.hosts[0] = hostOf("a2", "busy");
    fixture.hosts[0].id = core::host_id{"h-a"};
    fixture.planner.updateHosts(fixture.hosts, at(2000), at(2000));
    CHECK_FALSE(fixture.planner.isCurrent(orders[0]));
}

TEST_CASE("No host moves for work that no host of the fleet may run", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.add("b", "spare");
    fixture.begin();
    auto unplaceable = step(1);
    unplaceable.requirement = "nowhere";
    fixture.submit("0000000000000001", "busy", {unplaceable}, 2000);
    for (std::int64_t time = 2000; time < 12'000; time += 50) {
        fixture.engine.plan(at(time), wallAt(time));
        CHECK(fixture.plan(time).empty());
    }
    const auto &balance = fixture.planner.balances().at(core::pool_id{"busy"});
    CHECK(balance.targetHosts <= balance.have);
}

TEST_CASE("A pool whose workers may not run its waiting steps gets a host with the required label", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.add("b", "spare");
    fixture.add("c", "spare");
    fixture.hosts[2].labels = {"special"};
    fixture.begin();
    auto special = step(1);
    special.requirement = "special";
    fixture.submit("0000000000000001", "busy", {special}, 2000);
    std::vector<capacity::host_order> orders;
    for (std::int64_t time = 2000; orders.empty() && time < 4000; time += 50) {
        fixture.engine.plan(at(time), wallAt(time));
        orders = fixture.plan(time);
    }
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].host == core::host_id{"h-c"});
    CHECK(orders[0].pool == core::pool_id{"busy"});
}

TEST_CASE("Hosts maintained under a former owner are not maintained again", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("b1", "busy");
    fixture.add("b2", "busy");
    fixture.begin();
    fixture.planner.restoreMaintained({1, core::host_id{"h-b1"}});
    fixture.planner.addWave({1, {core::host_id{"h-b1"}, core::host_id{"h-b2"}}, std::chrono::milliseconds{6000}, 2},
                            at(0));
    std::set<std::string> ordered;
    for (std::int64_t time = 100; time < 3000; time += 100) {
        for (const auto &order : fixture.plan(time)) {
            if (!order.pool) {
                ordered.insert(order.host.str());
                fixture.planner.onOrderAnswer(order, capacity::host_order_outcome::done, at(time));
            }
        }
    }
    CHECK(ordered == std::set<std::string>{"h-b2"});
}

TEST_CASE("No host moves to standby before the first load is measured, so that the first jobs start at once",
          "[capacity]")
{
    planner_fixture fixture;
    for (const auto *name : {"a", "b", "c"}) {
        fixture.add(name, "busy");
    }
    fixture.begin();
    for (std::int64_t time = 0; time < 10'000; time += 100) {
        CHECK(fixture.plan(time).empty());
    }
    for (int job = 0; job < 4; ++job) {
        const auto id = "000000000000000" + std::to_string(job);
        fixture.submit(id, "busy", {step(10, 1000)}, 10'000);
        const auto &tasks = fixture.engine.find(jobs::job_id{id})->tasks;
        CHECK(std::ranges::all_of(tasks, [](const auto &task) { return task.phase == jobs::task_phase::running; }));
        fixture.engine.cancel(jobs::job_id{id}, at(10'500));
    }
    for (const auto &entry : fixture.entries) {
        auto ended = report();
        for (const auto &task : fixture.engine.workers().find(entry.id)->placed) {
            ended.ended.push_back({ended.ended.size() + 1, jobs::nameOf(task), 1, jobs::end_kind::stopped, {}});
        }
        fixture.engine.onReport(entry.id, ended, at(10'600), at(10'601));
    }
    const auto firstJobDelay =
        std::chrono::duration_cast<std::chrono::milliseconds>(capacity::firstJobStandbyDelay).count();
    std::size_t movedToStandby = 0;
    for (std::int64_t time = 10'700; time < 20'000; time += 100) {
        movedToStandby += movesTo(fixture.plan(time), "spare");
        CHECK((movedToStandby == 0 || time >= 10'000 + firstJobDelay));
    }
    CHECK(movedToStandby == 2);
}

TEST_CASE("Hosts move to standby when no work arrives within the startup delay", "[capacity]")
{
    planner_fixture fixture;
    fixture.add("a", "busy");
    fixture.add("b", "busy");
    fixture.begin();
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(capacity::startupStandbyDelay).count();
    std::size_t movedToStandby = 0;
    for (std::int64_t time = 0; time < delay; time += 500) {
        movedToStandby += movesTo(fixture.plan(time), "spare");
    }
    CHECK(movedToStandby == 0);
    CHECK(movesTo(fixture.plan(delay), "spare") == 1);
}

TEST_CASE("A pool without a host for its long-running tasks gets one within seconds while all pools are short",
          "[capacity]")
{
    played_fleet fleet;
    fleet.add("b1", "busy");
    for (const auto *name : {"c1", "c2", "c3", "c4"}) {
        fleet.add(name, "calm");
    }
    fleet.begin();
    fleet.enqueue("flood", "calm", {step(6000, 4000)});
    fleet.playUntil(3000);
    fleet.crash("b1");
    fleet.enqueue("service", "busy", {longRunningStep(1, 4000)});
    fleet.playUntil(7000);
    CHECK(fleet.runningInService("service") == 1);
}

TEST_CASE("A drain that does not end does not keep other hosts from a pool without one for its long-running tasks",
          "[capacity]")
{
    played_fleet fleet;
    fleet.add("b1", "busy");
    for (const auto *name : {"c1", "c2", "c3", "c4"}) {
        fleet.add(name, "calm");
    }
    fleet.begin();
    fleet.enqueue("flood", "calm", {step(6000, 4000)});
    fleet.playUntil(3000);
    fleet.crash("b1");
    fleet.enqueue("service", "busy", {longRunningStep(1, 4000)});
    fleet.playUntil(12'000, [&] {
        for (const auto &[id, worker] : fleet.engine.workers().all()) {
            if (worker.leaving && fleet.workerWithoutEnds.empty()) {
                fleet.workerWithoutEnds = id;
            }
        }
    });
    CHECK_FALSE(fleet.workerWithoutEnds.empty());
    CHECK(fleet.runningInService("service") == 1);
}

TEST_CASE("A pool in a general shortage gets the hosts that its long-running tasks need, and others keep theirs",
          "[capacity]")
{
    played_fleet fleet;
    for (const auto *name : {"b1", "b2", "b3", "c1", "c2", "c3", "c4"}) {
        fleet.add(name, name[0] == 'b' ? "busy" : "calm");
    }
    fleet.begin();
    fleet.enqueue("service", "busy", {longRunningStep(3, 4000, 1)});
    fleet.enqueue("other", "calm", {longRunningStep(2, 4000, 1)});
    fleet.playUntil(2000);
    REQUIRE(fleet.runningInService("service") == 3);
    fleet.enqueue("flood", "calm", {step(6000, 4000)});
    fleet.enqueue("work", "busy", {step(600, 4000)});
    fleet.playUntil(5000);
    for (auto &entry : fleet.entries) {
        entry.draining = entry.id.str() == "b2" || entry.id.str() == "b3";
    }
    fleet.engine.updateWorkers(fleet.entries, at(fleet.now));
    std::size_t leastOther = 2;
    std::size_t leastHosts = 4;
    const auto check = [&] {
        leastOther = std::min(leastOther, fleet.runningInService("other"));
        leastHosts = std::min(leastHosts, fleet.acceptingIn("calm"));
    };
    fleet.playUntil(15'000, check);
    CHECK(fleet.runningInService("service") == 3);
    fleet.playUntil(30'000, check);
    CHECK(leastOther == 2);
    CHECK(leastHosts == 2);
    CHECK(movesTo(fleet.moves, "busy") == 2);
    CHECK(fleet.moves.size() == 2);
}

TEST_CASE("Maintenance behind schedule does not take a pool below the hosts that its long-running tasks need",
          "[capacity]")
{
    played_fleet fleet;
    std::vector<core::host_id> waveHosts;
    for (const auto *name : {"b1", "b2", "b3", "c1", "c2", "c3", "c4"}) {
        fleet.add(name, name[0] == 'b' ? "busy" : "calm");
        waveHosts.emplace_back(std::string{"h-"} + name);
    }
    waveHosts.resize(3);
    fleet.begin();
    fleet.enqueue("service", "busy", {longRunningStep(3, 4000, 1)});
    fleet.playUntil(2000);
    REQUIRE(fleet.runningInService("service") == 3);
    fleet.enqueue("flood", "calm", {step(6000, 4000)});
    fleet.planner.addWave({1, waveHosts, std::chrono::seconds{12}, 3}, at(fleet.now));
    std::size_t leastHosts = 3;
    fleet.playUntil(60'000, [&] { leastHosts = std::min(leastHosts, fleet.acceptingIn("busy")); });
    CHECK(leastHosts == 3);
    CHECK(fleet.waveCompleted);
    CHECK(fleet.runningInService("service") == 3);
}

TEST_CASE("Maintenance takes a host without long-running tasks when the other hosts of its pool run all of them",
          "[capacity]")
{
    played_fleet fleet;
    fleet.add("b1", "busy");
    fleet.add("b2", "busy");
    fleet.begin();
    // Both tasks fit on one host, although two of each kind do not fill two.
    fleet.enqueue("large", "busy", {longRunningStep(1, 9000)});
    fleet.playUntil(500);
    fleet.enqueue("small", "busy", {longRunningStep(1, 7000)});
    fleet.playUntil(2000);
    REQUIRE(fleet.engine.workers().find(jobs::worker_id{"b1"})->placed.size() == 2);
    fleet.planner.addWave(waveOf(core::host_id{"h-b2"}), at(fleet.now));
    fleet.playUntil(20'000);
    CHECK(fleet.waveCompleted);
}

TEST_CASE("A drain for maintenance is given back when long-running tasks wait and no other host can run them",
          "[capacity]")
{
    played_fleet fleet;
    for (const auto *name : {"b1", "b2", "b3"}) {
        fleet.add(name, "busy");
    }
    fleet.begin();
    fleet.enqueue("service", "busy", {longRunningStep(6, 4000)});
    fleet.playUntil(2000);
    REQUIRE(fleet.runningInService("service") == 6);
    const auto &tasks = fleet.engine.find(jobs::job_id{"service"})->tasks;
    std::map<std::string, int> placed{{"b1", 0}, {"b2", 0}, {"b3", 0}};
    for (const auto &task : tasks) {
        ++placed[task.worker.str()];
    }
    const auto holding = [&](int count) {
        return std::ranges::find(placed, count, &std::pair<const std::string, int>::second)->first;
    };
    fleet.planner.addWave(waveOf(core::host_id{"h-" + holding(2)}), at(fleet.now));
    fleet.playUntil(2100);
    REQUIRE(fleet.engine.workers().find(jobs::worker_id{holding(2)})->placed.size() == 1);
    fleet.crash(holding(0));
    fleet.playUntil(12'000);
    CHECK(fleet.runningInService("service") == 6);

    fleet.restore(holding(0));
    fleet.playUntil(30'000);
    CHECK(fleet.waveCompleted);
    CHECK(fleet.runningInService("service") == 6);
}
