#include "account_usage_check.h"
#include "jobs_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace tests::jobs_fixture;

namespace
{
const jobs::account_id alpha{"alpha"};
const jobs::account_id beta{"beta"};
const jobs::worker_id workerA{"a"};

auto limits(const jobs::account_id &account, const jobs::resources &cap) -> jobs::account_limits
{
    return {account, 1.0, cap};
}

auto setCap(jobs::job_engine &engine, const jobs::resources &cap) -> void
{
    const std::vector<jobs::account_limits> all{limits(alpha, cap), limits(beta, {})};
    engine.updateAccounts(all);
}

auto cappedEngine(const jobs::resources &cap, const std::vector<jobs::worker_entry> &workers = {worker("a")})
    -> jobs::job_engine
{
    auto engine = engineWith(workers);
    setCap(engine, cap);
    return engine;
}

auto submit(jobs::job_engine &engine, const std::string &id, const std::vector<jobs::step_spec> &steps,
            const jobs::account_id &account = alpha, std::int64_t now = 0) -> void
{
    engine.submit(jobs::job_id{id}, queue(), jobOf(steps), wallAt(now), account);
}

/// \brief Plans and returns the starts without answering them.
auto plan(jobs::job_engine &engine, std::int64_t now) -> std::vector<jobs::start_order>
{
    engine.plan(at(now), wallAt(now));
    CHECK(tests::account_usage_check::differenceIn(engine).empty());
    return engine.drainOrders().starts;
}

auto planAndStart(jobs::job_engine &engine, std::int64_t now) -> std::vector<jobs::start_order>
{
    auto starts = plan(engine, now);
    for (const auto &order : starts) {
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(now));
    }
    return starts;
}

auto jobNamesOf(const std::vector<jobs::start_order> &starts) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &order : starts) {
        names.push_back(order.task.job.str());
    }
    return names;
}

/// \brief Reports of worker a, which list what runs there.
class reporter
{
public:
    auto add(const std::vector<jobs::start_order> &starts) -> void
    {
        for (const auto &order : starts) {
            m_running[jobs::nameOf(order.task)] = order.run;
        }
    }

    /// \brief Ends runs, and reports at \p now.
    auto end(jobs::job_engine &engine, const std::vector<jobs::start_order> &ended, std::int64_t now) -> void
    {
        auto answer = report();
        for (const auto &order : ended) {
            const auto name = jobs::nameOf(order.task);
            answer.ended.push_back({++m_lastEnd, name, order.run, jobs::end_kind::done, {}});
            m_running.erase(name);
        }
        for (const auto &[name, run] : m_running) {
            answer.running.push_back({name, run, {}, 50, 0});
        }
        engine.onReport(workerA, answer, at(now), at(now));
    }

private:
    std::map<std::string, std::uint32_t> m_running;
    std::uint64_t m_lastEnd = 0;
};
} // namespace

// Guards against starts above the cap, and against room that is not given back by an end.
TEST_CASE("Starts stop at the cap and go on when a run has ended", "[accounts][caps]")
{
    auto engine = cappedEngine({3000, 0, 0});
    submit(engine, "j", {step(5)});
    reporter workerReport;
    const auto first = planAndStart(engine, 10);
    REQUIRE(first.size() == 3);
    workerReport.add(first);
    CHECK(planAndStart(engine, 20).empty());
    workerReport.end(engine, {first[0]}, 30);
    const auto second = planAndStart(engine, 40);
    CHECK(second.size() == 1);
    CHECK(planAndStart(engine, 50).empty());
}

