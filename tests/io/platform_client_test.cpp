#include "io_fixture.h"

#include <poplarpass/net/http_server.h>
#include <poplarpass/platform/host_list_client.h>
#include <poplarpass/platform/log_client.h>
#include <poplarpass/platform/worker_client.h>

#include <nlohmann/json.hpp>

using namespace tests;
using namespace poplarpass::platform;
using nlohmann::json;

namespace
{
/// \brief Platform clients whose server returns the response set by the test.
struct platform_fixture : io_fixture
{
    using step = scripted_server::step;

    std::function<step(const std::string &request)> answer;
    scripted_server server{loop, [this](std::size_t, const std::string &request) {
                               return answer(request);
                           }};
    std::shared_ptr<worker_client_counters> counters = std::make_shared<worker_client_counters>();
    worker_service workers = makeWorkerService(client, counters);
    log_service log = makeLogService(client, server.address());

    auto start(const std::string &address, core::duration timeout = 5s) -> start_response
    {
        start_request request;
        request.taskId = "task 1";
        request.attemptId = "attempt/1";
        request.payload = "in";
        return await<start_response>([&](auto done) { workers.start(address, request, timeout, done); });
    }

    auto startAnsweredBy(const std::string &bytes, bool closes = false) -> start_response
    {
        answer = [=](const std::string &) {
            return step{bytes, closes};
        };
        return start(server.address());
    }

