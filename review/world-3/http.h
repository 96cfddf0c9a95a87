// A small HTTP/1.1 server on the scenario's event loop, and a blocking client.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace world3
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// \brief One call that a server received.
struct call
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::function<bool()> isOpen; ///< Whether the caller still holds the connection.
};

/// \brief Answers a call, at once or later, on the event loop.
using reply = std::function<void(int status, std::string body)>;

/// \brief Handles the calls of one server.
using handler = std::function<void(const call &, reply)>;

/// \brief A listener; closing it resets its connections.
class server : public std::enable_shared_from_this<server>
{
public:
    server(asio::io_context &loop, handler onCall);

    /// \brief Listens on a free port of 127.0.0.1, or on \p port.
    auto listen(unsigned short port = 0) -> void;
    /// \brief Stops listening; open connections stay silent, and a call on one of them resets it.
    auto leave() -> void;
    /// \brief Stops listening and resets all connections.
    auto close() -> void;
    [[nodiscard]] auto address() const -> std::string;

private:
    struct session;
    auto accept() -> void;

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    handler m_onCall;
    std::vector<std::weak_ptr<session>> m_sessions;
    unsigned short m_port = 0;
    bool m_left = false;
};

/// \brief Answer to a blocking call; status 0 when there was none.
struct answer
{
    int status = 0;
    std::string body;
};

/// \brief Makes one call on a connection of its own.
auto request(const std::string &address, const std::string &method, const std::string &path, const std::string &host,
             const std::string &body, int timeoutMs) -> answer;

/// \brief Returns a loopback address of its own for the process with \p number: no outgoing connection takes its ports.
auto hostAddress(int number) -> std::string;

/// \brief Returns \p count different free TCP ports of \p host, each as "IP:port".
auto freeAddresses(const std::string &host, std::size_t count) -> std::vector<std::string>;
} // namespace world3
