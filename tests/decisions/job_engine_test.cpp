#include "jobs_fixture.h"

#include <poplarpass/jobs/constants.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id jobId{"00000000000000aa"};
} // namespace

TEST_CASE("A job's steps run in order, and the job completes after the last one", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    auto second = step(1);
    second.after = {0};
    CHECK(engine.submit(jobId, queue(), jobOf({step(2), second}), wallAt(0)) == jobs::submit_outcome::accepted);
    CHECK(engine.submit(jobId, queue(), jobOf({step(2), second}), wallAt(0)) == jobs::submit_outcome::known);

    const auto first = startAll(engine, 10);
    REQUIRE(first.size() == 2);
    CHECK(std::ranges::all_of(first, [](const auto &order) { return order.task.step == 0; }));

    auto ends = report();
    ends.ended = {endOf(1, first[0], jobs::end_kind::done)};
    ends.running = {{jobs::nameOf(first[1].task), first[1].run, {}, 50, 0}};
    engine.onReport(jobs::worker_id{"a"}, ends, at(20), at(21));
    CHECK(startAll(engine, 30).empty());

    ends.running.clear();
    ends.ended.push_back(endOf(2, first[1], jobs::end_kind::done));
    CHECK(engine.onReport(jobs::worker_id{"a"}, ends, at(40), at(41)) == 2);
    const auto last = startAll(engine, 50);
    REQUIRE(last.size() == 1);
    CHECK(last[0].task.step == 1);

    auto end = report();
    end.ended = {endOf(3, last[0], jobs::end_kind::done)};
    engine.onReport(jobs::worker_id{"a"}, end, at(60), at(61));
    CHECK(engine.find(jobId)->phase == jobs::multistep_job_phase::completed);
}

TEST_CASE("A run whose start was not answered is stopped before the task starts again", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    auto order = engine.drainOrders().starts.at(0);
    for (std::uint32_t attempt = 2; attempt <= jobs::maxStartAttempts; ++attempt) {
        const auto time = 300 * std::int64_t{attempt};
        engine.onStartAnswer(order, jobs::run_start_answer::unknown, at(time));
        engine.plan(at(time + 1), wallAt(time + 1));
        const auto orders = engine.drainOrders();
        CHECK(orders.stops.empty());
        REQUIRE(orders.starts.size() == 1);
        CHECK(orders.starts[0].run == order.run);
        CHECK(orders.starts[0].worker == order.worker);
        order = orders.starts[0];
    }
    engine.onStartAnswer(order, jobs::run_start_answer::unknown, at(1000));
    const auto stops = engine.drainOrders().stops;
    REQUIRE(stops.size() == 1);

    // A report without the run proves nothing while the start may still be in flight.
    engine.onReport(jobs::worker_id{"a"}, report(), at(1010), at(1011));
    engine.plan(at(1020), wallAt(1020));
    CHECK(engine.drainOrders().starts.empty());

    engine.onStopAnswer(stops[0], jobs::stop_answer::stopped, at(1030));
    engine.onReport(jobs::worker_id{"a"}, report(), at(1040), at(1041));
    engine.plan(at(1050), wallAt(1050));
    const auto again = engine.drainOrders().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].run == order.run + 1);
}

TEST_CASE("A run whose first start order was not answered is kept when the retry finds it on the worker", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    engine.onStartAnswer(engine.drainOrders().starts.at(0), jobs::run_start_answer::unknown, at(900));
    const auto repeat = engine.drainOrders().starts.at(0);

    SECTION("The run is in progress")
    {
        engine.onStartAnswer(repeat, jobs::run_start_answer::started, at(910));
        CHECK(engine.find(jobId)->tasks[0].phase == jobs::task_phase::running);
        CHECK(engine.drainOrders().stops.empty());
    }
    SECTION("The run has ended: nothing starts before the next report, which contains the end")
    {
        engine.onStartAnswer(repeat, jobs::run_start_answer::superseded, at(910));
        engine.plan(at(920), wallAt(920));
        CHECK(engine.drainOrders().starts.empty());
        auto end = report();
        end.ended = {endOf(1, repeat, jobs::end_kind::done)};
        engine.onReport(jobs::worker_id{"a"}, end, at(930), at(931));
        CHECK(engine.find(jobId)->phase == jobs::multistep_job_phase::completed);
    }
    SECTION("The retry is rejected: the first order may still be carried out, so the run is stopped")
    {
        engine.onStartAnswer(repeat, jobs::run_start_answer::no_room, at(910));
        const auto orders = engine.drainOrders();
        REQUIRE(orders.stops.size() == 1);
        engine.plan(at(2000), wallAt(2000));
        CHECK(engine.drainOrders().starts.empty());
    }
}

