#include "host_fixture.h"

#include <poplarpass/host/constants.h>
#include <poplarpass/host/request_forwarder.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests;

namespace
{
/// \brief A forwarder on a host that does not own the pools; the test answers for the owner.
struct forwarder_fixture
{
    fakes::stepped_time time;
    core::time_source clock = time.source();
    std::vector<std::string> lines;
    poplarpass::observe::logger log{keptOptions()};
    poplarpass::route::route_table routes;
    host::peer_calls peers;
    std::vector<std::function<void(host::peer_answer)>> handed;
    std::optional<std::string> owner = "10.0.0.1:1";
    std::unique_ptr<host::request_forwarder> forwarder;

    forwarder_fixture()
    {
        peers.hand = [this](const std::string &, const host::client_request &,
                            std::function<void(host::peer_answer)> done) {
            handed.push_back(std::move(done));
        };
        forwarder = std::make_unique<host::request_forwarder>(host::forwarder_environment{
            clock, peers, routes, log, [](const host::client_request &, const host::client_answer &) { return false; },
            [this] {
                return owner;
            }});
    }

    auto keptOptions() -> poplarpass::observe::logger_options
    {
        auto options = quietOptions();
        options.sink = [this](poplarpass::observe::log_level, std::string_view line) {
            lines.emplace_back(line);
        };
        return options;
    }

    auto linesOf(const std::string &event) const -> std::ptrdiff_t
    {
        return std::ranges::count_if(
            lines, [&](const std::string &line) { return line.find("event=" + event + " ") != std::string::npos; });
    }

    auto submit(int &status) -> void
    {
        host::client_request request;
        request.verb = host::client_verb::submit;
        forwarder->take(request, std::chrono::seconds{3},
                        [&status](const poplarpass::net::http_response &response) { status = response.status; });
    }
};
} // namespace

TEST_CASE("A submission that reached nobody is refused in time; one that may have is answered as unknown", "[host]")
{
    forwarder_fixture fixture;
    fixture.owner.reset();
    int nobody = 0;
    fixture.submit(nobody);
    fixture.time.runFor(std::chrono::milliseconds{2500});
    CHECK(nobody == 503);

    fixture.owner = "10.0.0.1:1";
    int silent = 0;
    fixture.submit(silent);
    REQUIRE(fixture.handed.size() == 1);
    fixture.handed[0]({std::nullopt, true});
    fixture.owner.reset();
    fixture.time.runFor(std::chrono::milliseconds{2500});
    CHECK(silent == 504);
}

TEST_CASE("A lost and a regained owner are told once each", "[host]")
{
    forwarder_fixture fixture;
    int first = 0;
    fixture.submit(first);
    fixture.handed.at(0)({std::nullopt, true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.handed.size() == 2; }));
    fixture.handed[1]({std::nullopt, true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.handed.size() == 3; }));
    fixture.handed[2]({host::plainResponse(200, "accepted"), true});
    CHECK(fixture.linesOf("owner_lost") == 1);
    CHECK(fixture.linesOf("owner_regained") == 1);
}

TEST_CASE("A request follows the owner, and is answered once", "[host]")
{
    forwarder_fixture fixture;
    int status = 0;
    fixture.submit(status);
    fixture.handed.at(0)({host::plainResponse(host::notOwnerStatus, "not_owner"), true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.handed.size() == 2; }));
    fixture.handed[1]({host::plainResponse(200, "accepted"), true});
    CHECK(status == 200);
    fixture.time.runFor(std::chrono::seconds{4});
    CHECK(status == 200);
}

TEST_CASE("Beyond the requests that a host holds, others are refused at once; answers make room", "[host]")
{
    forwarder_fixture fixture;
    std::vector<int> statuses(host::mostForwarded);
    for (auto &status : statuses) {
        fixture.submit(status);
    }
    int beyond = 0;
    fixture.submit(beyond);
    CHECK(beyond == 503);
    fixture.handed[0]({host::plainResponse(200, "accepted"), true});
    int again = 0;
    fixture.submit(again);
    CHECK(again == 0);
}
