#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace harness
{
namespace
{
sockaddr_in endpointOf(const std::string &ip, int port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
    if (ip.rfind("127.", 0) != 0 || inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr) != 1) {
        throw std::runtime_error("not a loopback address: " + ip);
    }
    return endpoint;
}

int openListener(const std::string &ip, int port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto endpoint = endpointOf(ip, port);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0
        || listen(listener, 256) != 0) {
        close(listener);
        throw std::runtime_error("cannot listen at " + ip + ":" + std::to_string(port));
    }
    return listener;
}

int portOf(int socket)
{
    sockaddr_in endpoint{};
    socklen_t size = sizeof endpoint;
    getsockname(socket, reinterpret_cast<sockaddr *>(&endpoint), &size);
    return ntohs(endpoint.sin_port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string percentDecode(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// Reads one message with Content-Length from \p socket; \p rest holds bytes read beyond it.
bool readMessage(int socket, std::string &rest, std::string &firstLine, std::map<std::string, std::string> &headers,
                 std::string &body, std::optional<std::chrono::steady_clock::time_point> deadline)
{
    const auto readMore = [&] {
        if (deadline) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - std::chrono::steady_clock::now());
            pollfd wait{socket, POLLIN, 0};
            if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
                return false;
            }
        }
        char buffer[65536];
        const auto size = recv(socket, buffer, sizeof buffer, 0);
        if (size <= 0) {
            return false;
        }
        rest.append(buffer, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = 0;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    const auto head = rest.substr(0, end);
    rest.erase(0, end + 4);
    auto lineEnd = std::min(head.find("\r\n"), head.size());
    firstLine = head.substr(0, lineEnd);
    headers.clear();
    while (lineEnd < head.size()) {
        const auto begin = lineEnd + 2;
        lineEnd = std::min(head.find("\r\n", begin), head.size());
        const auto line = head.substr(begin, lineEnd - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    const auto length = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (rest.size() < length) {
        if (!readMore()) {
            return false;
        }
    }
    body = rest.substr(0, length);
    rest.erase(0, length);
    return true;
}

bool writeAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto size = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

http_request requestOf(const std::string &firstLine, std::map<std::string, std::string> headers, std::string body)
{
    http_request request;
    const auto first = firstLine.find(' ');
    const auto second = firstLine.find(' ', first + 1);
    request.method = firstLine.substr(0, first);
    const auto target = firstLine.substr(first + 1, second - first - 1);
    const auto question = std::min(target.find('?'), target.size());
    request.path = target.substr(0, question);
    std::size_t begin = question + 1;
    while (begin < target.size()) {
        const auto end = std::min(target.find('&', begin), target.size());
        const auto pair = target.substr(begin, end - begin);
        const auto equals = std::min(pair.find('='), pair.size());
        request.query[pair.substr(0, equals)] = equals < pair.size() ? percentDecode(pair.substr(equals + 1)) : "";
        begin = end + 1;
    }
    request.headers = std::move(headers);
    request.body = std::move(body);
    return request;
}
} // namespace

struct http_server::shared_state
{
    http_handler handler;
    int listener = -1;
    std::mutex mutex;
    std::set<int> sockets;
    bool stopped = false;
    std::atomic<int> connections{0};

    void serve(int socket)
    {
        std::string rest;
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
        while (readMessage(socket, rest, firstLine, headers, body, std::nullopt)) {
            const auto requestId = headers.count("x-request-id") ? headers["x-request-id"] : std::string{};
            const auto response = handler(requestOf(firstLine, headers, body));
            if (!response) {
                break;
            }
            auto text = "HTTP/1.1 " + std::to_string(response->status) + " X\r\nContent-Type: " + response->contentType
                + "\r\nContent-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
            if (!writeAll(socket, text)) {
                break;
            }
        }
        const std::lock_guard lock{mutex};
        if (sockets.erase(socket) > 0) {
            close(socket);
        }
    }
};

http_server::http_server(const std::string &ip, http_handler handler, int port)
    : m_ip{ip}
    , m_state{std::make_shared<shared_state>()}
{
    m_state->handler = std::move(handler);
    m_state->listener = openListener(ip, port);
    m_port = portOf(m_state->listener);
    m_acceptor = std::thread{[state = m_state] {
        while (true) {
            const int socket = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const std::lock_guard lock{state->mutex};
            if (state->stopped) {
                close(socket);
                return;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            state->sockets.insert(socket);
            ++state->connections;
            std::thread{[state, socket] {
                state->serve(socket);
                --state->connections;
            }}.detach();
        }
    }};
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (!m_acceptor.joinable()) {
        return;
    }
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->stopped = true;
        for (const int socket : m_state->sockets) {
            const linger reset{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(socket, SHUT_RDWR);
        }
        shutdown(m_state->listener, SHUT_RDWR);
    }
    m_acceptor.join();
    close(m_state->listener);
    while (m_state->connections > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

std::optional<http_response> sendRequest(const std::string &address, const std::string &method,
                                         const std::string &target, const std::map<std::string, std::string> &headers,
                                         const std::string &body, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto colon = address.rfind(':');
    const auto endpoint = endpointOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::optional<http_response> result;
    if (connect(connection, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) == 0) {
        auto text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string rest;
        std::string firstLine;
        std::map<std::string, std::string> answered;
        http_response response;
        if (writeAll(connection, text) && readMessage(connection, rest, firstLine, answered, response.body, deadline)) {
            response.status = std::stoi(firstLine.substr(firstLine.find(' ') + 1));
            result = response;
        }
    }
    close(connection);
    return result;
}

bool isFree(const std::string &ip, const std::vector<int> &ports)
{
    try {
        for (const int port : ports) {
            close(openListener(ip, port));
        }
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}
} // namespace harness
