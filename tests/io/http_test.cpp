#include "io_fixture.h"
#include "test_seed.h"

#include <algorithm>
#include <random>

using namespace tests;
using responder_handle = std::shared_ptr<net::responder>;

namespace
{
auto echo(const net::http_request &request, const responder_handle &answer) -> void
{
    answer->respond(net::makeResponse(200, request.method + " " + request.target + " " + request.body, "text/plain"));
}

auto shortLimits() -> net::server_limits
{
    net::server_limits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 2048;
    limits.readTimeout = 200ms;
    limits.drainIdleTimeout = 10ms;
    return limits;
}

auto statusOf(const raw_peer &peer) -> int
{
    return peer.received.size() < 12 ? 0 : std::stoi(peer.received.substr(9, 3));
}
} // namespace

TEST_CASE("targets are split into path and query and decoded", "[http]")
{
    const net::http_request request{"GET", "/read?from=12&name=a%20b+c%2Fd&flag", {{"X-One", "1"}}, {}};
    CHECK(request.path() == "/read");
    CHECK(request.query("from") == "12");
    CHECK(request.query("name") == "a b c/d");
    CHECK(request.query("flag") == "");
    CHECK_FALSE(request.query("other"));
    CHECK(request.header("x-one") == "1");
    CHECK(net::percentDecode("%zz%4") == "%zz%4");
    std::string all;
    for (int value = 0; value < 256; ++value) {
        all += static_cast<char>(value);
    }
    CHECK(net::percentDecode(net::percentEncode(all)) == all);
}

TEST_CASE_METHOD(io_fixture, "unreadable requests get an error response and do not affect other connections", "[http]")
{
    net::http_server server{loop, "127.0.0.1:0", shortLimits(), echo};
    raw_peer peer{loop, server.port()};
    peer.receive();
    int expected = 400;
    SECTION("malformed")
    {
        peer.send("NOT HTTP AT ALL\r\n\r\n");
    }
    SECTION("truncated body")
    {
        peer.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
        peer.endSending();
    }
    SECTION("truncated header")
    {
        peer.send("POST / HTTP/1.1\r\nContent-");
        peer.endSending();
    }
    SECTION("contradictory lengths")
    {
        peer.send("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    }
    SECTION("oversized body")
    {
        expected = 413;
        peer.send("POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\n");
    }
    SECTION("oversized chunked body")
    {
        expected = 413;
        peer.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + std::string(4096, 'x') + "\r\n");
    }
    SECTION("oversized header")
    {
        expected = 413;
        peer.send("GET / HTTP/1.1\r\nX: " + std::string(4096, 'x') + "\r\n\r\n");
    }
    // Beast's limits cover neither of the next three.
    SECTION("trailers without end")
    {
        expected = 413;
        peer.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        for (int line = 0; line < 1024; ++line) {
            peer.send("X: " + std::string(32, 'x') + "\r\n");
        }
    }
    SECTION("a chunk extension without end")
    {
        expected = 413;
        peer.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;x="
                  + std::string(std::size_t{32} * 1024, 'x'));
    }
    SECTION("many chunk extensions")
    {
        expected = 413;
        peer.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int chunk = 0; chunk < 32; ++chunk) {
            peer.send("1;x=" + std::string(1000, 'x') + "\r\nx\r\n");
        }
    }
    SECTION("slow header")
    {
        expected = 408;
        peer.send("GET / HTTP/1.1\r\nX: ");
    }
    SECTION("slow body")
    {
        expected = 408;
        peer.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    }
    CHECK(call(server.address(), {"POST", "/good", {}, "body"}).answer->body == "POST /good body");
    runUntil([&] { return peer.closed; });
    CHECK(statusOf(peer) == expected);
    CHECK(peer.received.find("Connection: close") != std::string::npos);
    CHECK(call(server.address(), {"GET", "/again", {}, {}}).answer->body == "GET /again ");
    CHECK(client.counters().connects == 1);
}

