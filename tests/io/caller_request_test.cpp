#include "host_fixture.h"

#include <poplarpass/host/caller_request.h>

#include <catch2/catch.hpp>

using namespace tests;

// Guards against an overflow: a caller that sends a very large time would get no time at all.
TEST_CASE("A caller's time limit shortens that of its route and never exceeds it", "[host]")
{
    poplarpass::route::route_config config;
    config.version = 1;
    config.routes.push_back({"jobs.example", "/q/", std::chrono::milliseconds{2000}, {}});
    poplarpass::route::route_table routes;
    REQUIRE(routes.update(config));
    const auto timeFor = [&](const std::string &limit) {
        poplarpass::net::http_request call;
        call.target = "/q/00000000000000aa";
        call.headers = {{"Host", "jobs.example"}, {"Poplarpass-Deadline-Ms", limit}};
        const auto read = host::parseCallerRequest(call, routes);
        REQUIRE(read);
        return read->time;
    };
    CHECK(timeFor("700") == std::chrono::milliseconds{700});
    CHECK(timeFor("2001") == std::chrono::milliseconds{2000});
    CHECK(timeFor("9223372036854775807") == std::chrono::milliseconds{2000});
    CHECK(timeFor("18446744073709551615") == std::chrono::milliseconds{2000});
    CHECK(timeFor("soon") == std::chrono::milliseconds{2000});
}
