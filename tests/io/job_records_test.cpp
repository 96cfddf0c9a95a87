#include "host_fixture.h"
#include "test_seed.h"

#include <poplarpass/host/job_records.h>
#include <poplarpass/jobs/progress_text.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace tests;
namespace codec = poplarpass::codec;

namespace
{
const jobs::job_id largeJob{"00000000000000aa"};

auto makeJob(std::uint32_t tasks, std::uint32_t repeatCount = 0) -> jobs::multistep_job_record
{
    jobs::multistep_job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].taskCount = tasks;
    spec.repeatCount = repeatCount;
    spec.firstDue = core::fromUnixMilliseconds(1'800'000'000'000);
    spec.interval = std::chrono::seconds{1};
    auto job = jobs::makeJob(largeJob, {}, std::move(spec), core::fromUnixMilliseconds(77));
    job.started = true;
    return job;
}

auto run(jobs::task_record &task, jobs::task_phase phase) -> void
{
    task.phase = phase;
    task.run = 1;
    task.worker = jobs::worker_id{"worker-1"};
    task.workerIncarnation = 1'800'000'000'000;
    task.checkpoint = "00000bb87a21d94b";
}

/// \brief Records of jobs in a store that applies groups one by one.
struct stored_records
{
    std::map<std::string, std::string> values; ///< By key.
    poplarpass::observe::logger log{discardingLoggerOptions()};

    auto apply(const host::record_group &group) -> void
    {
        for (const auto &record : group) {
            CHECK(1 + record.key.size() + record.value.size() <= store::size_limits{}.recordBytes);
            if (record.value.empty()) {
                values.erase(record.key);
            } else {
                values[record.key] = record.value;
            }
        }
    }

    auto apply(const std::vector<host::record_group> &groups) -> void
    {
        for (const auto &group : groups) {
            apply(group);
        }
    }

    auto restore() -> host::restored_jobs
    {
        store::newest_result newest;
        newest.complete = true;
        for (const auto &[key, value] : values) {
            newest.records.push_back({0, key, value});
        }
        return host::restoreJobs(newest, log);
    }
};

auto phasesOf(const jobs::multistep_job_record &job) -> std::vector<jobs::task_phase>
{
    std::vector<jobs::task_phase> phases;
    std::ranges::transform(job.tasks, std::back_inserter(phases), &jobs::task_record::phase);
    return phases;
}

auto makeWriter() -> host::job_records
{
    return {store::size_limits{}, [](const auto &, auto) {
            }};
}
} // namespace

// Guards against an append that the store rejects for ever, which stopped all jobs (review case 1).
TEST_CASE("Progress larger than a record is stored in parts and restored", "[host]")
{
    const auto tasks = GENERATE(15'000U, 100'000U);
    auto job = makeJob(tasks);
    auto writer = makeWriter();
    stored_records stored;
    stored.apply(writer.update(job));
    CHECK(stored.values.size() == 2);
    std::mt19937 random{baseSeed()};
    for (auto &task : job.tasks) {
        run(task, random() % 2 == 0 ? jobs::task_phase::running : jobs::task_phase::done);
    }
    job.tasks[7].failedRuns = {1, 2};
    job.tasks[9].crashes = {1, 2, 3, 4};
    job.tasks[9].phase = jobs::task_phase::running;
    stored.apply(writer.update(job));
    CHECK(stored.values.size() > 2);

    const auto restored = stored.restore();
    REQUIRE(restored.jobs.size() == 1);
    CHECK(restored.unusedKeys.empty());
    const auto &read = restored.jobs[0].job;
    CHECK(read.spec == job.spec);
    CHECK(read.started);
    CHECK(phasesOf(read) == phasesOf(job));
    CHECK(read.tasks[7].failedRuns == job.tasks[7].failedRuns);
    CHECK(read.tasks[9].crashes == job.tasks[9].crashes);
    CHECK(read.tasks[9].checkpoint == job.tasks[9].checkpoint);

    auto laterWriter = makeWriter();
    laterWriter.markStored(restored.jobs[0]);
    stored.apply(laterWriter.update(read));
    CHECK(phasesOf(stored.restore().jobs.at(0).job) == phasesOf(job));
}

