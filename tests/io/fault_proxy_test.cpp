#include "../../standins/fault_proxy.h"
#include "../../standins/worker_endpoint.h"
#include "io_fixture.h"
#include "test_seed.h"

#include <poplarpass/net/endpoint.h>
#include <poplarpass/platform/worker_client.h>

#include <nlohmann/json.hpp>

#include <map>
#include <random>

using namespace tests;
using namespace poplarpass::platform;

namespace
{
struct proxy_fixture : io_fixture
{
    int handled = 0;
    net::http_server server{loop, "127.0.0.1:0", {}, [this](const net::http_request &request, const auto &answer) {
                                ++handled;
                                answer->respond(net::makeResponse(200, "own:" + request.body));
                            }};
    const std::vector<standins::fault_proxy::route> routes{{"127.0.0.1:0", server.address()}};
    standins::fault_proxy proxy{loop, "127.0.0.1:0", routes};
    const std::string address = proxy.address(0);

    auto runFor(std::chrono::milliseconds time) -> void
    {
        loop.restart();
        loop.run_for(time);
    }

    auto post(const std::string &body, core::duration timeout = 5s) -> exchange
    {
        return call(address, {"POST", "/", {}, body}, timeout);
    }
};
} // namespace

TEST_CASE_METHOD(proxy_fixture, "a cut holds data back until it ends", "[proxy]")
{
    CHECK(post("1").answer->body == "own:1");
    const auto cut =
        GENERATE(standins::proxy_cut::to_server, standins::proxy_cut::to_client, standins::proxy_cut::both);
    proxy.setFaults(0, {.cut = cut});
    const auto lost = post("2", 200ms);
    CHECK(lost.answer.error().kind == core::error_kind::outcome_unknown);
    CHECK(lost.sent == net::sent_state::maybe_sent);
    CHECK(handled == (cut == standins::proxy_cut::to_client ? 2 : 1));
    const auto waiting = begin(address, {"POST", "/", {}, "3"});
    proxy.setFaults(0, {});
    runUntil([&] { return waiting->completions == 1; });
    CHECK(waiting->answer->body == "own:3");
    // The client resets the connection of a request that timed out, so that what the cut held back of it is lost.
    runFor(200ms);
    CHECK(handled == (cut == standins::proxy_cut::to_client ? 3 : 2));
}

