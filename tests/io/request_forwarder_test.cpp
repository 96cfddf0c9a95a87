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
    std::vector<host::client_request> copies;
    std::optional<std::string> owner = "10.0.0.1:1";
    std::uint64_t epoch = 5;
    std::unique_ptr<host::request_forwarder> forwarder;

    forwarder_fixture()
    {
        peers.forwardRequest = [this](const std::string &, const host::client_request &request,
                                      std::function<void(host::peer_answer)> done) {
            copies.push_back(request);
            forwarded.push_back(std::move(done));
        };
        forwarder = std::make_unique<host::request_forwarder>(host::forwarder_environment{
            clock, peers, routes, log,
            [](const host::client_request &, const host::response_callback &) { return false; },
            [this] { return owner; }, [this] { return epoch; }, "host-1/1"});
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
        send(host::client_verb::submit, status);
    }

    /// \brief Leaves the newest copy without an answer and waits for the next one.
    auto leaveUnanswered() -> void
    {
        const auto count = forwarded.size();
        forwarded.back()({std::nullopt, true});
        REQUIRE(time.runUntil([&] { return forwarded.size() > count; }));
    }

    /// \brief Refuses the newest copy; \p finalEpoch is the epoch that its owner states, 0 for none.
    auto refuse(std::uint64_t finalEpoch) -> void
    {
        auto response = host::refusalResponse(503, "store_away", 1);
        if (finalEpoch > 0) {
            response.headers.push_back({std::string{host::epochHeader}, std::to_string(finalEpoch)});
        }
        const auto answer = forwarded.back();
        answer({std::move(response), true});
    }

    auto send(host::client_verb verb, int &status) -> void
    {
        host::client_request request;
        request.verb = verb;
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

// Guards against a caller whose connection ends without an answer: its host stops while the request waits for an owner.
// Guards against clients that make a host hold answered requests until their time limits: 16 of them that pipelined
// requests took more than 190 MB.
TEST_CASE("A request that has been answered is not held until its time limit", "[host]")
{
    forwarder_fixture fixture;
    auto held = std::make_shared<int>(0);
    const std::weak_ptr<int> isHeld = held;
    fixture.forwarder->handleRequest({}, std::chrono::seconds{3},
                                     [held = std::exchange(held, nullptr)](const auto &) { ++*held; });
    REQUIRE(fixture.forwarded.size() == 1);
    CHECK_FALSE(isHeld.expired());
    std::exchange(fixture.forwarded, {}).front()({poplarpass::net::makeResponse(200, "{}"), true});
    CHECK(isHeld.expired());
}

TEST_CASE("Each request is given up at its own time limit, in whichever order they came", "[host]")
{
    forwarder_fixture fixture;
    fixture.owner.reset();
    std::vector<int> givenUp;
    for (const int seconds : {3, 1, 2}) {
        fixture.forwarder->handleRequest({}, std::chrono::seconds{seconds},
                                         [&givenUp, seconds](const auto &) { givenUp.push_back(seconds); });
    }
    fixture.time.runFor(std::chrono::milliseconds{1000});
    CHECK(givenUp == std::vector<int>{1});
    fixture.time.runFor(std::chrono::milliseconds{1000});
    CHECK(givenUp == std::vector<int>{1, 2});
    fixture.time.runFor(std::chrono::milliseconds{1000});
    CHECK(givenUp == std::vector<int>{1, 2, 3});
}

TEST_CASE("A stopping host answers the requests that wait, and later ones, before it ends", "[host]")
{
    const bool hasOwner = GENERATE(false, true);
    forwarder_fixture fixture;
    if (!hasOwner) {
        fixture.owner.reset();
    }
    int waiting = 0;
    fixture.submit(waiting);
    fixture.forwarder->answerBy(fixture.time.now() + std::chrono::milliseconds{1000});
    fixture.time.runFor(std::chrono::milliseconds{900});
    CHECK(waiting == 0);
    int later = 0;
    fixture.submit(later);
    fixture.time.runFor(std::chrono::milliseconds{150});
    // What was sent to an owner may have been carried out.
    CHECK(waiting == (hasOwner ? 504 : 503));
    CHECK(later == (hasOwner ? 504 : 503));
    int late = 0;
    fixture.owner.reset();
    fixture.submit(late);
    fixture.time.runFor(std::chrono::milliseconds{10});
    CHECK(late == 503);
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

// Guards against a refusal of one copy being passed on while an earlier copy lies unread at an owner.
TEST_CASE("A refusal that leaves the fate of an earlier copy open is not passed on", "[host]")
{
    forwarder_fixture fixture;
    int status = 0;
    const auto verb = GENERATE(host::client_verb::submit, host::client_verb::cancel);
    fixture.send(verb, status);
    CHECK_FALSE(fixture.copies.back().isRepeated);
    fixture.leaveUnanswered();
    CHECK(fixture.copies.back().isRepeated);
    CHECK(fixture.copies.back().attempt == fixture.copies.front().attempt);
    SECTION("the owner is asked again and accepts")
    {
        fixture.refuse(0);
        REQUIRE(fixture.time.runUntil([&] { return fixture.forwarded.size() == 3; }));
        CHECK(status == 0);
        fixture.forwarded[2]({host::plainResponse(200, "accepted"), true});
        CHECK(status == 200);
    }
    SECTION("the owner refuses until the time limit")
    {
        while (status == 0) {
            const auto count = fixture.forwarded.size();
            fixture.refuse(0);
            fixture.time.runUntil([&] { return fixture.forwarded.size() > count || status != 0; });
        }
        CHECK(status == 504);
    }
}

TEST_CASE("A refusal by an owner that rules out all copies is passed on", "[host]")
{
    forwarder_fixture fixture;
    int status = 0;
    fixture.submit(status);
    SECTION("without another copy")
    {
        fixture.refuse(0);
        CHECK(status == 503);
    }
    SECTION("the same owner")
    {
        fixture.leaveUnanswered();
        fixture.refuse(5);
        CHECK(status == 503);
    }
    SECTION("a later owner")
    {
        fixture.epoch = 7;
        fixture.leaveUnanswered();
        CHECK(fixture.copies.back().ownerEpoch == 7);
        fixture.refuse(7);
        CHECK(status == 503);
    }
}

// Guards against "not run" about a job that an earlier copy submitted, from an owner that does not check for copies.
TEST_CASE("A final refusal that leaves the fate of an earlier copy open is answered as unknown at once", "[host]")
{
    forwarder_fixture fixture;
    const auto refusalStatus = GENERATE(400, 401, 403, 404, 413);
    const auto refuse = [&](std::uint64_t finalEpoch) {
        auto response = host::plainResponse(refusalStatus, "refused");
        if (finalEpoch > 0) {
            response.headers.push_back({std::string{host::epochHeader}, std::to_string(finalEpoch)});
        }
        const auto answer = fixture.forwarded.back();
        answer({std::move(response), true});
    };
    int status = 0;
    fixture.submit(status);
    SECTION("no other copy")
    {
        refuse(0);
        CHECK(status == refusalStatus);
    }
    SECTION("not ruled out")
    {
        fixture.leaveUnanswered();
        refuse(0);
        CHECK(status == 504);
    }
    SECTION("ruled out")
    {
        fixture.leaveUnanswered();
        refuse(5);
        CHECK(status == refusalStatus);
    }
    SECTION("ruled out by a former owner only")
    {
        fixture.leaveUnanswered();
        refuse(4);
        CHECK(status == 0);
    }
}

// Guards against the refusal of a former owner while a copy is on its way to its successor.
TEST_CASE("A refusal by a former owner does not settle a copy that was sent to a later one", "[host]")
{
    forwarder_fixture fixture;
    fixture.epoch = 7;
    int status = 0;
    fixture.submit(status);
    fixture.epoch = 5;
    fixture.leaveUnanswered();
    fixture.refuse(5);
    fixture.time.runFor(callTime);
    CHECK(status == 0);
}

TEST_CASE("A request is sent again to the epoch that the owner names", "[host]")
{
    forwarder_fixture fixture;
    int status = 0;
    fixture.submit(status);
    auto response = host::plainResponse(host::notOwnerStatus, "other_epoch");
    response.headers.push_back({std::string{host::epochHeader}, "9"});
    fixture.forwarded.at(0)({std::move(response), true});
    REQUIRE(fixture.time.runUntil([&] { return fixture.copies.size() == 2; }));
    CHECK(fixture.copies[1].ownerEpoch == 9);
    CHECK_FALSE(fixture.copies[1].isRepeated);
}

// Guards against a cancellation being reported as not carried out although the owner may have received it.
TEST_CASE("A cancellation that an owner may have received is answered as unknown", "[host]")
{
    forwarder_fixture fixture;
    int status = 0;
    fixture.send(host::client_verb::cancel, status);
    fixture.forwarded.at(0)({std::nullopt, true});
    fixture.owner.reset();
    fixture.time.runFor(std::chrono::milliseconds{2500});
    CHECK(status == 504);
}