TEST_CASE("The start of a long-running task without an answer is retried on the same worker, not stopped", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    auto longRunningStep = step(1);
    longRunningStep.longRunning = true;
    engine.submit(jobId, queue(), jobOf({longRunningStep}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    const auto first = engine.drainOrders().starts.at(0);
    engine.onNoReport(jobs::worker_id{"a"}, at(900));
    engine.onStartAnswer(first, jobs::run_start_answer::unknown, at(900));
    CHECK(engine.drainOrders().starts.empty());

    // The worker responds again and does not list the run.
    engine.onReport(jobs::worker_id{"a"}, report(), at(950), at(951));
    const auto orders = engine.drainOrders();
    CHECK(orders.stops.empty());
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts[0].run == first.run);
    CHECK(orders.starts[0].attempt == 2);
}

TEST_CASE("Runs on an unresponsive worker stay placed until its lease has expired on the slowest clock", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    const auto order = engine.drainOrders().starts.at(0);
    auto &slot = *engine.workers().find(order.worker);
    engine.workers().extendLease(slot, at(10));
    engine.onStartAnswer(order, jobs::run_start_answer::started, at(12));
    engine.onNoReport(order.worker, at(12));

    const auto leaseEnd = std::chrono::duration_cast<std::chrono::milliseconds>(slot.leaseEnd - at(0)).count();
    CHECK(leaseEnd >= 5000 / 0.98);
    engine.plan(at(leaseEnd - 10), wallAt(leaseEnd - 10));
    CHECK(engine.drainOrders().starts.empty());
    const auto other = order.worker.str() == "a" ? "b" : "a";
    engine.onReport(jobs::worker_id{other}, report(), at(leaseEnd - 5), at(leaseEnd - 4));
    engine.plan(at(leaseEnd + 1), wallAt(leaseEnd + 1));
    const auto again = engine.drainOrders().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker.str() == other);
}

TEST_CASE("A restarted worker runs nothing from its earlier incarnation", "[jobs]")
{
    auto engine = engineWith({worker("a", 1)});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    REQUIRE(startAll(engine, 10).size() == 1);
    engine.updateWorkers(std::vector{worker("a", 2)}, at(20));
    engine.onReport(jobs::worker_id{"a"}, report(2), at(21), at(22));
    const auto again = startAll(engine, 30);
    REQUIRE(again.size() == 1);
    CHECK(again[0].run == 2);
}

TEST_CASE("A start in flight during a restart of its worker is neither stopped nor considered lost", "[jobs]")
{
    auto engine = engineWith({worker("a", 1)});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    const auto order = engine.drainOrders().starts.at(0);
    // The new incarnation made its report just before the start could have arrived.
    engine.updateWorkers(std::vector{worker("a", 2)}, at(20));
    engine.onReport(jobs::worker_id{"a"}, report(2), at(21), at(22));
    engine.plan(at(22), wallAt(22));
    const auto orders = engine.drainOrders();
    CHECK(orders.starts.empty());
    CHECK(orders.stops.empty());

    SECTION("The new incarnation received it")
    {
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(23));
        auto running = report(2);
        running.running.push_back({jobs::nameOf(order.task), order.run, {}, 100, 0});
        engine.onReport(jobs::worker_id{"a"}, running, at(50), at(51));
        engine.plan(at(60), wallAt(60));
        const auto after = engine.drainOrders();
        CHECK(after.starts.empty());
        CHECK(after.stops.empty());
        CHECK(engine.find(jobId)->tasks[0].phase == jobs::task_phase::running);
    }
    SECTION("The earlier incarnation received it, and the run ended with it")
    {
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(23));
        CHECK(startAll(engine, 30).empty());
        engine.onReport(jobs::worker_id{"a"}, report(2), at(50), at(51));
        const auto again = startAll(engine, 60);
        REQUIRE(again.size() == 1);
        CHECK(again[0].run == 2);
    }
    SECTION("No answer: the start of the same run is retried on the new incarnation")
    {
        engine.onStartAnswer(order, jobs::run_start_answer::unknown, at(900));
        engine.plan(at(910), wallAt(910));
        const auto repeat = engine.drainOrders();
        CHECK(repeat.stops.empty());
        REQUIRE(repeat.starts.size() == 1);
        CHECK(repeat.starts[0].run == order.run);
    }
}