// Guards against runs of a silent worker that are forgotten before they must have ended, or counted for ever.
TEST_CASE("Runs of a silent worker count until its lease has lapsed", "[accounts][caps]")
{
    auto engine = cappedEngine({2000, 0, 0}, {worker("a"), worker("b")});
    engine.workers().extendLease(*engine.workers().find(workerA), at(0));
    submit(engine, "j", {step(4)});
    auto &other = *engine.workers().find(jobs::worker_id{"b"});
    other.pausedUntil = at(100);
    REQUIRE(planAndStart(engine, 10).size() == 2);
    engine.onNoReport(workerA, at(10));
    for (std::int64_t time = 1000; time <= 5000; time += 1000) {
        engine.onReport(other.entry.id, report(), at(time), at(time));
        CHECK(plan(engine, time).empty());
    }
    engine.onReport(other.entry.id, report(), at(5400), at(5400));
    const auto again = plan(engine, 5400);
    REQUIRE(again.size() == 2);
    CHECK(again[0].worker == other.entry.id);
}

// Guards against room that is given away while a stopped run still uses it.
TEST_CASE("A run that is being stopped counts until its end is certain", "[accounts][caps]")
{
    auto engine = cappedEngine({1000, 0, 0});
    submit(engine, "j", {step(1)});
    REQUIRE(planAndStart(engine, 10).size() == 1);
    engine.cancel(jobs::job_id{"j"}, at(20));
    const auto stops = engine.drainOrders().stops;
    REQUIRE(stops.size() == 1);
    submit(engine, "k", {step(1)});
    CHECK(plan(engine, 30).empty());
    engine.onStopAnswer(stops[0], jobs::stop_answer::stopped, at(40));
    CHECK(plan(engine, 50).empty());
    engine.onReport(workerA, report(), at(60), at(60));
    CHECK(plan(engine, 70).size() == 1);
}

// Guards against an order that is carried out late, beside a start that took its room.
TEST_CASE("An order without an answer counts until it is settled", "[accounts][caps]")
{
    auto engine = cappedEngine({1000, 0, 0});
    submit(engine, "j", {step(1)});
    submit(engine, "k", {step(1)}, alpha, 1);
    auto starts = plan(engine, 10);
    REQUIRE(starts.size() == 1);
    for (std::uint32_t attempt = 1; attempt <= jobs::maxStartAttempts; ++attempt) {
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].task.job == jobs::job_id{"j"});
        engine.onStartAnswer(starts[0], jobs::run_start_answer::unknown, at(100 * std::int64_t{attempt}));
        if (attempt < jobs::maxStartAttempts) {
            starts = plan(engine, 100 * std::int64_t{attempt} + 1);
        }
    }
    const auto stops = engine.drainOrders().stops;
    REQUIRE(stops.size() == 1);
    CHECK(plan(engine, 400).empty());
    engine.onStopAnswer(stops[0], jobs::stop_answer::stopped, at(410));
    engine.onReport(workerA, report(), at(420), at(420));
    CHECK(plan(engine, 430).size() == 1);
}

// Guards against an owner that starts new work before it counts what its predecessor started.
TEST_CASE("After a takeover, starts in flight at the cap count before the first plan", "[accounts][caps]")
{
    auto former = cappedEngine({2000, 0, 0});
    submit(former, "j", {step(4)});
    REQUIRE(plan(former, 10).size() == 2);

    jobs::job_engine engine{nullptr};
    engine.restore(*former.find(jobs::job_id{"j"}), at(20), at(4000));
    setCap(engine, {2000, 0, 0});
    const std::vector<jobs::worker_entry> workers{worker("a"), worker("b")};
    engine.updateWorkers(workers, at(20));
    engine.onReport(jobs::worker_id{"b"}, report(), at(30), at(30));
    CHECK(plan(engine, 40).empty());

    // The worker received one of the two orders.
    auto answer = report();
    answer.running = {{"j.0.0.0", 1, {}, 10, 0}};
    engine.onReport(workerA, answer, at(50), at(50));
    const auto starts = plan(engine, 60);
    CHECK(starts.size() == 1);
    CHECK(engine.accountUsage().usageOf(alpha).cpu == 2000);
}

