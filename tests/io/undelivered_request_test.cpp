#include "../../standins/fault_proxy.h"
#include "io_fixture.h"

#include <optional>
#include <sys/socket.h>
#include <thread>

using namespace tests;
using boost::asio::ip::tcp;

namespace
{
/// \brief A peer with a small receive window that reads only on request, so that most of a request stays at its sender.
class unreading_peer
{
public:
    /// \brief Everything that a connection delivered.
    struct delivery
    {
        std::size_t bytes = 0;
        boost::system::error_code end; ///< How the connection ended; would_block if it did not.
    };

    explicit unreading_peer(boost::asio::io_context &loop)
        : m_acceptor{loop, tcp::v4()}
    {
        m_acceptor.set_option(tcp::acceptor::receive_buffer_size{4096});
        m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// \brief Accepts the next connection and reads until it ends or delivers nothing for a second.
    auto readAll() -> delivery
    {
        auto socket = m_acceptor.accept();
        const timeval timeout{.tv_sec = 1, .tv_usec = 0};
        REQUIRE(setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout)) == 0);
        delivery result;
        std::array<char, 4096> chunk{};
        while (!result.end) {
            const auto size = recv(socket.native_handle(), chunk.data(), chunk.size(), 0);
            if (size > 0) {
                result.bytes += static_cast<std::size_t>(size);
            } else {
                result.end = size == 0 ? boost::system::error_code{boost::asio::error::eof}
                                       : boost::system::error_code{errno, boost::system::system_category()};
            }
        }
        return result;
    }

private:
    tcp::acceptor m_acceptor;
};

struct undelivered_fixture : io_fixture
{
    /// Fits into the send buffer of a connection, so that the client has written all of it.
    const std::string body = std::string(std::size_t{256} * 1024, 'u');
    std::optional<net::http_client> sender{std::in_place, loop, net::client_limits{}};
    unreading_peer peer{loop};

    auto send(core::duration timeout) -> net::request_ticket
    {
        return sender->send(peer.address(), {"POST", "/", {}, body}, timeout,
                            [this](const auto &, net::sent_state) { ended = true; });
    }

    auto runFor(std::chrono::milliseconds time) -> void
    {
        loop.restart();
        loop.run_for(time);
    }

    bool ended = false;
};
} // namespace

// Guards against calls that are carried out long after their sender has given them up: the kernel repeats the bytes of
// a connection that was closed in order for up to 100 s.
TEST_CASE_METHOD(undelivered_fixture, "a request that was not delivered when it was given up is never delivered",
                 "[http]")
{
    SECTION("timed out")
    {
        send(300ms);
        runUntil([&] { return ended; });
    }
    SECTION("cancelled")
    {
        const auto ticket = send(5s);
        runFor(200ms);
        sender->cancel(ticket);
        runUntil([&] { return ended; });
    }
    SECTION("client destroyed")
    {
        send(5s);
        runFor(200ms);
        sender.reset();
    }
    const auto delivered = peer.readAll();
    CAPTURE(delivered.bytes);
    CHECK(delivered.bytes < body.size());
    CHECK(delivered.end == boost::asio::error::connection_reset);
}

// Guards against calls that are carried out after the freeze of their sender: a frozen process closes no connection.
TEST_CASE_METHOD(undelivered_fixture, "a frozen client delivers nothing once the peer has not acknowledged in time",
                 "[http]")
{
    send(30s);
    runFor(200ms);
    std::this_thread::sleep_for(net::client_limits{}.unacknowledgedTimeout + 1s);
    const auto delivered = peer.readAll();
    CAPTURE(delivered.bytes);
    CHECK(delivered.bytes < body.size());
    CHECK(delivered.end == boost::asio::error::connection_reset);
}

// Guards against a limit that also ends calls which are merely slow to be answered.
TEST_CASE_METHOD(io_fixture, "an acknowledged request may be answered after the limit on unacknowledged bytes",
                 "[http]")
{
    net::http_client hurried{loop, {.unacknowledgedTimeout = 100ms}};
    std::shared_ptr<net::responder> pending;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &, auto answer) {
                                pending = std::move(answer);
                            }};
    std::optional<core::result<net::http_response>> result;
    hurried.send(server.address(), {}, 5s,
                 [&](core::result<net::http_response> answer, net::sent_state) { result = std::move(answer); });
    runUntil([&] { return pending != nullptr; });
    std::this_thread::sleep_for(500ms);
    pending->respond(net::makeResponse(200, "late"));
    runUntil([&] { return result.has_value(); });
    REQUIRE(*result);
    CHECK((*result)->body == "late");
}

