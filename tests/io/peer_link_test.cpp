#include "test_seed.h"

#include <poplarpass/net/handshake.h>
#include <poplarpass/net/peer_link.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace poplarpass;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{
constexpr auto waitTimeout = 10s;
constexpr const char *secret = "a shared key for tests";

// Runs the loop until the condition holds; returns false after waitTimeout.
template <class condition_type>
auto runUntil(boost::asio::io_context &context, condition_type condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(100ms);
    }
    return condition();
}

// A link that records its hook calls.
struct observed_link
{
    std::vector<std::string> received;
    std::vector<std::string> senders;
    std::vector<std::uint64_t> incarnations;
    std::vector<net::down_reason> downs;
    int ups = 0;
    std::unique_ptr<net::peer_link> link;

    observed_link(boost::asio::io_context &context, net::peer_link_options options)
    {
        net::peer_link_hooks hooks;
        hooks.onMessage = [this](const core::member_id &from, std::uint64_t incarnation, std::string bytes) {
            senders.push_back(from.str());
            incarnations.push_back(incarnation);
            received.push_back(std::move(bytes));
        };
        hooks.onUp = [this](const core::member_id &, std::uint64_t) {
            ++ups;
        };
        hooks.onDown = [this](const core::member_id &, net::down_reason reason) {
            downs.push_back(reason);
        };
        link = std::make_unique<net::peer_link>(context, std::move(options), std::move(hooks));
    }

    auto hasDown(net::down_reason reason) const -> bool
    {
        return std::ranges::find(downs, reason) != downs.end();
    }
};

auto optionsOf(const std::string &name, std::uint64_t incarnation = 1) -> net::peer_link_options
{
    net::peer_link_options options;
    options.name = core::member_id{name};
    options.incarnation = incarnation;
    options.listenAddress = "127.0.0.1:0";
    options.secret = secret;
    options.random = [engine = std::make_shared<std::mt19937_64>(tests::baseSeed())] {
        return (*engine)();
    };
    return options;
}

auto addressOf(const std::string &name, std::uint16_t port) -> net::peer_address
{
    return {core::member_id{name}, "127.0.0.1:" + std::to_string(port)};
}

// Returns a port that was free at the time of the call.
auto freePort(boost::asio::io_context &context) -> std::uint16_t
{
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    return acceptor.local_endpoint().port();
}

// Links a and b, each configured as a peer of the other.
struct linked_pair
{
    boost::asio::io_context context;
    observed_link a;
    observed_link b;

    explicit linked_pair(net::peer_link_options optionsA = optionsOf("a"),
                         net::peer_link_options optionsB = optionsOf("b"))
        : a{context, std::move(optionsA)}
        , b{context, std::move(optionsB)}
    {
        REQUIRE(a.link->listen());
        REQUIRE(b.link->listen());
        connectPeers();
    }

    auto connectPeers() -> void
    {
        const std::vector peers{addressOf("a", a.link->port()), addressOf("b", b.link->port())};
        a.link->setPeers(peers);
        b.link->setPeers(peers);
    }

    auto bothUp() -> bool
    {
        return runUntil(context, [this] { return isUp(a, "b") && isUp(b, "a"); });
    }

    static auto isUp(const observed_link &from, const std::string &to) -> bool
    {
        return from.link->isUp(core::member_id{to});
    }
};

// Sends raw bytes and reads until the other side closes the connection; returns false if it does not.
auto sendRaw(boost::asio::io_context &context, std::uint16_t port, const std::string &bytes) -> bool
{
    tcp::socket socket{context};
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::array<char, 4096> buffer{};
    bool closed = false;
    std::function<void()> read = [&] {
        socket.async_read_some(boost::asio::buffer(buffer), [&](const boost::system::error_code &problem, std::size_t) {
            closed = static_cast<bool>(problem);
            if (!problem) {
                read();
            }
        });
    };
    read();
    return runUntil(context, [&] { return closed; });
}
} // namespace

TEST_CASE("peers exchange messages in order, with the name of the sender", "[net]")
{
    linked_pair pair;
    REQUIRE(pair.bothUp());
    for (int index = 0; index < 200; ++index) {
        CHECK(pair.a.link->send(core::member_id{"b"}, std::to_string(index)));
    }
    CHECK(pair.b.link->send(core::member_id{"a"}, std::string(1 << 20, 'x')));
    REQUIRE(runUntil(pair.context, [&] { return pair.b.received.size() == 200 && pair.a.received.size() == 1; }));
    for (int index = 0; index < 200; ++index) {
        CHECK(pair.b.received[index] == std::to_string(index));
    }
    CHECK(pair.b.senders.front() == "a");
    CHECK(pair.a.received.front().size() == 1 << 20);
    CHECK(pair.a.ups == 1);
}

