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
    poplarpass::observe::logger log{recordingOptions()};
    poplarpass::route::route_table routes;
    host::peer_calls peers;
    std::vector<std::function<void(host::peer_answer)>> forwarded;
    std::optional<std::string> owner = "10.0.0.1:1";
    std::unique_ptr<host::request_forwarder> forwarder;

    forwarder_fixture()
    {
        peers.forwardRequest = [this](const std::string &, const host::client_request &,
                                      std::function<void(host::peer_answer)> done) {
            forwarded.push_back(std::move(done));
        };
        forwarder = std::make_unique<host::request_forwarder>(host::forwarder_environment{
            clock, peers, routes, log,
            [](const host::client_request &, const host::response_callback &) { return false; },
            [this] {
                return owner;
            }});
    }

    auto recordingOptions() -> poplarpass::observe::logger_options
    {
        auto options = discardingLoggerOptions();
        options.sink = [this](poplarpass::observe::log_level, std::string_view line) {
            lines.emplace_back(line);
        };
        return options;
    }

    auto countLines(const std::string &event) const -> std::ptrdiff_t
    {
        return std::ranges::count_if(
            lines, [&](const std::string &line) { return line.find("event=" + event + " ") != std::string::npos; });
    }

    auto submit(int &status) -> void
    {
        host::client_request request;
        request.verb = host::client_verb::submit;
        forwarder->handleRequest(
            request, std::chrono::seconds{3},
            [&status](const poplarpass::net::http_response &response) { status = response.status; });
    }
};
} // namespace

TEST_CASE(
    "A submission that reached no owner is refused within its time limit, and one that may have is answered as unknown",
    "[host]")
{
    forwarder_fixture fixture;
    fixture.owner.reset();
    int withoutOwner = 0;
    fixture.submit(withoutOwner);
    fixture.time.runFor(std::chrono::milliseconds{2500});
    CHECK(withoutOwner == 503);

    fixture.owner = "10.0.0.1:1";
    int unanswered = 0;
    fixture.submit(unanswered);
    REQUIRE(fixture.forwarded.size() == 1);
    fixture.forwarded[0]({std::nullopt, true});
    fixture.owner.reset();
    fixture.time.runFor(std::chrono::milliseconds{2500});
    CHECK(unanswered == 504);
}

TEST_CASE("Loss and recovery of the owner are logged once each", "[host]")
{
    forwarder_fixture fixture;
    int first = 0;
    fixture.submit(first);
    fixture.forwarded.at(0)({std::nullopt, true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.forwarded.size() == 2; }));
    fixture.forwarded[1]({std::nullopt, true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.forwarded.size() == 3; }));
    fixture.forwarded[2]({host::plainResponse(200, "accepted"), true});
    CHECK(fixture.countLines("owner_lost") == 1);
    CHECK(fixture.countLines("owner_regained") == 1);
}

TEST_CASE("A request refused by a former owner is retried and answered exactly once", "[host]")
{
    forwarder_fixture fixture;
    int status = 0;
    fixture.submit(status);
    fixture.forwarded.at(0)({host::plainResponse(host::notOwnerStatus, "not_owner"), true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.forwarded.size() == 2; }));
    fixture.forwarded[1]({host::plainResponse(200, "accepted"), true});
    CHECK(status == 200);
    fixture.time.runFor(std::chrono::seconds{4});
    CHECK(status == 200);
}

TEST_CASE("Requests above the limit of unanswered requests are refused at once, and each answer admits another",
          "[host]")
{
    forwarder_fixture fixture;
    std::vector<int> statuses(host::maxForwardedRequests);
    for (auto &status : statuses) {
        fixture.submit(status);
    }
    int overLimit = 0;
    fixture.submit(overLimit);
    CHECK(overLimit == 503);
    fixture.forwarded[0]({host::plainResponse(200, "accepted"), true});
    int afterAnswer = 0;
    fixture.submit(afterAnswer);
    CHECK(afterAnswer == 0);
}