// Guards against a limit that counts the framing of a body: chunks of one byte multiply its size by six.
TEST_CASE_METHOD(io_fixture, "a body of the largest size is received however it is framed", "[http]")
{
    net::http_server server{loop, "127.0.0.1:0", shortLimits(), echo};
    raw_peer peer{loop, server.port()};
    peer.receive();
    const std::string body(shortLimits().bodyBytes, 'x');
    std::string message = "POST / HTTP/1.1\r\nConnection: close\r\n";
    SECTION("with its length")
    {
        message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    SECTION("in chunks of one byte, with a trailer")
    {
        message += "Transfer-Encoding: chunked\r\n\r\n";
        for (const char byte : body) {
            message += "1\r\n" + std::string(1, byte) + "\r\n";
        }
        message += "0\r\nX: y\r\n\r\n";
    }
    SECTION("after a wait for 100 Continue")
    {
        peer.send(message + "Expect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        runUntil([&] { return peer.received.find("100 Continue") != std::string::npos; });
        message = body;
    }
    peer.send(message);
    runUntil([&] { return peer.closed; });
    CHECK(peer.received.find("200 OK") != std::string::npos);
    CHECK(peer.received.find(body) != std::string::npos);
}

TEST_CASE_METHOD(io_fixture, "a body above a limit that changes is refused by the handler before it is read", "[http]")
{
    net::http_server server{
        loop, "127.0.0.1:0", {}, [](const net::http_request &request, const responder_handle &answer) {
            const auto detail = request.target + " " + std::to_string(request.body.size());
            answer->respond(net::makeResponse(request.isBodyTooLarge ? 413 : 200, detail));
        }};
    std::uint64_t limit = 4;
    server.setBodyLimit([&] { return limit; });
    CHECK(call(server.address(), {"POST", "/small", {}, "1234"}).answer->status == 200);
    raw_peer peer{loop, server.port()};
    peer.receive();
    SECTION("announced")
    {
        peer.send("POST /large HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    }
    SECTION("sent in chunks")
    {
        peer.send("POST /large HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n1\r\n");
    }
    runUntil([&] { return peer.closed; });
    CHECK(statusOf(peer) == 413);
    CHECK(peer.received.find("/large 0") != std::string::npos);
    CHECK(peer.received.find("Connection: close") != std::string::npos);
    limit = 5;
    CHECK(call(server.address(), {"POST", "/large", {}, "12345"}).answer->status == 200);
}

TEST_CASE_METHOD(io_fixture, "pipelined requests are answered in order, and 100 Continue is sent", "[http]")
{
    net::http_server server{loop, "127.0.0.1:0", {}, echo};
    raw_peer peer{loop, server.port()};
    peer.receive();
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nPOST /3 HTTP/1.1\r\nConnection: close\r\n"
              "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    runUntil([&] { return peer.received.find("100 Continue") != std::string::npos; });
    peer.send("xy");
    runUntil([&] { return peer.closed; });
    const auto first = peer.received.find("GET /1");
    const auto second = peer.received.find("GET /2");
    CHECK(first < second);
    CHECK(second < peer.received.find("POST /3 xy"));
    CHECK(peer.received.find("POST /3 xy") != std::string::npos);
}

TEST_CASE_METHOD(io_fixture, "a disconnect of the caller is detected while its request is handled", "[http]")
{
    responder_handle pending;
    bool disconnected = false;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &, responder_handle answer) {
                                pending = std::move(answer);
                                pending->onDisconnect([&disconnected] { disconnected = true; });
                            }};
    raw_peer peer{loop, server.port()};
    peer.send("GET / HTTP/1.1\r\n\r\n");
    runUntil([&] { return pending != nullptr; });
    CHECK_FALSE(disconnected);
    peer.close();
    runUntil([&] { return disconnected; });
    pending->respond({});
    pending.reset();
    runUntil([&] { return server.connectionCount() == 0; });
}

TEST_CASE_METHOD(io_fixture, "a request that the handler drops is answered with status 500", "[http]")
{
    net::http_server server{loop, "127.0.0.1:0", {}, [](const net::http_request &, const responder_handle &) {
                            }};
    CHECK(call(server.address(), {}).answer->status == 500);
}

TEST_CASE_METHOD(io_fixture, "a drain lets requests in progress finish and refuses new connections", "[http]")
{
    responder_handle pending;
    net::http_server server{loop, "127.0.0.1:0", shortLimits(),
                            [&](const net::http_request &, responder_handle answer) {
                                pending = std::move(answer);
                            }};
    bool drained = false;
    server.setOnDrained([&] { drained = true; });
    const auto inProgress = begin(server.address(), {"GET", "/slow", {}, {}});
    raw_peer idle{loop, server.port()};
    idle.receive();
    runUntil([&] { return pending && server.connectionCount() == 2; });
    server.drain();
    const auto refused = call(server.address(), {});
    CHECK_FALSE(refused.answer);
    CHECK(refused.sent == net::sent_state::not_sent);
    runUntil([&] { return idle.closed; });
    CHECK_FALSE(drained);
    pending->respond(net::makeResponse(200, "done"));
    runUntil([&] { return drained && inProgress->completions == 1; });
    CHECK(inProgress->answer->body == "done");
    CHECK(inProgress->answer->header("Connection") == "close");
    CHECK(server.connectionCount() == 0);
}

TEST_CASE_METHOD(io_fixture, "at the connection limit an idle connection is evicted, busy ones are not", "[http]")
{
    auto limits = shortLimits();
    limits.maxConnections = 2;
    std::vector<responder_handle> pending;
    net::http_server server{loop, "127.0.0.1:0", limits, [&](const net::http_request &, responder_handle answer) {
                                pending.push_back(std::move(answer));
                            }};
    raw_peer idle{loop, server.port()};
    idle.receive();
    runUntil([&] { return server.connectionCount() == 1; });
    const auto first = begin(server.address(), {});
    const auto second = begin(server.address(), {});
    const auto third = begin(server.address(), {});
    runUntil([&] { return idle.closed && pending.size() == 2; });
    CHECK(server.connectionCount() == 2);
    while (pending.size() < 3) {
        pending[0]->disconnect();
        runUntil([&] { return pending.size() == 3; });
    }
    pending[1]->respond({});
    pending[2]->respond({});
    runUntil([&] { return first->completions + second->completions + third->completions == 3; });
}

// Guards against a bound for each request only: many clients together would hold any amount of memory.
TEST_CASE_METHOD(io_fixture, "requests that are not completed give way when all together hold too much", "[http]")
{
    constexpr std::size_t bodyBytes = 200'000;
    net::server_limits limits;
    limits.memoryBytes = 6 * bodyBytes;
    std::size_t handled = 0;
    net::http_server server{loop, "127.0.0.1:0", limits,
                            [&](const net::http_request &request, const responder_handle &answer) {
                                ++handled;
                                echo(request, answer);
                            }};
    std::vector<std::unique_ptr<raw_peer>> slow;
    for (int index = 0; index < 10; ++index) {
        slow.push_back(std::make_unique<raw_peer>(loop, server.port()));
        slow.back()->receive();
        slow.back()->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\nx");
    }
    const auto isClosed = [](const auto &peer) {
        return peer->closed;
    };
    runUntil([&] { return std::ranges::count_if(slow, isClosed) >= 5; });
    const auto refused = std::ranges::find_if(slow, isClosed);
    CHECK(statusOf(**refused) == 503);
    CHECK((*refused)->received.find("Retry-After: 1") != std::string::npos);
    CHECK(handled == 0);
    CHECK(call(server.address(), {"POST", "/ordinary", {}, "body"}).answer->status == 200);
    CHECK_FALSE(slow.back()->closed);
    slow.back()->send(std::string(bodyBytes - 1, 'x'));
    runUntil([&] { return handled == 2; });
    CHECK(call(server.address(), {"POST", "/large", {}, std::string(bodyBytes, 'x')}).answer->status == 200);
}

// Guards against clients that keep others out with requests that they never complete.
TEST_CASE_METHOD(io_fixture, "at the connection limit the request that takes longest to arrive gives way", "[http]")
{
    net::server_limits limits;
    limits.maxConnections = 2;
    net::http_server server{loop, "127.0.0.1:0", limits, echo};
    raw_peer first{loop, server.port()};
    first.receive();
    first.send("GET / HT");
    runUntil([&] { return server.connectionCount() == 1; });
    raw_peer second{loop, server.port()};
    second.receive();
    second.send("GET / HT");
    CHECK(call(server.address(), {"POST", "/ordinary", {}, "body"}).answer->status == 200);
    CHECK(first.closed);
    CHECK_FALSE(second.closed);
}

TEST_CASE_METHOD(io_fixture, "a large response is received completely", "[http]")
{
    const std::string large(std::size_t{12} * 1024 * 1024, 'z');
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &, const responder_handle &answer) {
                                answer->respond(net::makeResponse(200, large));
                            }};
    CHECK(call(server.address(), {}).answer->body == large);
}

