#include <poplarpass/net/endpoint.h>
#include <poplarpass/net/http_connection.h>
#include <poplarpass/net/http_server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace poplarpass::net
{
namespace internal
{
using boost::asio::ip::tcp;
using boost::system::error_code;

/// \brief Acceptor and open connections of one server.
class server_state : public std::enable_shared_from_this<server_state>
{
public:
    server_state(boost::asio::io_context &loop, const tcp::endpoint &endpoint,
                 std::shared_ptr<connection_context> context)
        : m_loop{loop}
        , m_acceptor{loop, endpoint}
        , m_retryTimer{loop}
        , m_endpoint{m_acceptor.local_endpoint()}
        , m_context{std::move(context)}
    {
        m_acceptor.non_blocking(true);
    }

    auto start() -> void
    {
        m_context->makeRoom = [weak = weak_from_this()](http_connection &connection) {
            const auto self = weak.lock();
            return self && self->makeRoom(connection);
        };
        m_context->onClosed = [weak = weak_from_this()](http_connection &connection) {
            if (const auto self = weak.lock()) {
                self->remove(connection);
            }
        };
        accept();
    }

    auto stop() -> void
    {
        closeAcceptor();
        m_onDrained = nullptr;
        const auto connections = std::exchange(m_connections, {});
        for (const auto &[key, connection] : connections) {
            connection->close();
        }
    }

    // Closing the acceptor resets the connections in its backlog, so they are accepted first.
    auto drain() -> void
    {
        if (m_context->draining) {
            return;
        }
        acceptPending();
        m_context->draining = true;
        closeAcceptor();
        for (const auto &[key, connection] : m_connections) {
            connection->beginDrain();
        }
        finishDrain();
    }

    auto setOnDrained(std::function<void()> hook) -> void
    {
        m_onDrained = std::move(hook);
        finishDrain();
    }

    auto setBodyLimit(std::function<std::uint64_t()> limit) -> void
    {
        m_context->bodyLimit = std::move(limit);
    }

    [[nodiscard]] auto endpoint() const -> const tcp::endpoint &
    {
        return m_endpoint;
    }

    [[nodiscard]] auto connectionCount() const -> std::size_t
    {
        return m_connections.size();
    }

private:
    auto accept() -> void
    {
        if (m_accepting || !m_acceptor.is_open()) {
            return;
        }
        m_accepting = true;
        if (isFull()) {
            awaitConnection();
        } else {
            acceptOne();
        }
    }

    auto acceptOne() -> void
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code problem, tcp::socket socket) {
            self->m_accepting = false;
            self->onAccepted(problem, std::move(socket));
        });
    }

    auto onAccepted(error_code problem, tcp::socket socket) -> void
    {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (problem) {
            scheduleAcceptRetry();
            return;
        }
        add(std::move(socket));
        accept();
    }

    auto awaitConnection() -> void
    {
        m_acceptor.async_wait(tcp::acceptor::wait_read, [self = shared_from_this()](error_code problem) {
            self->m_accepting = false;
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (problem || (self->isFull() && !self->evictConnection())) {
                self->scheduleAcceptRetry();
            } else {
                self->accept();
            }
        });
    }

    auto acceptPending() -> void
    {
        while (m_acceptor.is_open() && !isFull()) {
            error_code problem;
            tcp::socket socket{m_loop};
            m_acceptor.accept(socket, problem);
            if (problem) {
                return;
            }
            add(std::move(socket));
        }
    }

    auto add(tcp::socket socket) -> void
    {
        const auto connection = std::make_shared<http_connection>(std::move(socket), m_context);
        m_connections.emplace(connection->id(), connection);
        connection->start();
    }

    [[nodiscard]] auto isFull() const -> bool
    {
        return m_connections.size() >= m_context->limits.maxConnections;
    }

    // At the limit, the connection with the longest idle time is closed in favour of a new one. A connection that
    // became idle less than evictableIdleTime ago may have a request in flight, so it stays open and the new one waits
    // in the backlog. Without an idle one, the request that takes longest to arrive gives way.
    auto evictConnection() -> bool
    {
        const auto now = std::chrono::steady_clock::now();
        return evictLongest([now](const auto &entry) { return entry.second->idleTime(now); }, evictableIdleTime)
            || evictLongest([now](const auto &entry) { return entry.second->readingTime(now); }, evictableReadingTime);
    }

    template <class time_function>
    auto evictLongest(const time_function &timeOf, std::chrono::nanoseconds minimum) -> bool
    {
        const auto longest = std::ranges::max_element(m_connections, {}, timeOf);
        if (longest == m_connections.end() || timeOf(*longest) < minimum) {
            return false;
        }
        const auto connection = longest->second;
        m_connections.erase(longest);
        connection->close();
        return true;
    }

    auto makeRoom(http_connection &requester) -> bool
    {
        while (m_context->memory.isExceeded()) {
            const auto next = m_context->memory.nextToRelease();
            const auto found = next ? m_connections.find(*next) : m_connections.end();
            if (found == m_connections.end() || found->second.get() == &requester) {
                return false;
            }
            const auto connection = found->second;
            connection->giveWay();
        }
        return true;
    }

    auto remove(http_connection &connection) -> void
    {
        m_connections.erase(connection.id());
        accept();
        finishDrain();
    }

    auto scheduleAcceptRetry() -> void
    {
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([weak = weak_from_this()](error_code problem) {
            const auto self = weak.lock();
            if (self && !problem) {
                self->accept();
            }
        });
    }

    auto closeAcceptor() -> void
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel();
    }

    auto finishDrain() -> void
    {
        if (m_context->draining && m_connections.empty() && m_onDrained) {
            boost::asio::post(m_loop, std::exchange(m_onDrained, nullptr));
        }
    }

    boost::asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    tcp::endpoint m_endpoint;
    std::shared_ptr<connection_context> m_context;
    std::unordered_map<memory_budget::holder_id, std::shared_ptr<http_connection>> m_connections;
    std::function<void()> m_onDrained;
    bool m_accepting = false;
};
} // namespace internal

