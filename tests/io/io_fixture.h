#pragma once

#include <poplarpass/net.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tests
{
using namespace std::chrono_literals;
namespace net = poplarpass::net;
namespace core = poplarpass::core;

/// \brief An event loop with an HTTP client; a test fails when an awaited event does not occur within waitTimeout.
struct io_fixture
{
    /// \brief Result of one request.
    struct exchange
    {
        int completions = 0;
        core::result<net::http_response> answer;
        net::sent_state sent = net::sent_state::maybe_sent;
    };

    static constexpr std::chrono::seconds waitTimeout{20};

    boost::asio::io_context loop;
    net::http_client client{loop, {}};

    /// \brief Runs the loop until \p happened returns true.
    auto runUntil(const std::function<bool()> &happened) -> void
    {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!happened() && std::chrono::steady_clock::now() < end) {
            loop.run_one_until(end);
            loop.restart();
        }
        REQUIRE(happened());
    }

    /// \brief Sends a request; the returned result is set on completion.
    auto begin(const std::string &address, net::http_request request, core::duration timeout = 5s)
        -> std::shared_ptr<exchange>
    {
        auto outcome = std::make_shared<exchange>();
        client.send(address, std::move(request), timeout,
                    [outcome](core::result<net::http_response> answer, net::sent_state sent) {
                        ++outcome->completions;
                        outcome->answer = std::move(answer);
                        outcome->sent = sent;
                    });
        return outcome;
    }

    /// \brief Sends a request and waits for its result.
    auto call(const std::string &address, net::http_request request, core::duration timeout = 5s) -> exchange
    {
        const auto outcome = begin(address, std::move(request), timeout);
        runUntil([&] { return outcome->completions > 0; });
        return *outcome;
    }

    /// \brief Calls \p start and waits for the value passed to its completion handler.
    template <class value_type>
    auto await(const std::function<void(std::function<void(value_type)>)> &start) -> value_type
    {
        const auto value = std::make_shared<std::optional<value_type>>();
        start([value](value_type given) { *value = std::move(given); });
        runUntil([&] { return value->has_value(); });
        return **value;
    }
};

/// \brief A TCP peer that sends the given bytes and stores the bytes received.
class raw_peer
{
public:
    explicit raw_peer(boost::asio::ip::tcp::socket socket)
        : m_socket{std::move(socket)}
    {
    }

    raw_peer(boost::asio::io_context &loop, std::uint16_t port)
        : m_socket{loop}
    {
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    /// \brief Starts receiving; \p onData is called after each read.
    auto receive(std::function<void()> onData = [] {}) -> void
    {
        m_socket.async_read_some(
            boost::asio::buffer(m_chunk),
            [this, onData = std::move(onData)](boost::system::error_code problem, std::size_t size) {
                received.append(m_chunk.data(), size);
                closed = problem.failed();
                if (problem != boost::asio::error::operation_aborted) {
                    onData();
                }
                if (!problem) {
                    receive(onData);
                }
            });
    }

    auto send(std::string_view bytes) -> void
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    auto endSending() -> void
    {
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    auto close() -> void
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    /// \brief Closes the connection with a TCP reset, which discards everything that was not delivered.
    auto reset() -> void
    {
        m_socket.set_option(boost::asio::ip::tcp::socket::linger{true, 0});
        m_socket.close();
    }

    std::string received;
    bool closed = false;

private:
    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_chunk{};
};

/// \brief Server that responds to the n-th request, counted over all connections, with the bytes of a script.
class scripted_server
{
public:
    /// \brief Response to one request.
    struct step
    {
        std::string bytes; ///< Sent unchanged.
        bool closes = false; ///< Whether the connection is closed afterwards.
    };

    using script = std::function<step(std::size_t index, const std::string &request)>;

    scripted_server(boost::asio::io_context &loop, script answers)
        : m_acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}}
        , m_answers{std::move(answers)}
    {
        accept();
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    std::vector<std::unique_ptr<raw_peer>> peers;
    std::size_t requests = 0;

private:
    auto accept() -> void
    {
        m_acceptor.async_accept([this](boost::system::error_code problem, boost::asio::ip::tcp::socket socket) {
            if (problem) {
                return;
            }
            peers.push_back(std::make_unique<raw_peer>(std::move(socket)));
            auto *peer = peers.back().get();
            peer->receive([this, peer] { answer(*peer); });
            accept();
        });
    }

    auto answer(raw_peer &peer) -> void
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const auto request = std::exchange(peer.received, {});
        const auto reply = m_answers(requests++, request);
        peer.send(reply.bytes);
        if (reply.closes) {
            peer.close();
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_answers;
};

/// \brief Returns the bytes of a complete response with \p body.
inline auto answerBytes(const std::string &body, const std::string &headers = {}) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// \brief Returns an address at which connections are refused.
inline auto refusingAddress(boost::asio::io_context &loop) -> std::string
{
    const boost::asio::ip::tcp::acceptor acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}
} // namespace tests