// Guards against a stand-in that is stricter or milder than a partition: held bytes are lost only with a reset.
TEST_CASE_METHOD(proxy_fixture, "data held back by a cut is lost if its sender resets, and delivered if it closes",
                 "[proxy]")
{
    const bool resets = GENERATE(false, true);
    const auto cut = GENERATE(standins::proxy_cut::to_server, standins::proxy_cut::both);
    raw_peer sender{loop, net::internal::parseEndpoint(address).port()};
    runUntil([&] { return proxy.connectionCount(0) == 1 && server.connectionCount() == 1; });
    proxy.setFaults(0, {.cut = cut});
    sender.send("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    runFor(100ms);
    if (resets) {
        sender.reset();
    } else {
        sender.close();
    }
    runFor(100ms);
    CHECK(handled == 0);
    CHECK(server.connectionCount() == 1);
    proxy.setFaults(0, {});
    runUntil([&] { return server.connectionCount() == 0 && proxy.connectionCount(0) == 0; });
    CHECK(handled == (resets ? 0 : 1));
}

TEST_CASE_METHOD(proxy_fixture, "resets, half-open connections and truncation make the outcome of a request uncertain",
                 "[proxy]")
{
    CHECK(post("1").answer->body == "own:1");
    core::duration timeout = 5s;
    standins::proxy_faults faults;
    SECTION("reset")
    {
        faults.reset = true;
    }
    SECTION("half open")
    {
        faults.halfOpen = true;
        timeout = 200ms;
    }
    SECTION("truncated")
    {
        faults.truncateAfter = 30;
    }
    SECTION("truncated before the first byte")
    {
        faults.truncateAfter = 0;
    }
    proxy.setFaults(0, faults);
    const auto outcome = post("2", timeout);
    CHECK_FALSE(outcome.answer);
    CHECK(outcome.sent == net::sent_state::maybe_sent);
    proxy.setFaults(0, {});
    CHECK(post("3").answer->body == "own:3");
}

TEST_CASE_METHOD(proxy_fixture, "delayed and rate-limited data arrives complete", "[proxy]")
{
    proxy.setFaults(0, GENERATE(standins::proxy_faults{.delayMs = 5}, standins::proxy_faults{.dripBytesPerS = 4000}));
    const std::string body(300, 'd');
    CHECK(post(body).answer->body == "own:" + body);
}

TEST_CASE_METHOD(proxy_fixture, "a duplicated response is never used for the next request", "[proxy]")
{
    proxy.setFaults(0, {.duplicateResponse = true});
    for (int index = 0; index < 20; ++index) {
        const auto outcome = post(std::to_string(index));
        REQUIRE(outcome.answer);
        CHECK(outcome.answer->body == "own:" + std::to_string(index));
    }
    CHECK(client.counters().extraBytes + client.counters().mismatched > 0);
}

TEST_CASE_METHOD(proxy_fixture, "the control port sets the faults of one pair or of all pairs", "[proxy]")
{
    const auto set = [&](const std::string &target, const std::string &faults) {
        return call(proxy.controlAddress(), {"POST", target, {}, faults}).answer->status;
    };
    CHECK(set("/fault", R"({"reset":true})") == 200);
    CHECK_FALSE(post("1").answer);
    CHECK(set("/fault?pair=0", R"({"cut":"none"})") == 200);
    CHECK(post("1").answer);
    CHECK(set("/fault", R"({"delay_ms":"x"})") == 400);
    CHECK(set("/other", "{}") == 404);
}

TEST_CASE_METHOD(io_fixture, "outcomes reported to callers agree with the worker's journal under random faults",
                 "[proxy]")
{
    std::mt19937_64 random{baseSeed()};
    const std::vector<std::string> pools{"plata"};
    standins::worker_endpoint worker{loop, standins::generateInventory(1, pools).front(), {}};
    const std::vector<standins::fault_proxy::route> routes{{"127.0.0.1:0", worker.address()}};
    standins::fault_proxy proxy{loop, "127.0.0.1:0", routes};
    const auto service = makeWorkerService(client, std::make_shared<worker_client_counters>());
    const std::vector<standins::proxy_faults> faults{{},
                                                     {},
                                                     {.delayMs = 2},
                                                     {.cut = standins::proxy_cut::to_client},
                                                     {.reset = true},
                                                     {.truncateAfter = 150},
                                                     {.duplicateResponse = true},
                                                     {.halfOpen = true}};
    std::map<std::string, std::vector<start_response>> reported;
    for (int round = 0; round < 200; ++round) {
        const auto report = await<core::result<lease_response>>([&](auto done) {
            service.lease(worker.address(), {core::member_id{"entry-1"}, core::pool_id{"plata"}, 0}, done);
        });
        proxy.setFaults(0, faults[random() % faults.size()]);
        start_request request;
        request.taskId = "t" + std::to_string(random() % 120);
        request.attemptId = "a" + std::to_string(round);
        request.leaseId = random() % 10 == 0 ? 0 : report->leaseId;
        request.pool = core::pool_id{"plata"};
        request.payload = request.attemptId;
        reported[request.taskId].push_back(
            await<start_response>([&](auto done) { service.start(proxy.address(0), request, 15ms, done); }));
        const auto &answer = reported[request.taskId].back();
        if (answer.outcome == start_outcome::finished) {
            CHECK(answer.payload == "done:" + request.attemptId);
        }
    }
    std::map<std::string, int> runs;
    std::map<std::string, bool> ran;
    for (const auto &run : worker.journal().runs()) {
        CHECK(++runs[run.taskId] == 1);
        ran[run.attemptId] = true;
    }
    for (const auto &[task, answers] : reported) {
        for (const auto &answer : answers) {
            if (answer.outcome == start_outcome::not_started) {
                CHECK_FALSE(ran[answer.attemptId]);
            }
            if (answer.outcome == start_outcome::finished) {
                CHECK(ran[answer.attemptId]);
            }
        }
    }
}
