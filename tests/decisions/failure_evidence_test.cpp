#include "jobs_fixture.h"

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
const jobs::job_id job{"00000000000000ff"};
const std::string crashingTask = job.str() + ".0.0.0";

/// \brief An engine that keeps its decisions.
struct observed_engine
{
    std::vector<jobs::decision> decisions;
    jobs::job_engine engine{[this](const jobs::decision &made) {
        decisions.push_back(made);
    }};

    auto addWorker(const std::string &id, std::int64_t now) -> void
    {
        const std::vector entries{worker(id)};
        engine.updateWorkers(entries, at(now));
        engine.onReport(entries[0].id, report(), at(now), at(now));
    }

    /// \brief Returns the evidence of the last decision \p event; nothing when there is none.
    auto evidenceOf(std::string_view event) -> std::optional<jobs::failure_evidence>
    {
        const auto found = std::find_if(decisions.rbegin(), decisions.rend(),
                                        [event](const auto &made) { return made.event == event; });
        return found == decisions.rend() ? std::nullopt : found->details.failure;
    }
};

/// \brief Starts the job's task on a new worker that ends at once, \p times in a row.
auto crashWorkers(observed_engine &world, int times) -> void
{
    for (int life = 0; life < times; ++life) {
        const auto id = "w" + std::to_string(life);
        const auto now = life * std::int64_t{100};
        world.addWorker(id, now);
        REQUIRE(startAll(world.engine, now).size() == 1);
        world.engine.onOtherInstance(jobs::worker_id{id}, at(now + 50));
    }
}
} // namespace

TEST_CASE("A job is not given up without evidence of the crashes under one task", "[jobs][crashes]")
{
    observed_engine world;
    world.engine.submit(job, queue(), jobOf({step(1)}), wallAt(0));
    crashWorkers(world, 2);
    REQUIRE(world.engine.find(job)->phase == jobs::multistep_job_phase::failed);
    for (const auto *event : {"job_given_up", "job_ended"}) {
        const auto evidence = world.evidenceOf(event);
        REQUIRE(evidence);
        CHECK(evidence->task == crashingTask);
        CHECK(evidence->failedRuns == 0);
        CHECK(evidence->maxFailedRuns == 3);
        CHECK(evidence->crashes == jobs::crash_record{2, 0, 2, 2});
    }
}

TEST_CASE("A job that fails for its failed runs is not shown without their number", "[jobs]")
{
    observed_engine world;
    world.engine.submit(job, queue(2), jobOf({step(1)}), wallAt(0));
    world.addWorker("w", 0);
    for (std::uint64_t run = 1; run <= 2; ++run) {
        const auto now = static_cast<std::int64_t>(run) * 1000;
        world.engine.onReport(jobs::worker_id{"w"}, report(), at(now), at(now));
        const auto starts = startAll(world.engine, now);
        REQUIRE(starts.size() == 1);
        auto answer = report();
        answer.ended = {endOf(run, starts[0], jobs::end_kind::failed)};
        world.engine.onReport(jobs::worker_id{"w"}, answer, at(now + 10), at(now + 10));
    }
    const auto evidence = world.evidenceOf("job_ended");
    REQUIRE(evidence);
    CHECK(evidence->task == crashingTask);
    CHECK(evidence->failedRuns == 2);
    CHECK(evidence->maxFailedRuns == 2);
    CHECK_FALSE(evidence->crashes);
}
