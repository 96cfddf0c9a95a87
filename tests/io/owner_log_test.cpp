#include "owner_fixture.h"

using namespace tests;

namespace
{
auto holds(const std::string &line, std::string_view text) -> bool
{
    return line.find(text) != std::string::npos;
}
} // namespace

// Guards against a change of owner of which the log does not tell how long its predecessor's runs hold back starts.
TEST_CASE("A new owner logs how many runs it found placed and how long their leases may last", "[host][log]")
{
    owner_fixture fixture;
    fixture.beginServing(1);
    CHECK(holds(fixture.lastLineOf("jobs_restored"), " placed=0 leases_ms=0"));
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] { return fixture.starts.size() == 1; }));

    fixture.owner.reset();
    fixture.begin(2);
    REQUIRE(fixture.time.runUntil([&] { return fixture.owner->isServing(); }));
    const auto line = fixture.lastLineOf("jobs_restored");
    CAPTURE(line);
    CHECK(holds(line, "epoch=2 jobs=1 "));
    CHECK(holds(line, " placed=1 leases_ms=22310"));
}

// Guards against a job that is shown as failed without a line that names the task and its failed runs.
TEST_CASE("The log tells for which task a job failed and how often the task's runs failed", "[host][log]")
{
    owner_fixture fixture;
    fixture.beginServing(1);
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] { return !fixture.starts.empty() && !fixture.renewalAnswers.empty(); }));
    fixture.report.ended = {{1, jobs::nameOf(fixture.starts[0].task), 1, jobs::end_kind::failed, {}}};
    fixture.renewalAnswers.back()({host::renewal_outcome::reported, fixture.report});
    REQUIRE(fixture.time.runUntil([&] { return !fixture.lastLineOf("job_ended").empty(); }));
    const auto line = fixture.lastLineOf("job_ended");
    CAPTURE(line);
    CHECK(holds(line, " reason=failed task=00000000000000aa.0.0.0 failed_runs=1 max_failed_runs=1 "));
}

// Guards against a long-running task that waits for its worker's lease, or for room, without a line or a metric.
TEST_CASE("The log and the metrics tell that a long-running task has had no run for long, and why", "[host][log]")
{
    owner_fixture fixture;
    auto spec = owner_fixture::specOf(1);
    spec.steps[0].longRunning = true;
    spec.steps[0].perTask.cpu = 2 * fixture.workerCpu;
    fixture.specs.emplace("lasting", spec);
    fixture.beginServing(1);
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, "lasting"), status);
    REQUIRE(fixture.time.runUntil([&] {
        fixture.renewTerm();
        if (!fixture.renewalAnswers.empty()) {
            auto answer = std::move(fixture.renewalAnswers.back());
            fixture.renewalAnswers.clear();
            answer({host::renewal_outcome::reported, fixture.report});
        }
        return !fixture.lastLineOf("task_without_run").empty();
    }));
    const auto line = fixture.lastLineOf("task_without_run");
    CAPTURE(line);
    CHECK(holds(line, "level=warning "));
    CHECK(holds(line, " id=00000000000000aa.0.0.0 reason=no_room waited_ms=3"));
    fixture.owner->updateMetrics();
    CHECK(fixture.metrics.gaugeOf("poplarpass_tasks_without_run", "").value() == 1);
    CHECK(fixture.metrics.gaugeOf("poplarpass_longest_wait_ms", "").value() >= 3000);
}

// Guards against a lost run of which the log does not tell whether its start may still have been carried out.
TEST_CASE("The log tells of a lost run whether its start was answered and when its worker was last sent an order",
          "[host][log]")
{
    owner_fixture fixture;
    fixture.beginServing(1);
    int status = 0;
    fixture.send(owner_fixture::request(host::client_verb::submit, jobName, jobText), status);
    REQUIRE(fixture.time.runUntil([&] {
        fixture.renewTerm();
        for (const auto &answer : std::exchange(fixture.renewalAnswers, {})) {
            answer({});
        }
        return !fixture.lastLineOf("run_lost").empty();
    }));
    const auto line = fixture.lastLineOf("run_lost");
    CAPTURE(line);
    CHECK(holds(line, " reason=lease_lapsed ran_ms=0 open_start=false ordered_ms=5"));
}
