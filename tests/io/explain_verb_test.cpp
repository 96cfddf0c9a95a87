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