// Guards against a call that a partition holds up and that is carried out when the partition ends.
TEST_CASE_METHOD(io_fixture, "a request held up by a partition is lost once it has timed out", "[http][proxy]")
{
    std::vector<std::string> handled;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &request, const auto &answer) {
                                handled.push_back(request.body);
                                answer->respond({});
                            }};
    const std::vector<standins::fault_proxy::route> routes{{"127.0.0.1:0", server.address()}};
    standins::fault_proxy proxy{loop, "127.0.0.1:0", routes};
    CHECK(call(proxy.address(0), {"POST", "/", {}, "before"}).answer);
    proxy.setFaults(0, {.cut = standins::proxy_cut::both});
    CHECK(call(proxy.address(0), {"POST", "/", {}, "during"}, 200ms).sent == net::sent_state::maybe_sent);
    loop.restart();
    loop.run_for(100ms);
    proxy.setFaults(0, {});
    CHECK(call(proxy.address(0), {"POST", "/", {}, "after"}).answer);
    loop.restart();
    loop.run_for(100ms);
    CHECK(handled == std::vector<std::string>{"before", "after"});
}

// Guards against an owner that drops a forwarded request because the connection of its sender was reset.
TEST_CASE_METHOD(io_fixture, "a reset of the caller's connection is a disconnect, and the request is still handled",
                 "[http]")
{
    bool disconnected = false;
    std::shared_ptr<net::responder> pending;
    net::http_server server{loop, "127.0.0.1:0", {}, [&](const net::http_request &, auto answer) {
                                pending = std::move(answer);
                                pending->onDisconnect([&] { disconnected = true; });
                            }};
    const auto outcome = call(server.address(), {"POST", "/", {}, "x"}, 200ms);
    CHECK(outcome.sent == net::sent_state::maybe_sent);
    runUntil([&] { return disconnected && server.connectionCount() == 0; });
    REQUIRE(pending);
    pending->respond({});
    const auto next = begin(server.address(), {});
    runUntil([&] { return server.connectionCount() == 1; });
    pending.reset();
    CHECK(next->completions == 0);
}

// Guards against an owner that freezes with a call that still needs a connection, and orders it after its term when it
// wakes: the connection is ready by then, and its event precedes the one of the timer.
TEST_CASE_METHOD(undelivered_fixture, "a request that is overdue when its connection is ready is not written", "[http]")
{
    constexpr auto timeout = 200ms;
    tcp::acceptor acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    net::http_client narrow{loop, {.connectionsPerEndpoint = 1}};
    std::optional<net::sent_state> sent;
    const auto sendLate = [&] {
        narrow.send(address, {"POST", "/late", {}, {}}, timeout, [&](const auto &answer, net::sent_state state) {
            CHECK_FALSE(answer);
            sent = state;
        });
    };
    std::optional<tcp::socket> connection;
    std::string received;
    SECTION("connecting")
    {
        sendLate();
        connection = acceptor.accept();
        std::this_thread::sleep_for(2 * timeout);
    }
    SECTION("waiting for a connection")
    {
        bool answered = false;
        narrow.send(address, {"POST", "/first", {}, {}}, 20s,
                    [&](const auto &answer, net::sent_state) { answered = answer.has_value(); });
        connection = acceptor.accept();
        runFor(50ms);
        std::array<char, 4096> chunk{};
        received.append(chunk.data(), connection->read_some(boost::asio::buffer(chunk)));
        sendLate();
        boost::asio::write(*connection, boost::asio::buffer(answerBytes("first")));
        std::this_thread::sleep_for(2 * timeout);
        runUntil([&] { return answered; });
    }
    runUntil([&] { return sent.has_value(); });
    CHECK(*sent == net::sent_state::not_sent);
    runFor(50ms);
    connection->non_blocking(true);
    std::array<char, 4096> chunk{};
    boost::system::error_code ignored;
    received.append(chunk.data(), connection->read_some(boost::asio::buffer(chunk), ignored));
    CHECK(received.find("/late") == std::string::npos);
}

// Guards against the rest of a large request that follows after the freeze of its sender and completes it.
TEST_CASE_METHOD(undelivered_fixture, "a request that is overdue is not written to its end", "[http]")
{
    const std::string large(std::size_t{16} * 1024 * 1024, 'l');
    tcp::acceptor acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::optional<net::sent_state> sent;
    sender->send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {"POST", "/", {}, large}, 300ms,
                 [&](const auto &, net::sent_state state) { sent = state; });
    auto connection = acceptor.accept();
    runFor(100ms);
    // The peer reads all that the client has written until then.
    connection.non_blocking(true);
    std::vector<char> chunk(std::size_t{1024} * 1024);
    std::size_t received = 0;
    const auto readAll = [&] {
        boost::system::error_code problem;
        while (!problem) {
            received += connection.read_some(boost::asio::buffer(chunk), problem);
        }
    };
    for (int round = 0; round < 40; ++round) {
        readAll();
        std::this_thread::sleep_for(10ms);
    }
    const auto beforeWaking = received;
    REQUIRE(beforeWaking < large.size());
    runUntil([&] { return sent.has_value(); });
    readAll();
    CHECK(*sent == net::sent_state::maybe_sent);
    CHECK(received == beforeWaking);
}