TEST_CASE_METHOD(io_fixture, "randomly corrupted requests do not affect another connection", "[http]")
{
    std::mt19937_64 random{baseSeed()};
    net::http_server server{loop, "127.0.0.1:0", shortLimits(), echo};
    const std::string valid = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    for (int round = 0; round < 150; ++round) {
        auto bytes = valid;
        for (auto changes = random() % 4 + 1; changes > 0; --changes) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        raw_peer peer{loop, server.port()};
        peer.receive();
        peer.send(std::string_view{bytes}.substr(0, random() % (bytes.size() + 1)));
        peer.endSending();
        runUntil([&] { return peer.closed; });
        const auto body = std::to_string(random());
        CHECK(call(server.address(), {"POST", "/", {}, body}).answer->body == "POST / " + body);
    }
    CHECK(client.counters().connects == 1);
}

TEST_CASE_METHOD(io_fixture, "requests are reported as not sent when the connection is refused or none becomes free",
                 "[http]")
{
    const auto refused = call(refusingAddress(loop), {});
    CHECK(refused.answer.error().kind == core::error_kind::peer_unreachable);
    CHECK(refused.sent == net::sent_state::not_sent);
    CHECK(call("nonsense", {}).answer.error().kind == core::error_kind::invalid_request);

    net::http_client limitedClient{loop, {.connectionsPerEndpoint = 1}};
    std::vector<responder_handle> pending;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &, responder_handle answer) {
                                pending.push_back(std::move(answer));
                            }};
    limitedClient.send(server.address(), {}, 5s, [](const auto &, net::sent_state) {});
    bool timedOut = false;
    limitedClient.send(server.address(), {}, 20ms, [&](const auto &answer, net::sent_state sent) {
        timedOut = true;
        CHECK(answer.error().kind == core::error_kind::peer_unreachable);
        CHECK(sent == net::sent_state::not_sent);
    });
    runUntil([&] { return timedOut; });
    CHECK(limitedClient.connectionCount(server.address()) == 1);
    runUntil([&] { return pending.size() == 1; });
}