TEST_CASE("An evacuation waits for a worker that the advice service allows", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    auto longRunningStep = step(1);
    longRunningStep.longRunning = true;
    longRunningStep.maxUnavailable = 1;
    auto policy = queue();
    policy.advice =
        jobs::advice_policy{std::chrono::milliseconds{1}, std::chrono::milliseconds{1}, std::chrono::seconds{60}};
    engine.submit(jobId, policy, jobOf({longRunningStep}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    const auto requests = engine.drainAdviceRequests();
    REQUIRE(requests.size() == 1);
    engine.onAdvice(requests[0], std::vector<jobs::advice_ticket>{{jobs::worker_id{"a"}, "t"}}, at(10), at(11));
    REQUIRE(startAll(engine, 20).size() == 1);
    auto listed = report();
    listed.running = {{jobs::nameOf(jobs::task_ref{jobId, 0, 0, 0}), 1, {}, 100, 0}};
    engine.onReport(jobs::worker_id{"a"}, listed, at(30), at(31));
    auto &leaving = *engine.workers().find(jobs::worker_id{"a"});
    leaving.leaving = true;
    engine.evacuate(leaving, at(40));
    CHECK(engine.drainOrders().stops.empty());
}

TEST_CASE("A job fails when a task has failed maxAttempts times, with each run counted once", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(jobId, queue(2), jobOf({step(1)}), wallAt(0));
    const auto first = startAll(engine, 10).at(0);
    auto ends = report();
    ends.ended = {endOf(1, first, jobs::end_kind::failed)};
    engine.onReport(first.worker, ends, at(20), at(21));

    // The worker reports the same end again to the next owner.
    auto restored = jobs::makeJob(jobId, queue(2), jobOf({step(1)}), wallAt(0));
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(*engine.find(jobId))));
    auto next = jobs::job_engine{nullptr};
    next.restore(restored, at(100), at(100));
    next.updateWorkers(std::vector{worker("a"), worker("b")}, at(100));
    next.onReport(first.worker, ends, at(100), at(101));
    CHECK(next.find(jobId)->phase == jobs::multistep_job_phase::active);

    const auto second = startAll(next, 110).at(0);
    auto more = report();
    more.ended = {endOf(second.worker == first.worker ? 2U : 1U, second, jobs::end_kind::failed)};
    next.onReport(second.worker, more, at(120), at(121));
    CHECK(next.find(jobId)->phase == jobs::multistep_job_phase::failed);
}

TEST_CASE("A job is pending until a worker has started a task, and a rejected start does not count", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    engine.plan(at(10), wallAt(10));
    const auto order = engine.drainOrders().starts.at(0);
    CHECK(engine.pendingCount(jobs::queue_id{"queue"}) == 1);
    engine.onStartAnswer(order, jobs::run_start_answer::no_room, at(11));
    CHECK(engine.pendingCount(jobs::queue_id{"queue"}) == 1);
    CHECK(startAll(engine, 500).size() == 1);
    CHECK(engine.pendingCount(jobs::queue_id{"queue"}) == 0);
}

TEST_CASE("A job is marked as changed from its submission until it is collected for storing", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    CHECK(engine.isChanged(jobId));
    CHECK(engine.drainChangedJobs().contains(jobId));
    CHECK_FALSE(engine.isChanged(jobId));
}

TEST_CASE("Stops of a cancelled job's runs are repeated until each run has ended", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(2)}), wallAt(0));
    const auto started = startAll(engine, 10);
    CHECK(engine.cancel(jobId, at(20)) == jobs::job_cancel_outcome::cancelled);
    CHECK(engine.drainOrders().stops.size() == 2);
    engine.plan(at(600), wallAt(600));
    CHECK(engine.drainOrders().stops.size() == 2);
    auto ends = report();
    ends.ended = {endOf(1, started[0], jobs::end_kind::stopped), endOf(2, started[1], jobs::end_kind::stopped)};
    engine.onReport(jobs::worker_id{"a"}, ends, at(610), at(611));
    CHECK(engine.find(jobId)->isSettled());
    CHECK(engine.cancel(jobId, at(620)) == jobs::job_cancel_outcome::ended);
    CHECK(engine.cancel(jobs::job_id{"none"}, at(620)) == jobs::job_cancel_outcome::unknown);
}