// Guards against runs that are stopped, or starts that go on, when an operator lowers a cap.
TEST_CASE("A cap that is lowered below the usage permits no starts and stops nothing", "[accounts][caps]")
{
    auto engine = cappedEngine({4000, 0, 0});
    submit(engine, "j", {step(8)});
    const auto first = planAndStart(engine, 10);
    REQUIRE(first.size() == 4);
    reporter workerReport;
    workerReport.add(first);
    setCap(engine, {2000, 0, 0});
    auto gpuOnly = step(1, 0);
    gpuOnly.perTask = {0, 0, 1};
    submit(engine, "g", {gpuOnly});
    engine.plan(at(20), wallAt(20));
    const auto orders = engine.drainOrders();
    CHECK(orders.starts.empty());
    CHECK(orders.stops.empty());
    workerReport.end(engine, {first[0], first[1]}, 30);
    CHECK(plan(engine, 40).empty());
    workerReport.end(engine, {first[2]}, 50);
    CHECK(plan(engine, 60).size() == 1);
}

// Guards against long-running tasks that are stopped to be moved and may then not start again.
TEST_CASE("Tasks of an account above its cap are not moved", "[accounts][caps]")
{
    auto engine = cappedEngine({2000, 0, 0}, {worker("a"), worker("b")});
    auto service = step(2);
    service.longRunning = true;
    service.antiAffinity = 2;
    submit(engine, "s", {service});
    const auto started = planAndStart(engine, 10);
    REQUIRE(started.size() == 2);
    auto &from = *engine.workers().find(started[0].worker);
    setCap(engine, {1000, 0, 0});
    engine.evacuate(from, at(20));
    CHECK(engine.drainOrders().stops.empty());
    setCap(engine, {2000, 0, 0});
    engine.evacuate(from, at(30));
    CHECK(engine.drainOrders().stops.size() == 2);
}

// Guards against an account that escapes its cap when it is removed from the configuration.
TEST_CASE("An account that is no longer configured keeps its last cap", "[accounts][caps]")
{
    auto engine = cappedEngine({1000, 0, 0});
    const std::vector<jobs::account_limits> rest{limits(beta, {})};
    engine.updateAccounts(rest);
    submit(engine, "j", {step(3)});
    CHECK(plan(engine, 10).size() == 1);
    CHECK(engine.exceedsCap(jobOf({step(1, 2000)}), alpha));

    SECTION("Without accounts in the configuration there are no caps")
    {
        engine.disableAccounts();
        CHECK(plan(engine, 20).size() == 2);
        CHECK_FALSE(engine.exceedsCap(jobOf({step(1, 2000)}), alpha));
    }
}

// Guards against a gang of which some members start and then wait for the others with resources reserved.
TEST_CASE("A gang starts only when all its members fit under the cap", "[accounts][caps]")
{
    auto engine = cappedEngine({3000, 0, 0});
    submit(engine, "first", {step(1)});
    const auto first = planAndStart(engine, 10);
    REQUIRE(first.size() == 1);
    reporter workerReport;
    workerReport.add(first);
    auto gang = step(3);
    gang.gang = true;
    submit(engine, "gang", {gang});
    CHECK(plan(engine, 20).empty());
    workerReport.end(engine, first, 30);
    CHECK(plan(engine, 40).size() == 3);

    gang.taskCount = 4;
    CHECK(engine.exceedsCap(jobOf({gang}), alpha));
    gang.gang = false;
    CHECK_FALSE(engine.exceedsCap(jobOf({gang}), alpha));
    CHECK(engine.exceedsCap(jobOf({step(1), step(1, 3001)}), alpha));
    CHECK_FALSE(engine.exceedsCap(jobOf({step(1, 3001)}), beta));
    CHECK_FALSE(engine.exceedsCap(jobOf({step(1, 3001)}), {}));
}