TEST_CASE("a process with another secret can neither connect nor be connected to", "[net]")
{
    auto otherSecretOptions = optionsOf("b");
    otherSecretOptions.secret = "another key for tests";
    linked_pair pair{optionsOf("a"), otherSecretOptions};
    REQUIRE(runUntil(pair.context, [&] {
        return pair.a.link->counters().unauthorised > 0 && pair.b.link->counters().unauthorised > 0;
    }));
    CHECK(pair.a.ups == 0);
    CHECK(pair.b.ups == 0);
    CHECK(pair.a.hasDown(net::down_reason::closed));
    CHECK_FALSE(pair.a.link->send(core::member_id{"b"}, "x"));
    CHECK(pair.a.link->counters().droppedOutgoing == 1);
}

TEST_CASE("a connection from a name that is not among the peers is rejected", "[net]")
{
    linked_pair pair{optionsOf("a"), optionsOf("stranger")};
    pair.b.link->setPeers(std::vector{addressOf("a", pair.a.link->port())});
    REQUIRE(runUntil(pair.context, [&] { return pair.a.link->counters().unknownSender > 0; }));
    CHECK(pair.b.ups == 0);
    CHECK(pair.a.received.empty());
}

TEST_CASE("a message over the size limit is not sent, and receiving one closes the connection", "[net]")
{
    auto limited = optionsOf("b");
    limited.maxMessageBytes = 100;
    linked_pair pair{optionsOf("a"), limited};
    REQUIRE(pair.bothUp());
    CHECK_FALSE(pair.b.link->send(core::member_id{"a"}, std::string(101, 'x')));
    CHECK(pair.b.link->counters().oversized == 1);
    CHECK(pair.a.link->send(core::member_id{"b"}, std::string(101, 'x')));
    REQUIRE(runUntil(pair.context, [&] { return pair.a.hasDown(net::down_reason::closed); }));
    CHECK(pair.b.link->counters().oversized == 2);
    CHECK(pair.b.received.empty());
    REQUIRE(pair.bothUp());
    CHECK(pair.a.link->send(core::member_id{"b"}, std::string(100, 'x')));
    REQUIRE(runUntil(pair.context, [&] { return pair.b.received.size() == 1; }));
}

TEST_CASE("malformed input on the listening port is counted and does not affect other connections", "[net]")
{
    linked_pair pair;
    REQUIRE(pair.bothUp());
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OTAxMjM0NQ==\r\n\r\n";
    std::mt19937_64 random{tests::baseSeed()};
    std::string noise(2000, '\0');
    std::ranges::generate(noise, [&] { return static_cast<char>(random()); });
    // A masked binary frame whose five bytes are not a valid hello, and one with a declared length of 2^40 bytes.
    const std::string badHello{"\x82\x85\0\0\0\0hello", 11};
    const std::string hugeFrame{"\x82\xff\0\0\1\0\0\0\0\0\0\0\0\0", 14};
    const auto port = pair.a.link->port();
    CHECK(sendRaw(pair.context, port, "GET / HTTP/1.1\r\n\r\n"));
    CHECK(sendRaw(pair.context, port, noise + "\r\n\r\n"));
    CHECK(sendRaw(pair.context, port, upgrade + noise));
    CHECK(sendRaw(pair.context, port, upgrade + badHello));
    CHECK(pair.a.link->counters().malformed >= 3);
    CHECK(sendRaw(pair.context, port, upgrade + hugeFrame));
    CHECK(pair.a.link->counters().oversized == 1);
    CHECK(pair.a.link->send(core::member_id{"b"}, "still here"));
    REQUIRE(runUntil(pair.context, [&] { return pair.b.received.size() == 1; }));
    CHECK(pair.a.downs.empty());
}

TEST_CASE("a port without a listener is reported as refused, one that never responds as timed out", "[net]")
{
    boost::asio::io_context context;
    auto options = optionsOf("a");
    options.openTimeout = 100ms;
    observed_link a{context, options};
    REQUIRE(a.link->listen());
    a.link->setPeers(std::vector{addressOf("b", freePort(context))});
    REQUIRE(runUntil(context, [&] { return a.downs.size() >= 2; }));
    CHECK(a.downs[0] == net::down_reason::refused);
    CHECK(a.downs[1] == net::down_reason::refused);
    const tcp::acceptor silent{context, {boost::asio::ip::address_v4::loopback(), 0}};
    a.downs.clear();
    a.link->setPeers(std::vector{addressOf("b", silent.local_endpoint().port())});
    REQUIRE(runUntil(context, [&] { return !a.downs.empty(); }));
    CHECK(a.downs[0] == net::down_reason::timed_out);
}