TEST_CASE("Placement respects labels, anti-affinity and resources", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    auto antiAffine = step(3);
    antiAffine.antiAffinity = 1;
    engine.submit(jobId, queue(), jobOf({antiAffine}), wallAt(0));
    const auto spread = startAll(engine, 10);
    REQUIRE(spread.size() == 2);
    CHECK(spread[0].worker != spread[1].worker);

    auto labelled = step(1);
    labelled.requirement = "rack-b";
    const jobs::job_id other{"00000000000000bb"};
    engine.submit(other, queue(), jobOf({labelled}), wallAt(0));
    const auto placed = startAll(engine, 20);
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].worker.str() == "b");

    const jobs::job_id large{"00000000000000cc"};
    engine.submit(large, queue(), jobOf({step(1, hostCpu + 1)}), wallAt(0));
    CHECK(startAll(engine, 30).empty());
}

TEST_CASE("Long-running tasks share workers as far as anti-affinity allows, so that other workers stay empty", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b"), worker("c")});
    auto longRunningStep = step(2);
    longRunningStep.longRunning = true;
    longRunningStep.antiAffinity = 1;
    engine.submit(jobs::job_id{"0000000000000001"}, queue(), jobOf({longRunningStep}), wallAt(0));
    REQUIRE(startAll(engine, 10).size() == 2);
    engine.submit(jobs::job_id{"0000000000000002"}, queue(), jobOf({longRunningStep}), wallAt(20));
    REQUIRE(startAll(engine, 30).size() == 2);
    const auto empty =
        std::ranges::count_if(engine.workers().all(), [](const auto &entry) { return entry.second.placed.empty(); });
    CHECK(empty == 1);
}

TEST_CASE("All members of a gang start together or none does, with one run number", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    auto gang = step(3, 9000);
    gang.gang = true;
    engine.submit(jobId, queue(), jobOf({gang}), wallAt(0));
    CHECK(startAll(engine, 10).empty());

    auto fitting = step(2, 9000);
    fitting.gang = true;
    const jobs::job_id other{"00000000000000bb"};
    engine.submit(other, queue(), jobOf({fitting}), wallAt(0));
    const auto members = startAll(engine, 20);
    REQUIRE(members.size() == 2);
    CHECK(members[0].run == members[1].run);
    auto ends = report();
    ends.ended = {endOf(1, members[0], jobs::end_kind::done)};
    engine.onReport(members[0].worker, ends, at(30), at(31));
    CHECK(engine.find(other)->phase == jobs::multistep_job_phase::completed);
}

TEST_CASE("Occurrences start when they are due", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    auto scheduled = jobOf({step(1)});
    scheduled.repeatCount = 2;
    scheduled.firstDue = wallAt(1000);
    scheduled.interval = std::chrono::milliseconds{500};
    engine.submit(jobId, queue(), scheduled, wallAt(0));
    CHECK(startAll(engine, 990).empty());
    const auto first = startAll(engine, 1000);
    REQUIRE(first.size() == 1);
    CHECK(first[0].task.occurrence == 0);
    const auto second = startAll(engine, 1500);
    REQUIRE(second.size() == 1);
    CHECK(second[0].task.occurrence == 1);
}

namespace
{
/// \brief Returns an engine with a long-running job of two ready tasks on two of three workers; one task may be
/// unavailable.
auto engineWithReadyTasks() -> jobs::job_engine
{
    auto engine = engineWith({worker("a"), worker("b"), worker("c")});
    auto longRunningStep = step(2);
    longRunningStep.longRunning = true;
    longRunningStep.antiAffinity = 1;
    longRunningStep.maxUnavailable = 1;
    engine.submit(jobId, queue(), jobOf({longRunningStep}), wallAt(0));
    for (const auto &order : startAll(engine, 10)) {
        auto readyReport = report();
        readyReport.running = {{jobs::nameOf(order.task), order.run, {}, 100, 0}};
        engine.onReport(order.worker, readyReport, at(20), at(21));
    }
    return engine;
}

auto workerOfTask(const jobs::job_engine &engine, std::uint32_t index) -> jobs::worker_id
{
    return engine.find(jobId)->tasks.at(index).worker;
}
} // namespace

TEST_CASE("An evacuation makes no more tasks unavailable than the step allows", "[jobs]")
{
    auto engine = engineWithReadyTasks();
    for (std::uint32_t index = 0; index < 2; ++index) {
        auto &slot = *engine.workers().find(workerOfTask(engine, index));
        slot.leaving = true;
        engine.evacuate(slot, at(30));
    }
    CHECK(engine.drainOrders().stops.size() == 1);
}