TEST_CASE_METHOD(io_fixture, "a connection is not reused after an incomplete, invalid or closing response", "[http]")
{
    scripted_server::step first;
    auto expected = core::error_kind::malformed_message;
    bool answered = false;
    core::duration timeout = 5s;
    SECTION("truncated response")
    {
        first = {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part", true};
    }
    SECTION("response of unknown length")
    {
        first = {"HTTP/1.1 200 OK\r\n\r\nperhaps a part", true};
    }
    SECTION("malformed response")
    {
        first = {"garbage\r\n\r\n", false};
    }
    SECTION("response to another request")
    {
        first = {answerBytes("other", "X-Request-Id: other\r\n"), false};
    }
    SECTION("timed out")
    {
        timeout = 200ms;
        expected = core::error_kind::outcome_unknown;
    }
    SECTION("closed without a response")
    {
        first = {"", true};
        expected = core::error_kind::peer_unreachable;
    }
    SECTION("extra bytes")
    {
        first = {answerBytes("first") + answerBytes("second"), false};
        answered = true;
    }
    SECTION("response with Connection: close")
    {
        first = {answerBytes("first", "Connection: close\r\n"), false};
        answered = true;
    }
    scripted_server server{loop, [&](std::size_t index, const std::string &) {
                               return index == 0 ? first : scripted_server::step{answerBytes("clean"), false};
                           }};
    const auto outcome = call(server.address(), {}, timeout);
    CHECK(outcome.sent == net::sent_state::maybe_sent);
    REQUIRE(outcome.answer.has_value() == answered);
    if (!answered) {
        CHECK(outcome.answer.error().kind == expected);
    }
    CHECK(client.connectionCount(server.address()) == 0);
    CHECK(call(server.address(), {}).answer->body == "clean");
    CHECK(server.peers.size() == 2);
    CHECK(server.requests == 2);
}

TEST_CASE_METHOD(io_fixture, "an idle connection that receives data or closes is dropped before the next request",
                 "[http]")
{
    scripted_server server{loop, [](std::size_t, const std::string &) {
                               return scripted_server::step{answerBytes("clean"), false};
                           }};
    CHECK(call(server.address(), {}).answer->body == "clean");
    CHECK(client.connectionCount(server.address()) == 1);
    SECTION("late response, detected on reuse")
    {
        server.peers[0]->send(answerBytes("late"));
    }
    SECTION("late response, detected while idle")
    {
        server.peers[0]->send(answerBytes("late"));
        runUntil([&] { return client.connectionCount(server.address()) == 0; });
        CHECK(client.counters().extraBytes == 1);
    }
    SECTION("end")
    {
        server.peers[0]->close();
    }
    CHECK(call(server.address(), {}).answer->body == "clean");
    CHECK(server.peers.size() == 2);
}

TEST_CASE_METHOD(io_fixture, "a request that fails on a reused connection may have been sent, and is not retried",
                 "[http]")
{
    scripted_server server{
        loop, [](std::size_t index, const std::string &) {
            return index == 0 ? scripted_server::step{answerBytes("clean"), false} : scripted_server::step{"", true};
        }};
    CHECK(call(server.address(), {}).answer);
    const auto outcome = call(server.address(), {});
    CHECK_FALSE(outcome.answer);
    CHECK(outcome.sent == net::sent_state::maybe_sent);
    CHECK(client.counters().reused == 1);
    CHECK(server.requests == 2);
}

TEST_CASE_METHOD(io_fixture, "a cancelled request completes once and its connection is closed", "[http]")
{
    bool disconnected = false;
    responder_handle pending;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &, responder_handle answer) {
                                pending = std::move(answer);
                                pending->onDisconnect([&] { disconnected = true; });
                            }};
    int completions = 0;
    const auto ticket = client.send(server.address(), {}, 5s, [&](const auto &answer, net::sent_state sent) {
        ++completions;
        CHECK(answer.error().kind == core::error_kind::cancelled);
        CHECK(sent == net::sent_state::maybe_sent);
    });
    runUntil([&] { return pending != nullptr; });
    client.cancel(ticket);
    client.cancel(ticket);
    CHECK(completions == 0);
    runUntil([&] { return disconnected && completions > 0; });
    loop.poll();
    CHECK(completions == 1);
}