// Guards against an account whose waiting jobs delay others, and against an order that changes when jobs wait.
TEST_CASE("An account at its cap blocks nobody else, and its own jobs keep their order", "[accounts][caps]")
{
    auto engine = cappedEngine({1000, 0, 0});
    // The least remaining work is planned first, so that the jobs of alpha come before all others.
    submit(engine, "a1", {step(1, 1000, 100)});
    submit(engine, "a2", {step(1, 1000, 200)});
    submit(engine, "a3", {step(1, 1000, 300)});
    submit(engine, "b", {step(2, 1000, 900)}, beta);
    submit(engine, "none", {step(2, 1000, 900)}, {});
    auto starts = planAndStart(engine, 10);
    CHECK(jobNamesOf(starts) == std::vector<std::string>{"a1", "b", "b", "none", "none"});
    reporter workerReport;
    workerReport.add(starts);
    for (const auto *next : {"a2", "a3"}) {
        workerReport.end(engine, {starts[0]}, 20);
        starts = planAndStart(engine, 30);
        CHECK(jobNamesOf(starts) == std::vector<std::string>{next});
        workerReport.add(starts);
    }
}

// Guards against a large task that never starts because small ones take each resource that becomes free.
TEST_CASE("Small tasks do not overtake a large one of their account that waits for the cap", "[accounts][caps]")
{
    auto engine = cappedEngine({4000, 0, 0});
    submit(engine, "old", {step(3, 1000, 100)});
    auto running = planAndStart(engine, 10);
    REQUIRE(running.size() == 3);
    reporter workerReport;
    workerReport.add(running);
    submit(engine, "large", {step(1, 3000, 200)});
    submit(engine, "small", {step(8, 1000, 5000)});
    CHECK(plan(engine, 20).empty());
    workerReport.end(engine, {running[0]}, 30);
    CHECK(plan(engine, 40).empty());
    workerReport.end(engine, {running[1]}, 50);
    const auto starts = plan(engine, 60);
    CHECK(jobNamesOf(starts) == std::vector<std::string>{"large"});
}

// Guards against a large task in one pool that small ones in another pool keep from starting.
TEST_CASE("Tasks of another pool leave room for a task that began to wait before them", "[accounts][caps]")
{
    auto engine = cappedEngine({4000, 0, 0}, {worker("a"), worker("z", 1, "apool")});
    auto other = queue();
    other.pool = core::pool_id{"apool"};
    submit(engine, "old", {step(3, 1000, 100)});
    auto running = planAndStart(engine, 10);
    REQUIRE(running.size() == 3);
    reporter workerReport;
    workerReport.add(running);
    submit(engine, "large", {step(1, 3000, 200)});
    CHECK(plan(engine, 20).empty());
    // Pools are planned in the order of their names.
    engine.submit(jobs::job_id{"small"}, other, jobOf({step(8)}), wallAt(20), alpha);
    workerReport.end(engine, {running[0]}, 30);
    CHECK(plan(engine, 40).empty());
    workerReport.end(engine, {running[1]}, 50);
    CHECK(jobNamesOf(plan(engine, 60)) == std::vector<std::string>{"large"});
}

