#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{
constexpr int pollMs = 20;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int bindLoopback(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        throw std::runtime_error{"cannot bind a loopback port"};
    }
    return descriptor;
}

int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

void parseTarget(const std::string &target, Request &request)
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query.clear();
    std::string rest = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        request.query[decodePercent(item.substr(0, equals))] =
            equals < item.size() ? decodePercent(item.substr(equals + 1)) : std::string{};
        rest = end < rest.size() ? rest.substr(end + 1) : std::string{};
    }
}

/// Parses a header section without its empty line. \returns the first line
std::string parseHeaders(const std::string &section, std::map<std::string, std::string> &headers)
{
    headers.clear();
    std::string first;
    std::size_t position = 0;
    while (position <= section.size()) {
        const auto end = std::min(section.find("\r\n", position), section.size());
        const auto line = section.substr(position, end - position);
        position = end + 2;
        if (first.empty()) {
            first = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto begin = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] = begin == std::string::npos ? std::string{} : line.substr(begin);
        }
    }
    return first;
}

bool sendAll(int descriptor, const std::string &data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const auto count = send(descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string render(const Response &response)
{
    return "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: " + response.type
        + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}
} // namespace

std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{std::max<std::int64_t>(ms, 0)});
}

std::string Request::header(const std::string &name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string{} : found->second;
}

std::string Request::parameter(const std::string &name, const std::string &fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

std::int64_t Request::number(const std::string &name, std::int64_t fallback) const
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? fallback : std::stoll(found->second);
}

Server::Server(Handler handler)
    : m_handler{std::move(handler)}
    , m_listener{bindLoopback(0)}
    , m_port{portOf(m_listener)}
{
    listen(m_listener, 256);
    m_acceptor = std::thread{[this] {
        acceptLoop();
    }};
}

Server::~Server()
{
    m_stopping = true;
    m_acceptor.join();
    close(m_listener);
    reap(true);
}

std::string Server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void Server::setCut(bool cut)
{
    ++m_generation;
    m_cut = cut;
}

bool Server::isCut() const
{
    return m_cut;
}

void Server::setDown(bool down)
{
    ++m_generation;
    m_down = down;
}

void Server::acceptLoop()
{
    while (!m_stopping) {
        pollfd entry{m_listener, POLLIN, 0};
        if (poll(&entry, 1, pollMs) <= 0) {
            reap(false);
            continue;
        }
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_unique<Connection>();
        connection->socket = descriptor;
        auto &reference = *connection;
        const std::lock_guard lock{m_mutex};
        m_connections.push_back(std::move(connection));
        reference.thread = std::thread{[this, &reference] {
            serve(reference);
        }};
    }
}

void Server::reap(bool all)
{
    std::vector<std::unique_ptr<Connection>> ended;
    {
        const std::lock_guard lock{m_mutex};
        for (auto &connection : m_connections) {
            if (all || connection->done) {
                ended.push_back(std::move(connection));
            }
        }
        std::erase(m_connections, nullptr);
    }
    for (auto &connection : ended) {
        connection->thread.join();
    }
}

// Waits for bytes. Returns false when the connection has to be closed: it lived through a cut that is over, or the
// process ended.
bool Server::waitReadable(int socket, std::uint64_t generation)
{
    while (!m_stopping) {
        if (m_generation != generation) {
            if (m_cut) {
                sleepMs(pollMs);
                continue;
            }
            return false;
        }
        pollfd entry{socket, POLLIN, 0};
        if (poll(&entry, 1, pollMs) > 0) {
            return m_generation == generation;
        }
    }
    return false;
}

bool Server::readRequest(int socket, std::string &buffer, Request &request, std::uint64_t generation)
{
    char chunk[16384];
    std::size_t needed = 0;
    bool parsed = false;
    std::size_t bodyStart = 0;
    while (true) {
        if (!parsed) {
            const auto end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                const auto first = parseHeaders(buffer.substr(0, end), request.headers);
                const auto space = first.find(' ');
                request.method = first.substr(0, space);
                parseTarget(first.substr(space + 1, first.rfind(' ') - space - 1), request);
                const auto length = request.header("content-length");
                bodyStart = end + 4;
                needed = bodyStart + (length.empty() ? 0 : std::stoul(length));
                parsed = true;
            }
        }
        if (parsed && buffer.size() >= needed) {
            request.body = buffer.substr(bodyStart, needed - bodyStart);
            buffer.erase(0, needed);
            return true;
        }
        if (!waitReadable(socket, generation)) {
            return false;
        }
        const auto count = recv(socket, chunk, sizeof chunk, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

void Server::serve(Connection &connection)
{
    std::string buffer;
    Request request;
    const std::uint64_t generation = m_generation;
    const bool madeDuringCut = m_cut;
    while (m_cut && !m_stopping) {
        sleepMs(pollMs);
    }
    if (madeDuringCut) {
        close(connection.socket);
        connection.done = true;
        return;
    }
    while (!m_down && readRequest(connection.socket, buffer, request, generation)) {
        const auto response = m_handler(request);
        if (response.silent) {
            while (!m_stopping && m_generation == generation) {
                sleepMs(pollMs);
            }
            break;
        }
        if (m_generation != generation) {
            waitReadable(connection.socket, generation);
            break;
        }
        if (!sendAll(connection.socket, render(response))) {
            break;
        }
    }
    close(connection.socket);
    connection.done = true;
}

Reply call(const std::string &address, const std::string &method, const std::string &path,
           const std::map<std::string, std::string> &headers, const std::string &body, std::int64_t timeoutMs)
{
    const auto begin = nowMs();
    Reply reply;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto endpoint = loopback(std::stoi(address.substr(address.rfind(':') + 1)));
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&endpoint), sizeof endpoint) == 0
        && sendAll(descriptor, text)) {
        std::size_t needed = std::string::npos;
        std::size_t bodyStart = 0;
        char chunk[16384];
        while (nowMs() - begin < timeoutMs) {
            pollfd entry{descriptor, POLLIN, 0};
            const auto left = timeoutMs - (nowMs() - begin);
            if (poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left, 1))) <= 0) {
                break;
            }
            const auto count = recv(descriptor, chunk, sizeof chunk, 0);
            if (count <= 0) {
                break;
            }
            buffer.append(chunk, static_cast<std::size_t>(count));
            const auto end = buffer.find("\r\n\r\n");
            if (needed == std::string::npos && end != std::string::npos) {
                std::map<std::string, std::string> fields;
                const auto first = parseHeaders(buffer.substr(0, end), fields);
                bodyStart = end + 4;
                needed = bodyStart + (fields.contains("content-length") ? std::stoul(fields["content-length"]) : 0);
                reply.status = std::stoi(first.substr(first.find(' ') + 1));
            }
            if (needed != std::string::npos && buffer.size() >= needed) {
                reply.body = buffer.substr(bodyStart, needed - bodyStart);
                reply.ms = nowMs() - begin;
                close(descriptor);
                return reply;
            }
        }
    }
    close(descriptor);
    return {0, {}, nowMs() - begin};
}

int freePort()
{
    const int descriptor = bindLoopback(0);
    const int port = portOf(descriptor);
    close(descriptor);
    return port;
}
} // namespace review