TEST_CASE("A task on an unresponsive worker does not count as ready", "[jobs]")
{
    auto engine = engineWithReadyTasks();
    engine.onNoReport(workerOfTask(engine, 0), at(30));
    auto &slot = *engine.workers().find(workerOfTask(engine, 1));
    slot.leaving = true;
    engine.evacuate(slot, at(30));
    CHECK(engine.drainOrders().stops.empty());
}

TEST_CASE("The remaining lease of an unresponsive worker is restored by the next owner", "[jobs]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    const auto order = startAll(engine, 10).at(0);
    engine.workers().extendLease(*engine.workers().find(order.worker), at(10));
    engine.onNoReport(order.worker, at(12));
    const auto leaseRecords = engine.workers().collectUnrenewedLeases(at(1000));
    REQUIRE(leaseRecords.size() == 1);
    REQUIRE(leaseRecords[0].remaining);
    CHECK(engine.workers().collectUnrenewedLeases(at(1010)).empty());

    auto restored = jobs::makeJob(jobId, queue(), jobOf({step(1)}), wallAt(0));
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(*engine.find(jobId))));
    auto next = jobs::job_engine{nullptr};
    next.restore(restored, at(2000), at(6500));
    const auto before = next.workers().find(order.worker)->leaseEnd;
    next.workers().restoreUnrenewedLease(leaseRecords[0], at(2000));
    CHECK(next.workers().find(order.worker)->leaseEnd == at(2000) + *leaseRecords[0].remaining);
    CHECK(next.workers().find(order.worker)->leaseEnd < before);

    // The record is withdrawn before a lease is extended again.
    engine.onReport(order.worker, report(), at(1020), at(1021));
    const auto ended = engine.workers().collectUnrenewedLeases(at(1030));
    CHECK((ended.empty() || !ended[0].remaining));
}

TEST_CASE("A later owner continues to stop the runs of a cancelled job", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0));
    const auto order = startAll(engine, 10).at(0);
    engine.cancel(jobId, at(20));

    auto restored = jobs::makeJob(jobId, queue(), jobOf({step(1)}), wallAt(0));
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(*engine.find(jobId))));
    auto next = jobs::job_engine{nullptr};
    next.restore(restored, at(100), at(100));
    next.updateWorkers(std::vector{worker("a")}, at(100));
    auto stillRunning = report();
    stillRunning.running = {{jobs::nameOf(order.task), order.run, {}, 10, 0}};
    next.onReport(order.worker, stillRunning, at(110), at(111));
    next.plan(at(120), wallAt(120));
    CHECK(next.drainOrders().stops.size() == 1);
}

TEST_CASE("A later owner evacuates no task while a stop of the former one may be in progress", "[jobs]")
{
    auto engine = engineWithReadyTasks();
    const auto first = workerOfTask(engine, 0);
    const auto second = workerOfTask(engine, 1);
    auto &leaving = *engine.workers().find(first);
    leaving.leaving = true;
    engine.evacuate(leaving, at(30));
    REQUIRE(engine.drainOrders().stops.size() == 1);

    auto restored = jobs::makeJob(jobId, queue(), engine.find(jobId)->spec, wallAt(0));
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(*engine.find(jobId))));
    auto next = jobs::job_engine{nullptr};
    next.restore(restored, at(100), at(100));
    next.updateWorkers(std::vector{worker("a"), worker("b"), worker("c")}, at(100));
    const auto listAll = [&](std::int64_t time) {
        for (const auto *id : {"a", "b", "c"}) {
            auto answer = report();
            for (std::uint32_t index = 0; index < 2; ++index) {
                if (workerOfTask(engine, index) == jobs::worker_id{id}) {
                    answer.running.push_back({jobs::nameOf({jobId, 0, 0, index}), 1, {}, 100, 0});
                }
            }
            next.onReport(jobs::worker_id{id}, answer, at(time), at(time));
        }
    };
    listAll(110);
    auto &other = *next.workers().find(second);
    other.leaving = true;
    next.evacuate(other, at(120));
    CHECK(next.drainOrders().stops.empty());
    listAll(800);
    next.evacuate(other, at(810));
    CHECK(next.drainOrders().stops.size() == 1);
}