TEST_CASE("Only the changed parts of progress are stored again", "[host]")
{
    auto job = makeJob(15'000);
    auto writer = makeWriter();
    for (auto &task : job.tasks) {
        run(task, jobs::task_phase::running);
    }
    writer.update(job);
    job.tasks[300].phase = jobs::task_phase::done;
    std::size_t records = 0;
    for (const auto &group : writer.update(job)) {
        records += group.size();
    }
    CHECK(records == 1);
}

// Guards against a task that runs twice because its part was lost between two appends.
TEST_CASE("An owner that ends between two appends leaves a state that a later one restores", "[host]")
{
    auto job = makeJob(15'000);
    for (std::size_t position = 0; position < 5'000; ++position) {
        run(job.tasks[position], jobs::task_phase::done);
    }
    auto writer = makeWriter();
    stored_records before;
    before.apply(writer.update(job));
    const auto phasesBefore = phasesOf(job);
    for (std::size_t position = 5'000; position < job.tasks.size(); ++position) {
        run(job.tasks[position], jobs::task_phase::running);
    }
    const auto groups = writer.update(job);
    REQUIRE(groups.size() > 2);
    for (std::size_t applied = 0; applied <= groups.size(); ++applied) {
        stored_records stored;
        stored.values = before.values;
        for (std::size_t group = 0; group < applied; ++group) {
            stored.apply(groups[group]);
        }
        const auto restored = stored.restore();
        REQUIRE(restored.jobs.size() == 1);
        const auto phases = phasesOf(restored.jobs[0].job);
        const bool isEitherState = phases == phasesBefore || phases == phasesOf(job);
        CHECK(isEitherState);
    }
}

TEST_CASE("Progress that has become small is stored in one record again, and the parts of an ended job are removed",
          "[host]")
{
    auto job = makeJob(6'000);
    auto writer = makeWriter();
    stored_records stored;
    for (auto &task : job.tasks) {
        run(task, jobs::task_phase::running);
    }
    stored.apply(writer.update(job));
    REQUIRE(stored.values.size() > 2);
    SECTION("becomes small")
    {
        for (auto &task : job.tasks) {
            run(task, jobs::task_phase::done);
        }
        job.tasks[0].phase = jobs::task_phase::running;
        stored.apply(writer.update(job));
        CHECK(stored.values.size() == 2);
        CHECK(phasesOf(stored.restore().jobs.at(0).job) == phasesOf(job));
    }
    SECTION("ends")
    {
        std::ranges::fill(job.tasks, jobs::task_record{});
        job.phase = jobs::multistep_job_phase::cancelled;
        stored.apply(writer.update(job));
        CHECK(stored.values.size() == 1);
        CHECK(stored.restore().jobs.at(0).job.phase == jobs::multistep_job_phase::cancelled);
    }
}

// The earlier build reads all fields of the specification but "schedule", and the progress record, but no parts.
TEST_CASE("A build that does not know parts keeps the job but starts none of its tasks", "[host]")
{
    const auto repeatCount = GENERATE(0U, 3U);
    auto job = makeJob(10'000, repeatCount);
    for (auto &task : job.tasks) {
        run(task, jobs::task_phase::running);
    }
    auto writer = makeWriter();
    stored_records stored;
    stored.apply(writer.update(job));

    auto fields = nlohmann::json::from_cbor(stored.values.at("j" + largeJob.str()));
    REQUIRE(fields.erase("schedule") == 1);
    const auto bytes = nlohmann::json::to_cbor(fields);
    auto seen = codec::decodeJob(largeJob, {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
    REQUIRE(seen);
    auto &earlier = seen->job;
    CHECK(earlier.tasks.size() == job.tasks.size());
    REQUIRE(jobs::applyProgress(earlier, stored.values.at("p" + largeJob.str())));
    CHECK(earlier.phase == jobs::multistep_job_phase::active);
    CHECK(earlier.started);
    bool starts = false;
    earlier.forEachStartableStep(core::fromUnixMilliseconds(4'000'000'000'000), [&](auto, auto) {
        starts = true;
        return true;
    });
    CHECK_FALSE(starts);

    // It may learn of ends from workers and store them.
    earlier.tasks[5] = {};
    earlier.tasks[5].phase = jobs::task_phase::done;
    earlier.tasks[6] = {};
    earlier.tasks[6].failedRuns = {1};
    stored.values.at("p" + largeJob.str()) = jobs::encodeProgress(earlier);
    const auto restored = stored.restore();
    REQUIRE(restored.jobs.size() == 1);
    const auto &read = restored.jobs[0].job;
    CHECK(read.spec == job.spec);
    CHECK(read.tasks[4].phase == jobs::task_phase::running);
    CHECK(read.tasks[5].phase == jobs::task_phase::done);
    CHECK(read.tasks[6].phase == jobs::task_phase::running);
    CHECK(read.tasks[6].failedRuns == std::vector<std::uint32_t>{1});
}

TEST_CASE("Parts of a job that an earlier build ended are reported for removal", "[host]")
{
    auto job = makeJob(10'000);
    for (auto &task : job.tasks) {
        run(task, jobs::task_phase::running);
    }
    auto writer = makeWriter();
    stored_records stored;
    stored.apply(writer.update(job));
    const auto parts = stored.values.size() - 2;
    stored.values.erase("j" + largeJob.str());
    stored.values["p" + largeJob.str()] = "e3";
    const auto restored = stored.restore();
    CHECK(restored.unusedKeys.size() == parts);
    CHECK(restored.jobs.at(0).job.phase == jobs::multistep_job_phase::cancelled);
}

// The first two characters are what an earlier build reads: the job has ended, so it runs no late submission either.
TEST_CASE("A job that was cancelled before its submission is stored and restored as such", "[host]")
{
    const jobs::account_id account{GENERATE("", "acme")};
    const auto job = jobs::makeUnsubmittedJob(largeJob, account);
    auto writer = makeWriter();
    stored_records stored;
    stored.apply(writer.update(job));
    REQUIRE(stored.values.size() == 1);
    CHECK(stored.values.begin()->second.starts_with("e3 "));
    const auto restored = stored.restore();
    REQUIRE(restored.jobs.size() == 1);
    CHECK_FALSE(restored.jobs[0].job.submitted);
    CHECK(restored.jobs[0].job.account == account);
    CHECK(restored.jobs[0].job.phase == jobs::multistep_job_phase::cancelled);
}