// Guards against tasks that wait for seconds although their account uses little: requirement 6 of
// docs/design/ACCOUNTS.md.
TEST_CASE("A task starts within 3 s while its account uses under half of its cap", "[accounts][caps]")
{
    auto engine = cappedEngine({10'000, 0, 0});
    submit(engine, "long", {step(4, 1000, 60'000)});
    const auto running = planAndStart(engine, 10);
    REQUIRE(running.size() == 4);
    reporter workerReport;
    workerReport.add(running);
    // It fits only when the runs have ended, in a minute.
    submit(engine, "large", {step(1, 8000, 10'000)}, alpha, 20);
    submit(engine, "small", {step(8, 1000, 50'000)}, alpha, 20);
    std::size_t started = 0;
    for (std::int64_t time = 20; time <= 3020; time += 20) {
        workerReport.end(engine, {}, time);
        const auto starts = planAndStart(engine, time);
        workerReport.add(starts);
        started += starts.size();
    }
    // From half of the cap on, they wait for the large one again.
    CHECK(started == 1);
    CHECK(engine.accountUsage().usageOf(alpha).cpu == 5000);
}

// Guards against caps that count only processor time.
TEST_CASE("Memory and graphics processors have caps of their own", "[accounts][caps]")
{
    auto entry = worker("a");
    entry.capacity.gpu = 8;
    SECTION("Memory")
    {
        auto engine = cappedEngine({0, 250, 0}, {entry});
        submit(engine, "j", {step(4)});
        CHECK(plan(engine, 10).size() == 2);
    }
    SECTION("Graphics processors: tasks without them are not held back")
    {
        auto engine = cappedEngine({0, 0, 2}, {entry});
        auto graphic = step(4, 1000, 100);
        graphic.perTask.gpu = 1;
        submit(engine, "g", {graphic});
        submit(engine, "plain", {step(2)});
        const auto starts = plan(engine, 10);
        CHECK(jobNamesOf(starts) == std::vector<std::string>{"g", "g", "plain", "plain"});
        CHECK(plan(engine, 20).empty());
    }
}

// Guards against best-effort work that evades a cap because workers reserve no processor time for it.
TEST_CASE("Best-effort tasks are held back by the cap", "[accounts][caps]")
{
    auto engine = cappedEngine({2000, 0, 0});
    auto bestEffort = step(5);
    bestEffort.bestEffort = true;
    submit(engine, "b", {bestEffort});
    CHECK(plan(engine, 10).size() == 2);
    CHECK(plan(engine, 20).empty());
}

// Guards against starts under a cap that may have been lowered.
TEST_CASE("While the configuration is not confirmed, accounts with a cap get no starts", "[accounts][caps]")
{
    auto engine = cappedEngine({4000, 0, 0});
    submit(engine, "a", {step(1)});
    submit(engine, "b", {step(1)}, beta);
    submit(engine, "none", {step(1)}, {});
    engine.setCapsConfirmed(false);
    CHECK(plan(engine, 10).size() == 2);
    engine.setCapsConfirmed(true);
    CHECK(jobNamesOf(plan(engine, 20)) == std::vector<std::string>{"a"});
}

// Guards against a task that became too large for a lowered cap and holds back the rest of its account for ever.
TEST_CASE("A task that exceeds a lowered cap by itself holds back no other task", "[accounts][caps]")
{
    auto engine = cappedEngine({1000, 0, 0});
    submit(engine, "large", {step(1, 2000, 100)});
    submit(engine, "small", {step(1, 1000, 900)});
    CHECK(jobNamesOf(plan(engine, 10)) == std::vector<std::string>{"small"});
}

// Guards against a flood of log lines, and against an account that is shown at its cap after its load has gone.
TEST_CASE("Reaching a cap and leaving it is logged once per change", "[accounts][caps]")
{
    std::vector<std::string> events;
    jobs::job_engine engine{[&](const jobs::decision &decision) {
        if (decision.event.starts_with("account_")) {
            events.push_back(std::string{decision.event} + " " + decision.subject + " " + std::string{decision.reason});
        }
    }};
    const std::vector<jobs::worker_entry> workers{worker("a")};
    engine.updateWorkers(workers, at(0));
    engine.onReport(workerA, report(), at(0), at(0));
    setCap(engine, {2000, 0, 0});
    submit(engine, "j", {step(2)});
    const auto first = planAndStart(engine, 10);
    REQUIRE(first.size() == 2);
    CHECK(events.empty());
    submit(engine, "k", {step(1)});
    for (std::int64_t time = 20; time < 100; time += 10) {
        CHECK(planAndStart(engine, time).empty());
    }
    CHECK(events == std::vector<std::string>{"account_at_cap alpha cpu"});
    CHECK(engine.atCapSince(alpha) == at(20));
    reporter workerReport;
    workerReport.add(first);
    workerReport.end(engine, {first[0]}, 100);
    const auto second = planAndStart(engine, 110);
    REQUIRE(second.size() == 1);
    workerReport.add(second);
    CHECK(events.size() == 1);
    workerReport.end(engine, second, 120);
    CHECK(planAndStart(engine, 130).empty());
    CHECK(planAndStart(engine, 140).empty());
    CHECK(events == std::vector<std::string>{"account_at_cap alpha cpu", "account_below_cap alpha cpu"});
    CHECK_FALSE(engine.atCapSince(alpha));
}