TEST_CASE("A later owner keeps a run of an active job that the former one had begun to stop", "[jobs]")
{
    auto engine = engineWithReadyTasks();
    auto &leaving = *engine.workers().find(workerOfTask(engine, 0));
    leaving.leaving = true;
    engine.evacuate(leaving, at(30));
    REQUIRE(engine.drainOrders().stops.size() == 1);

    auto spec = engine.find(jobId)->spec;
    auto restored = jobs::makeJob(jobId, queue(), spec, wallAt(0));
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(*engine.find(jobId))));
    auto next = jobs::job_engine{nullptr};
    next.restore(restored, at(100), at(100));
    next.updateWorkers(std::vector{worker("a"), worker("b"), worker("c")}, at(100));
    auto stillRunning = report();
    stillRunning.running = {{jobs::nameOf({jobId, 0, 0, 0}), 1, {}, 100, 0}};
    next.onReport(workerOfTask(engine, 0), stillRunning, at(110), at(111));
    next.plan(at(120), wallAt(120));
    CHECK(next.drainOrders().stops.empty());
    CHECK(next.find(jobId)->tasks[0].phase == jobs::task_phase::running);
}

// Guards against a stopped run that counts as running and ready again, so that a second task of its step is stopped
// too.
TEST_CASE("A stop that a former owner began does not outlive its run", "[jobs]")
{
    auto serving = step(1);
    serving.longRunning = true;
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(jobId, queue(), jobOf({serving}), wallAt(0));
    const auto first = startAll(engine, 10).at(0);
    auto stored = *engine.find(jobId);
    stored.tasks[0].phase = jobs::task_phase::closing;
    auto restored = jobs::makeJob(jobId, queue(), stored.spec, wallAt(0));
    REQUIRE(jobs::applyProgress(restored, jobs::encodeProgress(stored)));
    jobs::job_engine next{nullptr};
    next.restore(restored, at(100), at(100));
    next.updateWorkers(std::vector{worker("a"), worker("b")}, at(100));
    for (const auto *id : {"a", "b"}) {
        next.onReport(jobs::worker_id{id}, report(), at(110), at(111));
    }
    REQUIRE(next.find(jobId)->tasks[0].phase == jobs::task_phase::waiting);
    const auto second = startAll(next, 200).at(0);
    REQUIRE(second.run == first.run + 1);

    auto &leaving = *next.workers().find(second.worker);
    leaving.leaving = true;
    next.evacuate(leaving, at(210));
    REQUIRE(next.drainOrders().stops.size() == 1);
    auto listed = report();
    listed.running = {{jobs::nameOf(second.task), second.run, {}, 100, 0}};
    next.onReport(second.worker, listed, at(220), at(221));
    CHECK(next.find(jobId)->tasks[0].phase == jobs::task_phase::closing);
}

TEST_CASE("A cancel before the submission stops that of its own account only", "[jobs][accounts]")
{
    const jobs::account_id own{"own"};
    const jobs::account_id other{"other"};
    auto engine = engineWith({worker("a")});
    REQUIRE(engine.cancel(jobId, at(0)) == jobs::job_cancel_outcome::unknown);
    REQUIRE(engine.cancelUnsubmitted(jobId, own, at(0)));
    CHECK(engine.find(jobId) == nullptr);
    CHECK_FALSE(engine.submitCancelled(jobId, other));
    SECTION("submission of the account")
    {
        CHECK(engine.submitCancelled(jobId, own));
        CHECK(engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0), own) == jobs::submit_outcome::known);
        CHECK(startAll(engine, 10).empty());
    }
    SECTION("submission of another account")
    {
        CHECK(engine.submit(jobId, queue(), jobOf({step(1)}), wallAt(0), other) == jobs::submit_outcome::accepted);
        CHECK(startAll(engine, 10).size() == 1);
    }
}

TEST_CASE("Cancelled jobs without a submission are bounded and forgotten", "[jobs]")
{
    auto engine = engineWith({worker("a")});
    const auto cancel = [&](std::size_t number, core::monotonic_time now) {
        return engine.cancelUnsubmitted(jobs::job_id{std::to_string(number)}, {}, now);
    };
    for (std::size_t number = 0; number < jobs::maxUnsubmittedJobs; ++number) {
        REQUIRE(cancel(number, at(0)));
    }
    CHECK_FALSE(cancel(jobs::maxUnsubmittedJobs, at(0)));
    engine.drainChangedJobs();
    const auto later = at(0) + jobs::endedJobRetention + std::chrono::seconds{1};
    CHECK(engine.removeEndedJobs(later).size() == jobs::maxUnsubmittedJobs);
    CHECK(cancel(jobs::maxUnsubmittedJobs, later));
}
