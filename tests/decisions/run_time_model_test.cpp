#include "jobs_fixture.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <vector>

using namespace tests::jobs_fixture;

namespace
{
using std::chrono::milliseconds;

const jobs::queue_id counter{"counter"};

/// \brief Runs around \p typicalMs whose declared run times are off by a factor, e to the power of \p declaredSpread.
auto learnRuns(jobs::run_time_model &model, int count, double typicalMs, double runSpread, double declaredSpread)
    -> void
{
    std::mt19937_64 random{7};
    std::normal_distribution<double> normal;
    for (int run = 0; run < count; ++run) {
        const auto actual = typicalMs * std::exp(runSpread * normal(random));
        const auto declared = actual * std::exp(declaredSpread * normal(random));
        model.learn(counter, milliseconds{std::llround(declared)}, milliseconds{std::llround(actual)});
    }
}
} // namespace

TEST_CASE("Without ended runs the declared run time is expected", "[run_time_model]")
{
    const jobs::run_time_model model;
    CHECK(model.expected(counter, milliseconds{730}) == milliseconds{730});
    CHECK(model.trendOf(counter).trust == 1);
}

TEST_CASE("Declared run times that are mostly right are kept", "[run_time_model]")
{
    jobs::run_time_model model;
    learnRuns(model, 2000, 1000, 0.5, 0.05);
    CHECK(model.expected(counter, milliseconds{500}).count() == Approx(500).epsilon(0.1));
    CHECK(model.expected(counter, milliseconds{2000}).count() == Approx(2000).epsilon(0.1));
}

TEST_CASE("Declared run times that say little are replaced by the usual run time", "[run_time_model]")
{
    jobs::run_time_model model;
    learnRuns(model, 2000, 600, 0.3, 1);
    CHECK(model.trendOf(counter).trust < 0.25);
    CHECK(model.expected(counter, milliseconds{100}).count() > 350);
    CHECK(model.expected(counter, milliseconds{3000}).count() < 1100);
}

TEST_CASE("Run times that are always twice the declared ones are expected so", "[run_time_model]")
{
    jobs::run_time_model model;
    for (int run = 0; run < 2000; ++run) {
        const milliseconds declared{200 + run % 800};
        model.learn(counter, declared, declared * 2);
    }
    CHECK(model.expected(counter, milliseconds{500}).count() == Approx(1000).epsilon(0.1));
}

TEST_CASE("A few ended runs change little, and other queues keep their declared run times", "[run_time_model]")
{
    jobs::run_time_model model;
    learnRuns(model, 5, 5000, 0.1, 0);
    model.learn(counter, milliseconds{100}, milliseconds{10'000});
    const auto expected = model.expected(counter, milliseconds{100});
    CHECK(expected < milliseconds{150});
    CHECK(model.expected(jobs::queue_id{"other"}, milliseconds{100}) == milliseconds{100});
}

TEST_CASE("When the work changes, its new run times are learnt", "[run_time_model]")
{
    jobs::run_time_model model;
    learnRuns(model, 5000, 300, 0.2, 1);
    learnRuns(model, 6000, 2400, 0.2, 1);
    const auto expected = model.expected(counter, milliseconds{2400});
    CHECK(expected.count() > 1800);
    CHECK(expected.count() < 3200);
}

TEST_CASE("The engine expects run times as its workers report them, in place of the declared ones", "[run_time_model]")
{
    auto engine = engineWith({worker("a")});
    const auto spec = step(1, 1000, 100);
    for (int number = 0; number < 400; ++number) {
        const auto begin = number * 1000;
        const jobs::job_id id{"job" + std::to_string(number)};
        engine.submit(id, queue(), jobOf({spec}), wallAt(begin));
        engine.plan(at(begin), wallAt(begin));
        for (const auto &order : engine.drainOrders().starts) {
            engine.onStartAnswer(order, jobs::run_start_answer::started, at(begin));
        }
        auto ended = report();
        ended.ended.push_back({static_cast<std::uint64_t>(number + 1),
                               jobs::nameOf(jobs::task_ref{id, 0, 0, 0}),
                               1,
                               jobs::end_kind::done,
                               {}});
        engine.onReport(jobs::worker_id{"a"}, ended, at(begin + 400), at(begin + 400));
    }
    CHECK(engine.counters().jobsCompleted == 400);
    CHECK(engine.expectedRunTime(queue().name, spec).count() == Approx(400).epsilon(0.3));
}

TEST_CASE("Only first runs of this owner are learnt from", "[run_time_model]")
{
    const auto endRun = [](jobs::job_engine &engine, const jobs::job_id &id, std::uint64_t number, std::uint32_t run,
                           jobs::end_kind how, std::int64_t time) {
        auto ended = report();
        ended.ended.push_back({number, jobs::nameOf(jobs::task_ref{id, 0, 0, 0}), run, how, {}});
        engine.onReport(jobs::worker_id{"a"}, ended, at(time), at(time));
    };
    const auto acknowledgeStarts = [](jobs::job_engine &engine, std::int64_t time) {
        engine.plan(at(time), wallAt(time));
        for (const auto &order : engine.drainOrders().starts) {
            engine.onStartAnswer(order, jobs::run_start_answer::started, at(time));
        }
    };
    const jobs::job_id id{"job"};

    SECTION("a run that a former owner placed")
    {
        auto former = engineWith({worker("a")});
        former.submit(id, queue(), jobOf({step(1, 1000, 500)}), wallAt(0));
        acknowledgeStarts(former, 0);
        auto engine = jobs::job_engine{nullptr};
        engine.restore(*former.find(id), at(100), at(100));
        engine.updateWorkers(std::vector{worker("a")}, at(100));
        endRun(engine, id, 1, 1, jobs::end_kind::done, 600);
        CHECK(engine.counters().runsDone == 1);
        CHECK(engine.runTimes().trends().empty());
    }
    SECTION("a second run, which may have resumed from a checkpoint")
    {
        auto engine = engineWith({worker("a")});
        engine.submit(id, queue(), jobOf({step(1, 1000, 500)}), wallAt(0));
        acknowledgeStarts(engine, 0);
        endRun(engine, id, 1, 1, jobs::end_kind::stopped, 200);
        acknowledgeStarts(engine, 300);
        endRun(engine, id, 2, 2, jobs::end_kind::done, 600);
        CHECK(engine.counters().jobsCompleted == 1);
        CHECK(engine.runTimes().trends().empty());
    }
    SECTION("a first run")
    {
        auto engine = engineWith({worker("a")});
        engine.submit(id, queue(), jobOf({step(1, 1000, 500)}), wallAt(0));
        acknowledgeStarts(engine, 0);
        endRun(engine, id, 1, 1, jobs::end_kind::done, 600);
        CHECK(engine.runTimes().trends().size() == 1);
    }
}
