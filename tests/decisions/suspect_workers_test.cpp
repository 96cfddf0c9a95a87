#include "jobs_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id crashingJob{"00000000000000aa"};
const jobs::job_id otherJob{"00000000000000bb"};

auto planAt(jobs::job_engine &engine, std::int64_t now) -> std::vector<jobs::start_order>
{
    engine.plan(at(now), wallAt(now));
    auto starts = engine.drainOrders().starts;
    for (const auto &order : starts) {
        engine.workers().extendLease(*engine.workers().find(order.worker), at(now));
        engine.onStartAnswer(order, jobs::run_start_answer::started, at(now));
    }
    return starts;
}

/// \brief Ends \p id right after it acknowledged a start at \p now.
auto crash(jobs::job_engine &engine, const jobs::worker_id &id, std::int64_t now) -> void
{
    engine.onNoReport(id, at(now + 50));
    engine.onOtherInstance(id, at(now + 3000));
}

auto reportAll(jobs::job_engine &engine, const std::vector<std::string> &workers, std::int64_t now) -> void
{
    for (const auto &id : workers) {
        if (const auto *slot = engine.workers().find(jobs::worker_id{id}); slot != nullptr && slot->listed) {
            auto listed = report();
            for (const auto &task : slot->placed) {
                listed.running.push_back({jobs::nameOf(task), engine.find(task.job)->tasks[task.index].run, {}, 10, 0});
            }
            engine.onReport(slot->entry.id, listed, at(now), at(now));
        }
    }
}
} // namespace

TEST_CASE("Tasks suspected of a crash are cleared once the task that caused it is known", "[jobs][crashes]")
{
    const std::vector<std::string> ids{"a", "b", "c"};
    auto engine = engineWith({worker("a"), worker("b"), worker("c")});
    engine.submit(crashingJob, queue(), jobOf({step(1)}), wallAt(0));
    engine.submit(otherJob, queue(), jobOf({step(1)}), wallAt(0));
    const auto first = planAt(engine, 10);
    REQUIRE(first.size() == 2);
    REQUIRE(first[0].worker == first[1].worker);
    crash(engine, first[0].worker, 10);
    CHECK(engine.find(otherJob)->tasks[0].crashes.atStart == 1);

    reportAll(engine, ids, 3020);
    const auto second = planAt(engine, 3030);
    const auto found = std::ranges::find(second, crashingJob, [](const auto &order) { return order.task.job; });
    REQUIRE(found != second.end());
    crash(engine, found->worker, 3030);
    CHECK(engine.find(crashingJob)->phase == jobs::multistep_job_phase::failed);
    CHECK(engine.find(otherJob)->phase == jobs::multistep_job_phase::active);
    CHECK(engine.find(otherJob)->tasks[0].crashes.atStart == 0);
}

TEST_CASE("Suspected tasks of two jobs do not start on one worker at once", "[jobs][crashes]")
{
    const std::vector<std::string> ids{"a", "b", "c"};
    auto engine = engineWith({worker("a"), worker("b"), worker("c")});
    engine.submit(crashingJob, queue(), jobOf({step(1)}), wallAt(0));
    engine.submit(otherJob, queue(), jobOf({step(1)}), wallAt(0));
    crash(engine, planAt(engine, 10).at(0).worker, 10);
    reportAll(engine, ids, 3020);
    const auto now = planAt(engine, 3030);
    REQUIRE(now.size() == 1);

    engine.submit(jobs::job_id{"00000000000000cc"}, queue(), jobOf({step(1)}), wallAt(3040));
    const auto unrelated = planAt(engine, 3040);
    REQUIRE(unrelated.size() == 1);
    CHECK(unrelated[0].worker != now[0].worker);
    reportAll(engine, ids, 3500);
    CHECK(planAt(engine, 3510).size() == 1);
}

TEST_CASE("A worker in use is reserved until a suspected task has started there", "[jobs][crashes]")
{
    auto engine = engineWith({worker("a"), worker("b")});
    engine.submit(crashingJob, queue(), jobOf({step(1)}), wallAt(0));
    const auto crashed = planAt(engine, 10).at(0).worker;
    const std::vector<std::string> remaining{crashed.str() == "a" ? "b" : "a"};
    engine.onNoReport(crashed, at(60));
    reportAll(engine, remaining, 2990);
    engine.submit(otherJob, queue(), jobOf({step(1)}), wallAt(3000));
    REQUIRE(planAt(engine, 3000).size() == 1);
    engine.onOtherInstance(crashed, at(3010));

    engine.submit(jobs::job_id{"00000000000000cc"}, queue(), jobOf({step(8)}), wallAt(3020));
    reportAll(engine, remaining, 3020);
    CHECK(planAt(engine, 3020).empty());
    reportAll(engine, remaining, 3360);
    const auto observed = planAt(engine, 3370);
    REQUIRE(observed.size() == 1);
    CHECK(observed[0].task.job == crashingJob);
    reportAll(engine, remaining, 3600);
    CHECK(planAt(engine, 3600).empty());
    reportAll(engine, remaining, 3730);
    CHECK(planAt(engine, 3730).size() == 8);
}