    auto read(log_offset from) -> core::result<log_page>
    {
        return await<core::result<log_page>>([&](auto done) { log.read(from, 0s, done); });
    }
};

auto outcomeBytes(const std::string &attempt, const std::string &outcome = "finished") -> std::string
{
    return answerBytes("out",
                       "X-Task-Id: task%201\r\nX-Attempt-Id: " + attempt + "\r\nX-Outcome: " + outcome
                           + "\r\nX-Run-Time-Us: 1500\r\n");
}

auto rejectionBytes(const std::string &attempt, const std::string &body) -> std::string
{
    return "HTTP/1.1 409 Conflict\r\nX-Task-Id: task%201\r\nX-Attempt-Id: " + attempt
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto pageBytes(log_offset firstEntry) -> std::string
{
    const std::vector<std::uint8_t> payload{'a', 0, 'b'};
    json entries = json::array();
    for (auto offset = firstEntry; offset < firstEntry + 2; ++offset) {
        entries.push_back({{"offset", offset}, {"id", "r"}, {"payload", json::binary(payload)}});
    }
    const auto bytes = json::to_cbor({{"first", 2}, {"next", 9}, {"entries", entries}});
    return {bytes.begin(), bytes.end()};
}
} // namespace

TEST_CASE_METHOD(platform_fixture, "a complete response to the same attempt of a start is accepted", "[platform]")
{
    const auto finished = startAnsweredBy(outcomeBytes("attempt%2F1"));
    CHECK(finished.outcome == start_outcome::finished);
    CHECK(finished.payload == "out");
    CHECK(finished.runTime == 1500us);
    CHECK(startAnsweredBy(outcomeBytes("attempt%2F1", "failed")).outcome == start_outcome::failed);
    CHECK(startAnsweredBy(outcomeBytes("attempt%2F1", "stopped")).outcome == start_outcome::stopped);
    const auto rejected = startAnsweredBy(rejectionBytes("attempt%2F1", R"({"started":false,"reason":"no_slot"})"));
    CHECK(rejected.outcome == start_outcome::not_started);
    CHECK(rejected.reason == rejection::no_slot);
    CHECK(counters->late + counters->mismatched + counters->truncated == 0);
}

TEST_CASE_METHOD(platform_fixture, "a start is reported as not started only if that is certain", "[platform]")
{
    CHECK(start(refusingAddress(loop)).outcome == start_outcome::not_started);
    CHECK(start(refusingAddress(loop)).reason == rejection::unreachable);
    SECTION("response to another attempt")
    {
        CHECK(startAnsweredBy(outcomeBytes("attempt%2F2")).outcome == start_outcome::uncertain);
        CHECK(counters->mismatched == 1);
    }
    SECTION("rejection of another attempt")
    {
        const auto swapped = rejectionBytes("attempt%2F2", R"({"started":false,"reason":"no_slot"})");
        CHECK(startAnsweredBy(swapped).outcome == start_outcome::uncertain);
        CHECK(counters->mismatched == 1);
    }
    SECTION("malformed rejection")
    {
        CHECK(startAnsweredBy(rejectionBytes("attempt%2F1", R"({"started":true,"reason":"no_slot"})")).outcome
              == start_outcome::uncertain);
        CHECK(startAnsweredBy(rejectionBytes("attempt%2F1", R"({"started":false,"reason":"new"})")).outcome
              == start_outcome::uncertain);
        CHECK(startAnsweredBy(rejectionBytes("attempt%2F1", "{")).outcome == start_outcome::uncertain);
        CHECK(counters->truncated == 3);
    }
    SECTION("truncated response")
    {
        const auto complete = outcomeBytes("attempt%2F1");
        CHECK(startAnsweredBy(complete.substr(0, complete.size() - 1), true).outcome == start_outcome::uncertain);
        CHECK(counters->truncated == 1);
    }
    SECTION("late response")
    {
        answer = [](const std::string &) {
            return step{};
        };
        CHECK(start(server.address(), 200ms).outcome == start_outcome::uncertain);
        CHECK(counters->late == 1);
        server.peers[0]->send(outcomeBytes("attempt%2F1"));
        CHECK(startAnsweredBy(outcomeBytes("attempt%2F1")).outcome == start_outcome::finished);
        CHECK(server.peers.size() == 2);
    }
    SECTION("duplicated response")
    {
        const auto twice = outcomeBytes("attempt%2F1") + outcomeBytes("attempt%2F1");
        CHECK(startAnsweredBy(twice).outcome == start_outcome::finished);
        CHECK(client.counters().extraBytes == 1);
        CHECK(client.connectionCount(server.address()) == 0);
    }
    SECTION("lost connection")
    {
        CHECK(startAnsweredBy("", true).outcome == start_outcome::uncertain);
    }
    SECTION("response of an intermediary")
    {
        CHECK(startAnsweredBy("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").outcome == start_outcome::uncertain);
    }
}

TEST_CASE_METHOD(platform_fixture, "a start carries its identifiers, and line breaks in values cannot inject headers",
                 "[platform]")
{
    std::string sentRequest;
    answer = [&](const std::string &request) {
        sentRequest = request;
        return step{outcomeBytes("a"), false};
    };
    start_request request;
    request.taskId = "task 1";
    request.attemptId = "a";
    request.kind = core::work_kind{"kind\r\nX-Evil: 1"};
    request.traceparent = "00-ab\r\nX-Evil: 1";
    request.declaredRunTime = 7us;
    const auto result = await<start_response>([&](auto done) { workers.start(server.address(), request, 5s, done); });
    CHECK(result.outcome == start_outcome::finished);
    CHECK(sentRequest.find("\r\nX-Evil") == std::string::npos);
    CHECK(sentRequest.find("X-Run-Time-Us: 7\r\n") != std::string::npos);
}

TEST_CASE_METHOD(platform_fixture, "a report of another task is rejected", "[platform]")
{
    const auto query = [&](const std::string &task) {
        return await<core::result<task_report>>([&](auto done) { workers.query(server.address(), task, done); });
    };
    answer = [](const std::string &) {
        return step{answerBytes("out", "X-Task-Id: t\r\nX-Task-State: finished\r\nX-Boot-Id: 5\r\n"), false};
    };
    CHECK(query("t")->state == worker_task_state::finished);
    CHECK(query("t")->bootId == 5);
    CHECK(query("u").error().kind == core::error_kind::malformed_message);
    answer = [](const std::string &) {
        return step{answerBytes("out", "X-Task-Id: t\r\nX-Task-State: new\r\nX-Boot-Id: 5\r\n"), false};
    };
    CHECK(query("t").error().kind == core::error_kind::malformed_message);
}

TEST_CASE_METHOD(platform_fixture,
                 "rejected orders distinguish a stale requester from a busy worker, and a malformed lease is an error",
                 "[platform]")
{
    const auto order = [&](const std::string &reason) {
        answer = [reason](const std::string &) {
            return step{rejectionBytes("", R"({"reason":")" + reason + R"("})"), false};
        };
        return await<core::result<order_response>>([&](auto done) { workers.order(server.address(), {}, done); });
    };
    CHECK(order("stale_epoch").error().kind == core::error_kind::stale_epoch);
    CHECK(order("jobs_running").error().kind == core::error_kind::worker_unavailable);
    answer = [](const std::string &) {
        return step{answerBytes(R"({"lease_id":"x"})"), false};
    };
    const auto lease =
        await<core::result<lease_response>>([&](auto done) { workers.lease(server.address(), {}, done); });
    CHECK(lease.error().kind == core::error_kind::malformed_message);
}

TEST_CASE_METHOD(platform_fixture, "log pages are accepted only if they start at the requested offset", "[platform]")
{
    answer = [](const std::string &) {
        return step{answerBytes(pageBytes(4)), false};
    };
    const auto page = read(4);
    REQUIRE(page);
    CHECK(page->entries.size() == 2);
    CHECK(page->entries[1].payload == std::string("a\0b", 3));
    CHECK(page->nextOffset == 9);
    CHECK(read(3).error().kind == core::error_kind::log_unavailable);
    for (const auto &body : {std::string{"not cbor"}, std::string(100'000, '\x81'), std::string(9, '\xbb')}) {
        answer = [body](const std::string &) {
            return step{answerBytes(body), false};
        };
        CHECK(read(4).error().kind == core::error_kind::log_unavailable);
    }
    answer = [](const std::string &) {
        return step{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", false};
    };
    CHECK(read(4).error().kind == core::error_kind::log_trimmed);
}

TEST_CASE_METHOD(platform_fixture, "every failed append is reported as log_unavailable, because its effect is unknown",
                 "[platform]")
{
    const auto append = [&] {
        return await<core::result<log_offset>>([&](auto done) { log.append(core::record_id{"r"}, "payload", done); });
    };
    answer = [](const std::string &) {
        return step{answerBytes(R"({"offset":7})"), false};
    };
    CHECK(append() == 7);
    for (const auto *bytes : {"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n"}) {
        answer = [bytes](const std::string &) {
            return step{bytes, true};
        };
        CHECK(append().error().kind == core::error_kind::log_unavailable);
    }
    answer = [](const std::string &) {
        return step{answerBytes(R"({"offset":"7"})"), false};
    };
    CHECK(append().error().kind == core::error_kind::log_unavailable);
}
