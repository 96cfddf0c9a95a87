#include "http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace world3
{
namespace
{
auto splitTarget(const std::string &target, call &out) -> void
{
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    if (mark == std::string::npos) {
        return;
    }
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, end);
        const auto equals = item.find('=');
        std::string value = equals == std::string::npos ? "" : item.substr(equals + 1);
        std::string decoded;
        for (std::size_t at = 0; at < value.size(); ++at) {
            if (value[at] == '%' && at + 2 < value.size()) {
                decoded += static_cast<char>(std::strtol(value.substr(at + 1, 2).c_str(), nullptr, 16));
                at += 2;
            } else {
                decoded += value[at];
            }
        }
        out.query[item.substr(0, equals)] = decoded;
        rest.erase(0, std::min(end + 1, rest.size()));
    }
}
} // namespace

struct server::session : std::enable_shared_from_this<server::session>
{
    session(tcp::socket peer, std::shared_ptr<server> in)
        : socket{std::move(peer)}
        , owner{std::move(in)}
        , handle{owner->m_onCall}
    {
    }

    auto read() -> void
    {
        parser.emplace();
        parser->body_limit(8 * 1024 * 1024);
        http::async_read(socket, buffer, *parser, [self = shared_from_this()](beast::error_code problem, std::size_t) {
            if (!problem) {
                self->onRead();
            }
        });
    }

    auto onRead() -> void
    {
        if (owner->m_left) {
            reset();
            return;
        }
        const auto &message = parser->get();
        call received;
        received.method = std::string{message.method_string()};
        splitTarget(std::string{message.target()}, received);
        for (const auto &field : message) {
            std::string name{field.name_string()};
            for (auto &character : name) {
                character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
            }
            received.headers[name] = std::string{field.value()};
        }
        received.body = message.body();
        received.isOpen = [weak = weak_from_this()] {
            const auto self = weak.lock();
            char byte = 0;
            return self
                && (recv(self->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0 || errno == EAGAIN
                    || errno == EWOULDBLOCK);
        };
        auto answered = std::make_shared<bool>(false);
        handle(received, [self = shared_from_this(), answered](int status, std::string body) {
            if (!std::exchange(*answered, true)) {
                self->write(status, std::move(body));
            }
        });
    }

    auto write(int status, std::string body) -> void
    {
        response.emplace(static_cast<http::status>(status), 11);
        response->set(http::field::content_type, "application/json");
        response->body() = std::move(body);
        response->prepare_payload();
        http::async_write(socket, *response, [self = shared_from_this()](beast::error_code problem, std::size_t) {
            if (!problem) {
                self->read();
            }
        });
    }

    auto reset() -> void
    {
        beast::error_code ignored;
        socket.set_option(tcp::socket::linger{true, 0}, ignored);
        socket.close(ignored);
    }

    tcp::socket socket;
    std::shared_ptr<server> owner;
    handler &handle;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::string_body>> response;
};

server::server(asio::io_context &loop, handler onCall)
    : m_loop{loop}
    , m_acceptor{loop}
    , m_onCall{std::move(onCall)}
{
}

auto server::listen(unsigned short port) -> void
{
    const tcp::endpoint endpoint{asio::ip::make_address("127.0.0.1"), port};
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address{true});
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
    accept();
}

auto server::accept() -> void
{
    m_acceptor.async_accept([self = shared_from_this()](beast::error_code problem, tcp::socket peer) {
        if (problem) {
            return;
        }
        auto opened = std::make_shared<session>(std::move(peer), self);
        std::erase_if(self->m_sessions, [](const auto &entry) { return entry.expired(); });
        self->m_sessions.push_back(opened);
        opened->read();
        self->accept();
    });
}

auto server::leave() -> void
{
    beast::error_code ignored;
    m_acceptor.close(ignored);
    m_left = true;
}

auto server::close() -> void
{
    beast::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &entry : m_sessions) {
        if (const auto opened = entry.lock()) {
            opened->reset();
        }
    }
    m_sessions.clear();
}

auto server::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_port);
}

auto hostAddress(int number) -> std::string
{
    const auto own = static_cast<int>(getpid());
    return "127." + std::to_string(10 + own % 240) + "." + std::to_string(own / 240 % 250) + "."
        + std::to_string(number);
}

auto freeAddresses(const std::string &host, std::size_t count) -> std::vector<std::string>
{
    asio::io_context loop;
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::string> addresses;
    while (addresses.size() < count) {
        acceptors.emplace_back(loop, tcp::endpoint{asio::ip::make_address(host), 0});
        addresses.push_back(host + ":" + std::to_string(acceptors.back().local_endpoint().port()));
    }
    return addresses;
}

auto request(const std::string &address, const std::string &method, const std::string &path, const std::string &host,
             const std::string &body, int timeoutMs) -> answer
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeoutMs};
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    answer result;
    std::string text;
    if (connect(handle, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0) {
        const auto message = method + " " + path + " HTTP/1.1\r\nHost: " + host
            + "\r\nContent-Type: application/json\r\nConnection: close\r\nPoplarpass-Deadline-Ms: "
            + std::to_string(timeoutMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        while (sent < message.size()) {
            const auto count = send(handle, message.data() + sent, message.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(count);
        }
        while (true) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now())
                    .count();
            pollfd waiting{handle, POLLIN, 0};
            if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
                break;
            }
            char chunk[4096];
            const auto count = recv(handle, chunk, sizeof(chunk), 0);
            if (count <= 0) {
                break;
            }
            text.append(chunk, static_cast<std::size_t>(count));
        }
    }
    close(handle);
    const auto end = text.find("\r\n\r\n");
    if (text.size() > 12 && end != std::string::npos) {
        result.status = std::atoi(text.c_str() + 9);
        result.body = text.substr(end + 4);
    }
    return result;
}
} // namespace world3