TEST_CASE("a stopped peer is reported as closed, then refused, and reconnects after a restart at the same address",
          "[net]")
{
    linked_pair pair;
    REQUIRE(pair.bothUp());
    const auto port = pair.b.link->port();
    pair.b.link->close();
    REQUIRE(runUntil(pair.context, [&] { return pair.a.hasDown(net::down_reason::refused); }));
    CHECK(pair.a.downs.front() == net::down_reason::closed);
    auto options = optionsOf("b", 2);
    options.listenAddress = "127.0.0.1:" + std::to_string(port);
    observed_link replacement{pair.context, options};
    REQUIRE(replacement.link->listen());
    replacement.link->setPeers(std::vector{addressOf("a", pair.a.link->port())});
    REQUIRE(runUntil(pair.context, [&] { return pair.a.ups == 2; }));
    CHECK(pair.a.hasDown(net::down_reason::superseded_incarnation));
    REQUIRE(runUntil(pair.context, [&] { return linked_pair::isUp(replacement, "a"); }));
    REQUIRE(replacement.link->send(core::member_id{"a"}, "new"));
    REQUIRE(runUntil(pair.context, [&] { return pair.a.received.size() == 1; }));
    CHECK(pair.a.incarnations.front() == 2);
}

TEST_CASE("a new incarnation supersedes one that is still connected, which is not admitted again", "[net]")
{
    linked_pair pair;
    REQUIRE(pair.bothUp());
    observed_link replacement{pair.context, optionsOf("b", 2)};
    REQUIRE(replacement.link->listen());
    replacement.link->setPeers(std::vector{addressOf("a", pair.a.link->port())});
    REQUIRE(runUntil(pair.context, [&] { return pair.a.hasDown(net::down_reason::superseded_incarnation); }));
    REQUIRE(runUntil(pair.context, [&] { return pair.a.link->counters().staleIncarnation > 1; }));
    CHECK_FALSE(linked_pair::isUp(pair.a, "b"));
    pair.a.link->setPeers(std::vector{addressOf("b", replacement.link->port())});
    REQUIRE(runUntil(pair.context, [&] { return linked_pair::isUp(pair.a, "b"); }));
    REQUIRE(pair.a.link->send(core::member_id{"b"}, "to the new one"));
    REQUIRE(runUntil(pair.context, [&] { return replacement.received.size() == 1; }));
    CHECK(pair.b.received.empty());
}

TEST_CASE("a peer that stops responding times out", "[net]")
{
    boost::asio::io_context stalled;
    boost::asio::io_context context;
    auto options = optionsOf("a");
    options.pingInterval = 20ms;
    options.receiveTimeout = 200ms;
    observed_link a{context, options};
    observed_link b{stalled, optionsOf("b")};
    REQUIRE(a.link->listen());
    REQUIRE(b.link->listen());
    a.link->setPeers(std::vector{addressOf("b", b.link->port())});
    b.link->setPeers(std::vector{addressOf("a", a.link->port())});
    REQUIRE(runUntil(context, [&] {
        stalled.poll();
        return linked_pair::isUp(a, "b") && linked_pair::isUp(b, "a");
    }));
    REQUIRE(runUntil(context, [&] { return !a.downs.empty(); }));
    CHECK(a.downs.front() == net::down_reason::timed_out);
}

