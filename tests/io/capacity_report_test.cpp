#include <poplarpass/app/capacity_report.h>

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

namespace
{
namespace app = poplarpass::app;

auto loadLine(const std::string &second, const std::string &pool, const std::string &fields) -> std::string
{
    return "time=2026-10-21T11:09:" + second + "Z level=info process=a event=pool_load pool=" + pool + " " + fields
        + "\n";
}

const std::string busy = "hosts=10 hosts_wanted=8 hosts_spread=2 draining=1 arriving=2 maintenance=0 idle=3 standby=0 "
                         "host_cpu=16000 cpu=112000 cpu_placed=64000 cpu_waiting=32000 cpu_offered=0";
const std::string poweredOff = "hosts=5 hosts_wanted=0 hosts_spread=0 draining=0 arriving=0 maintenance=0 idle=5 "
                               "standby=1 host_cpu=16000 cpu=0 cpu_placed=0 cpu_waiting=0 cpu_offered=0";
} // namespace

TEST_CASE("The capacity report sums the host-seconds of each pool, without pools on standby in the total", "[app]")
{
    std::istringstream logs{loadLine("53.000", "p", busy) + loadLine("53.001", "s", poweredOff) + "not a line of ours\n"
                            + loadLine("54.000", "p", busy) + loadLine("54.000", "s", poweredOff)};
    const auto moments = app::readCapacityMoments(logs);
    REQUIRE(moments);
    REQUIRE(moments->size() == 2);
    const auto &sample = moments->front().pools.at("p");
    CHECK(sample.atWork == Approx(4));
    CHECK(sample.waiting == Approx(2));
    CHECK(app::leastHosts(sample) == Approx(4));
    CHECK(app::leastHosts(moments->front().pools.at("s")) == 0);
    std::ostringstream out;
    app::printCapacityReport(*moments, out);
    CHECK(out.str().find("all powered           10.0       8.0       2.0       1.0       2.0       0.0       3.0")
          != std::string::npos);
    CHECK(out.str().find("held 10.0 waiting 2.0") != std::string::npos);
}

TEST_CASE("Hosts that spread tasks need count as needed, even without work", "[app]")
{
    app::pool_sample sample;
    sample.atWork = 1.5;
    sample.spread = 6;
    CHECK(app::leastHosts(sample) == 6);
}

TEST_CASE("A gap in the log is not counted as if the last state had lasted", "[app]")
{
    std::istringstream logs{loadLine("10.000", "p", busy) + loadLine("40.000", "p", busy)};
    std::ostringstream out;
    app::printCapacityReport(*app::readCapacityMoments(logs), out);
    CHECK(out.str().find("all powered           20.0") != std::string::npos);
}

TEST_CASE("A cut or bad pool_load line is reported with its number", "[app]")
{
    std::istringstream cut{"some line\n" + loadLine("53.000", "p", "hosts=10 hosts_wanted=8 hosts_spr")};
    const auto moments = app::readCapacityMoments(cut);
    REQUIRE_FALSE(moments);
    CHECK(moments.error().line == 2);
    CHECK(moments.error().detail == "pool_load without a number in hosts_spread");
    std::istringstream untimed{" event=pool_load pool=p " + busy};
    CHECK(app::readCapacityMoments(untimed).error().detail == "pool_load without a readable time");
}