TEST_CASE_METHOD(io_fixture, "every request completes once, with its own complete response or a failure", "[http]")
{
    std::mt19937_64 random{baseSeed()};
    net::http_client limitedClient{loop, {.connectionsPerEndpoint = 5}};
    std::vector<std::pair<std::string, responder_handle>> pending;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](net::http_request request, responder_handle answer) {
                                pending.emplace_back(std::move(request.body), std::move(answer));
                            }};
    int sent = 0;
    int ended = 0;
    int answers = 0;
    while (ended < 600) {
        while (sent < 600 && sent - ended < 20) {
            const auto body = std::to_string(sent++) + std::string(random() % 20'000, 'b');
            const auto timeout = random() % 8 == 0 ? core::duration{random() % 3000} : core::duration{10s};
            limitedClient.send(server.address(), {"POST", "/", {}, body}, timeout, [&, body](const auto &answer, auto) {
                ++ended;
                answers += answer ? 1 : 0;
                if (answer) {
                    REQUIRE(answer->body == "own:" + body);
                }
            });
        }
        runUntil([&] { return !pending.empty() || ended == 600 || (sent < 600 && sent - ended < 20); });
        if (!pending.empty()) {
            const auto chosen = pending.begin() + static_cast<std::ptrdiff_t>(random() % pending.size());
            const auto [body, answer] = std::move(*chosen);
            pending.erase(chosen);
            if (random() % 10 == 0) {
                answer->disconnect();
            } else {
                answer->respond(net::makeResponse(200, "own:" + body));
            }
        }
    }
    CHECK(ended == 600);
    CHECK(answers > 300);
    CHECK(limitedClient.counters().mismatched == 0);
    CHECK(limitedClient.connectionCount(server.address()) <= 5);
}
