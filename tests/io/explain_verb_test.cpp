#include <poplarpass/app/explain_verb.h>

#include <catch2/catch.hpp>

#include <sstream>

TEST_CASE("The log lines of a job are printed in order of time across hosts, with gaps marked", "[app]")
{
    std::istringstream logs{
        "time=2026-10-21T11:09:54.000Z level=info process=b event=task_placed id=aa.0.0.1 worker=w run=1 reason=room\n"
        "time=2026-10-21T11:09:53.000Z level=info process=a event=job_accepted id=aa worker=\"\" run=0 reason=q\n"
        "time=2026-10-21T11:09:53.500Z level=info process=b event=owner_elected epoch=9\n"
        "time=2026-10-21T11:09:53.600Z level=info process=a event=job_accepted id=aab worker=\"\" run=0 reason=q\n"
        "not a line of ours\n"
        "time=2026-10-21T11:09:59.000Z level=info process=b event=worker_lost worker=w placed=1\n"
        "time=2026-10-21T11:09:56.000Z level=info process=b event=job_ended id=aa worker=\"\" run=0 "
        "reason=completed\n"};
    std::ostringstream out;
    CHECK(poplarpass::app::explainJob("aa", logs, out) == 3);
    const auto text = out.str();
    CHECK(text.find("job_accepted") < text.find("beside: time=2026-10-21T11:09:53.500Z"));
    CHECK(text.find("owner_elected") < text.find("task_placed"));
    CHECK(text.find("... 2000 ms without a line of this job") != std::string::npos);
    CHECK(text.find("aab") == std::string::npos);
    CHECK(text.find("worker_lost") == std::string::npos);
}

TEST_CASE("Nothing is printed for a job without log lines", "[app]")
{
    std::istringstream logs{""};
    std::ostringstream out;
    CHECK(poplarpass::app::explainJob("aa", logs, out) == 0);
    CHECK(out.str().empty());
}

namespace
{
auto explained(const std::string &logs) -> std::string
{
    std::istringstream in{logs};
    std::ostringstream out;
    poplarpass::app::explainJob("aa", in, out);
    return out.str();
}

/// \brief Returns a log line of second \p second after 11:09.
auto lineAt(const std::string &second, const std::string &text) -> std::string
{
    return "time=2026-10-21T11:09:" + second + "Z level=info process=b " + text + " epoch=1 config=2\n";
}
} // namespace

TEST_CASE("A job that failed for its failed runs is not explained without the task and these runs", "[app]")
{
    const auto text = explained(
        lineAt("01.000", "event=run_ended id=aa.0.0.1 worker=w1 run=1 reason=failed")
        + lineAt("02.000", "event=run_ended id=aa.0.0.0 worker=w1 run=1 reason=failed")
        + lineAt("03.500", "event=run_ended id=aa.0.0.1 worker=w2 run=2 reason=failed")
        + lineAt("03.500", "event=job_ended id=aa reason=failed task=aa.0.0.1 failed_runs=2 max_failed_runs=2")
        + lineAt("09.000", "event=pool_load pool=p"));
    CHECK(text.find("summary: failed 5500 ms before the last line, for the failed runs of a task: aa.0.0.1, 2 failed "
                    "runs, the job fails at 2\n"
                    "  run 1 on w1: run_ended failed, 2500 ms before the job failed\n"
                    "  run 2 on w2: run_ended failed, 0 ms before the job failed\n")
          != std::string::npos);
}

TEST_CASE("A job that was given up is not explained without the crashes that were counted", "[app]")
{
    const auto text = explained(
        lineAt("01.000", "event=run_lost id=aa.0.0.0 worker=w1 run=1 reason=lease_lapsed")
        + lineAt("02.000",
                 "event=job_given_up id=aa reason=crashes_workers task=aa.0.0.0 failed_runs=0 max_failed_runs=2 "
                 "crashes_at_start=4 crashes_alone=4 crashes_certain=0 crashes_later=0")
        + lineAt("02.000", "event=job_ended id=aa reason=failed task=aa.0.0.0 failed_runs=0 max_failed_runs=2"));
    CHECK(text.find("because a task crashes its workers: aa.0.0.0, 0 failed runs, the job fails at 2 "
                    "crashes_at_start=4 crashes_alone=4 crashes_certain=0 crashes_later=0\n"
                    "  run 1 on w1: run_lost lease_lapsed, 1000 ms before the job failed\n")
          != std::string::npos);
}

TEST_CASE("A task without a run is not explained without what it waits for and the age of the evidence", "[app]")
{
    const auto lost = lineAt("01.000", "event=run_lost id=aa.0.0.3 worker=w1 run=1 reason=lease_lapsed");
    const auto waits = lineAt("04.000",
                              "event=task_without_run id=aa.0.0.3 worker=w1 run=1 reason=no_room waited_ms=3000 "
                              "ended=lease_lapsed");
    const auto other = lineAt("04.750", "event=pool_load pool=p");
    CHECK(explained(lost + waits + other)
              .find("summary: aa.0.0.3 has no run: it waits for no_room waited_ms=3000 worker=w1 run=1 "
                    "ended=lease_lapsed, as of 750 ms before the last line\n")
          != std::string::npos);
    CHECK(
        explained(lost + other)
            .find(
                "summary: aa.0.0.3: run 1 on w1 ended as lease_lapsed, and no later start is in these logs, which may "
                "lack it (dropped_before), as of 3750 ms before the last line\n")
        != std::string::npos);
    const auto placed = lineAt("04.500", "event=task_placed id=aa.0.0.3 worker=w2 run=2 reason=room");
    CHECK(explained(lost + waits + placed + other).find("summary") == std::string::npos);
}

TEST_CASE("A run whose worker answers again is not explained as waiting for its lease", "[app]")
{
    const auto waits = lineAt("04.000", "event=task_without_run id=aa.0.0.3 worker=w1 run=1 reason=lease lease_ms=900");
    CHECK(explained(waits).find("summary") != std::string::npos);
    CHECK(explained(waits + lineAt("05.000", "event=worker_regained worker=w1 running=1")).find("summary")
          == std::string::npos);
}
