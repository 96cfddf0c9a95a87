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

// Guards against a change of the order of the checks: the size of a body that was not read is checked last.
TEST_CASE("A body above the limit is refused with 413 only where nothing else refuses the request", "[host]")
{
    poplarpass::route::route_config config;
    config.version = 1;
    config.routes.push_back({"jobs.example", "/q/", std::chrono::milliseconds{2000}, {}});
    poplarpass::route::route_table routes;
    REQUIRE(routes.update(config));
    const auto statusFor = [&](const std::string &method, const std::string &target) {
        poplarpass::net::http_request call;
        call.method = method;
        call.target = target;
        call.headers = {{"Host", "jobs.example"}};
        call.isBodyTooLarge = true;
        const auto read = host::parseCallerRequest(call, routes);
        REQUIRE_FALSE(read);
        return read.error().response.status;
    };
    CHECK(statusFor("POST", "/none/00000000000000aa") == 404);
    CHECK(statusFor("PUT", "/q/00000000000000aa") == 405);
    CHECK(statusFor("POST", "/q/zz") == 400);
    CHECK(statusFor("POST", "/q/00000000000000aa") == 413);
}