TEST_CASE("messages beyond the queue limit of a slow peer are dropped and counted", "[net]")
{
    boost::asio::io_context stalled;
    boost::asio::io_context context;
    auto options = optionsOf("a");
    options.maxQueuedBytes = 1 << 20;
    observed_link a{context, options};
    observed_link b{stalled, optionsOf("b")};
    REQUIRE(a.link->listen());
    REQUIRE(b.link->listen());
    a.link->setPeers(std::vector{addressOf("b", b.link->port())});
    b.link->setPeers(std::vector{addressOf("a", a.link->port())});
    REQUIRE(runUntil(context, [&] {
        stalled.poll();
        return linked_pair::isUp(a, "b");
    }));
    const std::string message(100'000, 'x');
    std::size_t accepted = 0;
    while (a.link->send(core::member_id{"b"}, message)) {
        ++accepted;
        context.poll();
    }
    CHECK(a.link->counters().droppedOutgoing == 1);
    CHECK(accepted >= 10);
    REQUIRE(runUntil(context, [&] {
        stalled.poll();
        return b.received.size() == accepted;
    }));
    CHECK(a.link->send(core::member_id{"b"}, message));
}

TEST_CASE("modified, replayed or truncated frames are rejected", "[net]")
{
    net::frame_sealer sealer{"key"};
    const auto first = sealer.seal(net::frame_type::data, "payload");
    const auto second = sealer.seal(net::frame_type::data, "payload");
    for (std::size_t index = 0; index < first.size(); ++index) {
        auto changed = first;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        CHECK(net::frame_opener{"key"}.open(changed).problem);
        CHECK(net::frame_opener{"key"}.open(first.substr(0, index)).problem);
    }
    net::frame_opener opener{"key"};
    CHECK(opener.open(second).problem == net::frame_problem::replayed);
    CHECK(opener.open(first).payload == "payload");
    CHECK(opener.open(first).problem == net::frame_problem::replayed);
    CHECK_FALSE(opener.open(second).problem);
    CHECK(net::frame_opener{"other"}.open(first).problem == net::frame_problem::unauthorised);
}

TEST_CASE("proofs are bound to the names, the incarnations and both nonces", "[net]")
{
    const net::peer_identity a{core::member_id{"a"}, 7};
    const net::peer_identity b{core::member_id{"b"}, 9};
    net::client_handshake client{secret, a, b.name};
    net::server_handshake server{secret, b};
    const auto challenge = server.acceptHello(client.hello());
    REQUIRE(challenge);
    CHECK(server.client() == a);
    const auto proof = client.acceptChallenge(*challenge);
    REQUIRE(proof);
    CHECK(client.server() == b);
    CHECK(server.acceptProof(*proof));
    auto clientChannel = client.channel();
    auto serverChannel = server.channel();
    CHECK(serverChannel.opener.open(clientChannel.sealer.seal(net::frame_type::data, "x")).payload == "x");
    CHECK(client.channel().opener.open(clientChannel.sealer.seal(net::frame_type::data, "x")).problem);

    net::server_handshake again{secret, b};
    REQUIRE(again.acceptHello(client.hello()));
    CHECK_FALSE(again.acceptProof(*proof));
    net::server_handshake other{secret, {core::member_id{"c"}, 9}};
    CHECK(other.acceptHello(client.hello()).error().kind == core::error_kind::unauthorised);
    CHECK_FALSE(server.acceptProof(challenge->substr(challenge->size() - net::macBytes)));
    for (std::size_t index = 0; index < challenge->size(); ++index) {
        auto changed = *challenge;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        CHECK_FALSE(client.acceptChallenge(changed));
    }
}

TEST_CASE("messages sent before close() are delivered", "[net]")
{
    linked_pair pair;
    REQUIRE(pair.bothUp());
    for (int index = 0; index < 50; ++index) {
        REQUIRE(pair.a.link->send(core::member_id{"b"}, std::string(10'000, 'x')));
    }
    pair.a.link->close();
    CHECK_FALSE(pair.a.link->send(core::member_id{"b"}, "late"));
    REQUIRE(runUntil(pair.context, [&] { return pair.b.hasDown(net::down_reason::refused); }));
    CHECK(pair.b.received.size() == 50);
    CHECK(pair.a.downs.empty());
}

TEST_CASE("a hook may close or destroy its link", "[net]")
{
    linked_pair pair;
    REQUIRE(pair.bothUp());
    boost::asio::io_context &context = pair.context;
    for (const bool destroy : {false, true}) {
        std::unique_ptr<net::peer_link> link;
        bool ended = false;
        const auto end = [&] {
            ended = true;
            destroy ? link.reset() : link->close();
        };
        net::peer_link_hooks hooks;
        hooks.onMessage = [&](const core::member_id &, std::uint64_t, const std::string &) {
            end();
        };
        hooks.onUp = [&](const core::member_id &, std::uint64_t) {
            pair.a.link->setPeers(std::vector{addressOf("c", link->port())});
        };
        hooks.onDown = [](const core::member_id &, net::down_reason) {
        };
        link = std::make_unique<net::peer_link>(context, optionsOf("c", destroy ? 2 : 1), hooks);
        REQUIRE(link->listen());
        pair.a.link->setPeers(std::vector{addressOf("c", link->port())});
        link->setPeers(std::vector{addressOf("a", pair.a.link->port())});
        REQUIRE(runUntil(context, [&] { return linked_pair::isUp(pair.a, "c"); }));
        REQUIRE(pair.a.link->send(core::member_id{"c"}, "end"));
        REQUIRE(runUntil(context, [&] { return ended && !linked_pair::isUp(pair.a, "c"); }));
    }
}

TEST_CASE("connections over the limit are rejected", "[net]")
{
    boost::asio::io_context context;
    auto options = optionsOf("a");
    options.maxIncoming = 2;
    options.openTimeout = 100ms;
    observed_link a{context, options};
    REQUIRE(a.link->listen());
    std::vector<tcp::socket> sockets;
    for (int index = 0; index < 5; ++index) {
        sockets.emplace_back(context).connect({boost::asio::ip::address_v4::loopback(), a.link->port()});
    }
    REQUIRE(runUntil(context, [&] { return a.link->counters().rejectedIncoming == 3; }));
    bool closed = false;
    std::array<char, 1> byte{};
    sockets.front().async_read_some(
        boost::asio::buffer(byte),
        [&](const boost::system::error_code &problem, std::size_t) { closed = static_cast<bool>(problem); });
    REQUIRE(runUntil(context, [&] { return closed; }));
}
