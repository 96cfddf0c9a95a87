#include "account_usage_check.h"
#include "jobs_fixture.h"

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
const jobs::account_id account{"alpha"};
const core::pool_id poolId{"pool"};

auto usageIn(const jobs::job_engine &engine) -> jobs::resources
{
    return engine.accountUsage().usageOf(account);
}
} // namespace

TEST_CASE("Usage is counted per account and per pool, and ends with the runs", "[accounts][usage]")
{
    jobs::account_usage usage;
    usage.add(account, poolId, {1000, 100, 1});
    usage.add(account, core::pool_id{"other"}, {500, 50, 0});
    usage.add({}, poolId, {7, 7, 7});
    CHECK(usage.usageOf(account) == jobs::resources{1500, 150, 1});
    CHECK(usage.usageOf(account, poolId) == jobs::resources{1000, 100, 1});
    CHECK(usage.usageOf(jobs::account_id{"unknown"}) == jobs::resources{});
    usage.remove(account, poolId, {1000, 100, 1});
    CHECK(usage.usageOf(account) == jobs::resources{500, 50, 0});
    CHECK(usage.usageOf(account, poolId) == jobs::resources{});
    CHECK(usage.usageOf({}) == jobs::resources{7, 7, 7});
}

// Guards against best-effort work that evades a cap because workers reserve no processor time for it.
TEST_CASE("Best-effort tasks count with their full resources", "[accounts][usage]")
{
    auto engine = engineWith({worker("a")});
    auto bestEffort = step(2);
    bestEffort.bestEffort = true;
    engine.submit(jobs::job_id{"b"}, queue(), jobOf({bestEffort}), wallAt(0), account);
    engine.plan(at(10), wallAt(10));
    CHECK(usageIn(engine) == jobs::resources{2000, 200, 0});
    CHECK(engine.workers().find(jobs::worker_id{"a"})->used.cpu == 0);
    CHECK(tests::account_usage_check::differenceIn(engine).empty());
}

// Guards against usage left behind by members of a gang that were placed tentatively.
TEST_CASE("A gang that finds no room leaves no usage", "[accounts][usage]")
{
    auto engine = engineWith({worker("a")});
    auto gang = step(3, hostCpu / 2);
    gang.gang = true;
    engine.submit(jobs::job_id{"g"}, queue(), jobOf({gang}), wallAt(0), account);
    engine.plan(at(10), wallAt(10));
    CHECK(engine.drainOrders().starts.empty());
    CHECK(usageIn(engine) == jobs::resources{});
    CHECK(tests::account_usage_check::differenceIn(engine).empty());
}

// Guards against a takeover that forgets runs of the former owner, and against runs that count for ever after their
// worker is gone.
TEST_CASE("Restored runs count until the lease of their worker has ended", "[accounts][usage]")
{
    auto record = jobs::makeJob(jobs::job_id{"r"}, queue(), jobOf({step(2)}), wallAt(0));
    record.account = account;
    for (auto &task : record.tasks) {
        task.phase = jobs::task_phase::running;
        task.run = 1;
        task.worker = jobs::worker_id{"gone"};
    }
    record.waiting = 0;
    jobs::job_engine engine{nullptr};
    engine.restore(std::move(record), at(0), at(1000));
    CHECK(usageIn(engine) == jobs::resources{2000, 200, 0});
    // The worker may have restarted and granted its longest lease, 10.2 s, to an order that arrived 12 s late.
    engine.plan(at(23'200), wallAt(23'200));
    CHECK(usageIn(engine) == jobs::resources{2000, 200, 0});
    engine.plan(at(23'400), wallAt(23'400));
    CHECK(usageIn(engine) == jobs::resources{});
    CHECK(tests::account_usage_check::differenceIn(engine).empty());
}