responder::responder(std::shared_ptr<internal::http_connection> connection)
    : m_connection{std::move(connection)}
{
}

responder::~responder()
{
    if (m_connection) {
        const core::error unanswered{core::error_kind::internal, "the request was dropped", std::nullopt};
        m_connection->respond(defaultErrorResponse(unanswered));
    }
}

auto responder::respond(http_response response) -> void
{
    assert(m_connection && "request was already answered or disconnected");
    const auto connection = std::exchange(m_connection, nullptr);
    if (connection) {
        connection->respond(std::move(response));
    }
}

auto responder::disconnect() -> void
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (connection) {
        connection->setOnDisconnect(nullptr);
        connection->close();
    }
}

auto responder::onDisconnect(std::function<void()> hook) -> void
{
    if (m_connection) {
        m_connection->setOnDisconnect(std::move(hook));
    }
}

auto defaultErrorResponse(const core::error &problem) -> http_response
{
    const auto &answer = core::errorSpecOf(problem.kind);
    auto response = makeResponse(answer.httpStatus, R"({"error":")" + std::string{answer.name} + R"("})");
    if (answer.retryAfter.count() > 0) {
        response.headers.push_back({"Retry-After", std::to_string(answer.retryAfter.count())});
    }
    return response;
}

http_server::http_server(boost::asio::io_context &loop, std::string_view address, const server_limits &limits,
                         http_handler handler, error_responder onError)
{
    assert(handler && onError);
    auto context = std::make_shared<internal::connection_context>(limits);
    context->handler = std::move(handler);
    context->onError = std::move(onError);
    m_state = std::make_shared<internal::server_state>(loop, internal::parseEndpoint(address), std::move(context));
    m_state->start();
}

http_server::~http_server()
{
    m_state->stop();
}

auto http_server::setBodyLimit(std::function<std::uint64_t()> limit) -> void
{
    m_state->setBodyLimit(std::move(limit));
}

auto http_server::port() const -> std::uint16_t
{
    return m_state->endpoint().port();
}

auto http_server::address() const -> std::string
{
    return internal::formatEndpoint(m_state->endpoint());
}

auto http_server::connectionCount() const -> std::size_t
{
    return m_state->connectionCount();
}

auto http_server::drain() -> void
{
    m_state->drain();
}

auto http_server::setOnDrained(std::function<void()> hook) -> void
{
    m_state->setOnDrained(std::move(hook));
}
} // namespace poplarpass::net
