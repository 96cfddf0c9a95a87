#include "io_fixture.h"

#include <catch2/catch.hpp>

#include <platform/store_client.h>
#include <platform/worker_client.h>

using namespace tests;

namespace
{
namespace host = poplarpass::host;
namespace store = poplarpass::store;

/// \brief A server of the platform whose answers the test sets by path and query.
class platform_server
{
public:
    explicit platform_server(boost::asio::io_context &loop)
        : m_server{loop, "127.0.0.1:0", net::server_limits{},
                   [this](const net::http_request &request, const std::shared_ptr<net::responder> &caller) {
                       requests.push_back(request.target);
                       caller->respond(answer(request));
                   }}
    {
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_server.port());
    }

    std::vector<std::string> requests;
    std::function<net::http_response(const net::http_request &)> answer;

private:
    net::http_server m_server;
};
} // namespace

TEST_CASE_METHOD(io_fixture,
                 "Unreadable records do not end the read of the newest records, and their keys are reported",
                 "[platform][store]")
{
    platform_server server{loop};
    server.answer = [](const net::http_request &request) {
        return request.target.find("after=bad") == std::string::npos
            ? net::makeResponse(200,
                                R"({"items":[{"key":"bad","value":"?","offset":1}],"has_more":true,"end_offset":9})")
            : net::makeResponse(
                200, R"({"items":[{"key":"good","value":"eA==","offset":2}],"has_more":false,"end_offset":12})");
    };
    const auto calls = platform::makeRecordStore(client, server.address());
    const auto newest =
        await<store::newest_result>([&](auto done) { calls.newest(store::topic::jobs, std::move(done)); });
    CHECK(newest.complete);
    CHECK(newest.endOffset == 9);
    REQUIRE(newest.records.size() == 1);
    CHECK(newest.records[0].key == "good");
    CHECK(newest.records[0].value == "x");
    CHECK(newest.unreadableKeys == std::vector<std::string>{"bad"});
}

// Guards against an append that is repeated for ever because its rejection counts as no answer (review case 1).
TEST_CASE_METHOD(io_fixture, "An append that is too large or malformed is rejected, not unanswered",
                 "[platform][store]")
{
    platform_server server{loop};
    const auto calls = platform::makeRecordStore(client, server.address());
    for (const auto status : {400, 413}) {
        server.answer = [status](const net::http_request &) {
            return net::makeResponse(status, R"({"error":"record too large"})");
        };
        const auto result =
            await<store::append_result>([&](auto done) { calls.append(store::record_append{}, std::move(done)); });
        CHECK(result.outcome == store::append_outcome::rejected);
    }
}

TEST_CASE_METHOD(io_fixture, "Only a conflict about the fencing token fences a renewal", "[platform][workers]")
{
    platform_server server{loop};
    const auto calls = platform::makeWorkerCalls(client, client);
    const auto outcomeOf = [&](std::string body) {
        server.answer = [body = std::move(body)](const net::http_request &) {
            return net::makeResponse(409, body);
        };
        host::renewal_call call;
        call.target.address = server.address();
        return await<host::renewal_answer>([&](auto done) { calls.renew(call, std::move(done)); }).outcome;
    };
    CHECK(outcomeOf(R"({"clock_ms":1,"reason":"fence"})") == host::renewal_outcome::fenced);
    CHECK(outcomeOf(R"({"clock_ms":1,"reason":"late"})") == host::renewal_outcome::failed);
    CHECK(outcomeOf("conflict") == host::renewal_outcome::failed);
}

TEST_CASE_METHOD(io_fixture, "The answer to a start has the clock of the worker, if it has one", "[platform][workers]")
{
    const auto resultOf = [this](int status, const std::string &body) {
        net::http_server server{loop, "127.0.0.1:0", net::server_limits{},
                                [&](const net::http_request &, const std::shared_ptr<net::responder> &caller) {
                                    caller->respond(net::makeResponse(status, body));
                                }};
        net::http_client renewals{loop, {}};
        net::http_client orders{loop, {}};
        const auto calls = platform::makeWorkerCalls(renewals, orders);
        host::worker_target target;
        target.address = "127.0.0.1:" + std::to_string(server.port());
        return await<host::start_result>([&](auto done) { calls.start(target, {}, 0, std::move(done)); });
    };
    CHECK(resultOf(200, R"({"clock_ms":4321})").clockMs == 4321);
    CHECK(resultOf(409, R"({"clock_ms":17,"reason":"room"})").clockMs == 17);
    CHECK_FALSE(resultOf(200, "").clockMs);
    CHECK_FALSE(resultOf(200, R"({"clock_ms":"late"})").clockMs);
    CHECK_FALSE(resultOf(503, R"({"clock_ms":-5})").clockMs);
}

TEST_CASE_METHOD(io_fixture, "Orders that a worker leaves unanswered do not delay the renewal of its lease",
                 "[platform][workers]")
{
    std::vector<std::shared_ptr<net::responder>> unanswered;
    net::http_server server{loop, "127.0.0.1:0", net::server_limits{},
                            [&](const net::http_request &request, const std::shared_ptr<net::responder> &caller) {
                                if (request.target == "/api/hold") {
                                    caller->respond(
                                        net::makeResponse(200, R"({"clock_ms":1,"running":[],"ended":[]})"));
                                } else {
                                    unanswered.push_back(caller);
                                }
                            }};
    net::client_limits limits;
    limits.connectionsPerEndpoint = 2;
    net::http_client renewals{loop, limits};
    net::http_client orders{loop, limits};
    const auto calls = platform::makeWorkerCalls(renewals, orders);
    host::renewal_call call;
    call.target.address = "127.0.0.1:" + std::to_string(server.port());
    for (int order = 0; order < 5; ++order) {
        calls.start(call.target, {}, 0, [](const poplarpass::host::start_result &) {});
    }
    runUntil([&] { return unanswered.size() == limits.connectionsPerEndpoint; });
    const auto answer = await<host::renewal_answer>([&](auto done) { calls.renew(call, std::move(done)); });
    CHECK(answer.outcome == host::renewal_outcome::reported);
    CHECK(unanswered.size() == limits.connectionsPerEndpoint);
}
