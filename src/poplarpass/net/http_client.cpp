#include <poplarpass/net/client_connection.h>
#include <poplarpass/net/endpoint.h>
#include <poplarpass/net/http_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cassert>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

namespace poplarpass::net
{
namespace internal
{
using boost::asio::ip::tcp;

/// \brief A request that has not completed yet.
struct pending_request
{
    std::string address;
    http_request request;
    http_completion completion;
    core::monotonic_time sendBy;
    boost::asio::steady_timer timer;
    std::shared_ptr<client_connection> connection;
};

/// \brief Connections to one endpoint, and the requests waiting for a connection.
struct endpoint_pool
{
    tcp::endpoint endpoint;
    std::vector<std::shared_ptr<client_connection>> idle;
    std::deque<request_ticket> waiting;
    std::size_t open = 0;
};

/// \brief Connection pools and pending requests of one client.
class client_state : public std::enable_shared_from_this<client_state>
{
public:
    client_state(boost::asio::io_context &loop, const client_limits &limits)
        : m_loop{loop}
        , m_limits{limits}
        , m_instance{std::random_device{}()}
    {
    }

    auto send(std::string_view address, http_request request, core::duration timeout, http_completion completion)
        -> request_ticket
    {
        const auto ticket = request_ticket{++m_lastTicket};
        ++m_counters.requests;
        const auto added = m_requests.try_emplace(
            ticket,
            pending_request{std::string{address}, std::move(request), std::move(completion),
                            client_connection::now() + timeout, boost::asio::steady_timer{m_loop}, nullptr});
        startTimer(ticket, added.first->second, timeout);
        enqueue(ticket, address);
        return ticket;
    }

    // The completion is posted, because the caller may be in the middle of changing state that the completion also
    // changes.
    auto cancel(request_ticket ticket) -> void
    {
        boost::asio::post(m_loop, [weak = weak_from_this(), ticket] {
            if (const auto self = weak.lock()) {
                self->failRequest(ticket, core::error_kind::cancelled, "cancelled by its sender");
            }
        });
        const auto found = m_requests.find(ticket);
        if (found != m_requests.end() && found->second.connection) {
            dropConnection(found->second);
        }
    }

    auto closeIdle() -> void
    {
        for (auto &[address, pool] : m_pools) {
            for (const auto &connection : std::exchange(pool.idle, {})) {
                connection->close();
                --pool.open;
            }
        }
    }

    auto stop() -> void
    {
        closeIdle();
        auto requests = std::exchange(m_requests, {});
        for (auto &[ticket, pending] : requests) {
            if (pending.connection) {
                pending.connection->close();
            }
        }
    }

    [[nodiscard]] auto connectionCount(std::string_view address) const -> std::size_t
    {
        const auto pool = m_pools.find(std::string{address});
        return pool == m_pools.end() ? 0 : pool->second.open;
    }

    [[nodiscard]] auto counters() const -> const http_client_counters &
    {
        return m_counters;
    }

private:
    auto startTimer(request_ticket ticket, pending_request &pending, core::duration timeout) -> void
    {
        pending.timer.expires_after(timeout);
        pending.timer.async_wait([weak = weak_from_this(), ticket](boost::system::error_code problem) {
            const auto self = weak.lock();
            if (self && !problem) {
                self->onTimeout(ticket);
            }
        });
    }

    auto onTimeout(request_ticket ticket) -> void
    {
        const auto found = m_requests.find(ticket);
        if (found == m_requests.end()) {
            return;
        }
        ++m_counters.timedOut;
        const bool sent = sentState(found->second) == sent_state::maybe_sent;
        failRequest(ticket, sent ? core::error_kind::outcome_unknown : core::error_kind::peer_unreachable, "timed out");
    }

    static auto sentState(const pending_request &pending) -> sent_state
    {
        return pending.connection ? pending.connection->sent() : sent_state::not_sent;
    }

    auto enqueue(request_ticket ticket, std::string_view address) -> void
    {
        const auto pool = poolOf(address);
        if (pool == nullptr) {
            postFailure(ticket, core::error_kind::invalid_request, "not an address");
        } else if (pool->waiting.size() >= m_limits.waitingPerEndpoint) {
            postFailure(ticket, core::error_kind::queue_full, "too many requests wait for the endpoint");
        } else {
            pool->waiting.push_back(ticket);
            startWaiting(*pool);
        }
    }

    auto poolOf(std::string_view address) -> endpoint_pool *
    {
        const auto found = m_pools.find(std::string{address});
        if (found != m_pools.end()) {
            return &found->second;
        }
        try {
            endpoint_pool pool{parseEndpoint(address), {}, {}, 0};
            return &m_pools.emplace(address, std::move(pool)).first->second;
        } catch (const boost::system::system_error &) {
            return nullptr;
        }
    }

    auto postFailure(request_ticket ticket, core::error_kind kind, std::string detail) -> void
    {
        boost::asio::post(m_loop, [weak = weak_from_this(), ticket, kind, detail = std::move(detail)] {
            if (const auto self = weak.lock()) {
                self->failRequest(ticket, kind, detail);
            }
        });
    }

    auto startWaiting(endpoint_pool &pool) -> void
    {
        while (!pool.waiting.empty()) {
            const auto ticket = pool.waiting.front();
            const auto found = m_requests.find(ticket);
            if (found == m_requests.end()) {
                pool.waiting.pop_front();
                continue;
            }
            auto connection = acquireConnection(pool);
            if (!connection) {
                return;
            }
            pool.waiting.pop_front();
            start(ticket, found->second, pool, std::move(connection));
        }
    }

    auto acquireConnection(endpoint_pool &pool) -> std::shared_ptr<client_connection>
    {
        while (!pool.idle.empty()) {
            auto connection = std::move(pool.idle.back());
            pool.idle.pop_back();
            connection->stopWatching();
            if (connection->isReusable() && connection->isQuiet()) {
                return connection;
            }
            connection->close();
            --pool.open;
        }
        if (pool.open >= m_limits.connectionsPerEndpoint) {
            return nullptr;
        }
        ++pool.open;
        return std::make_shared<client_connection>(m_loop, m_limits, m_counters);
    }

    auto start(request_ticket ticket, pending_request &pending, const endpoint_pool &pool,
               std::shared_ptr<client_connection> connection) -> void
    {
        pending.connection = std::move(connection);
        pending.connection->exchange(pool.endpoint, pending.request, requestIdOf(ticket), pending.sendBy,
                                     [weak = weak_from_this(), ticket](exchange_result result) {
                                         if (const auto self = weak.lock()) {
                                             self->onExchanged(ticket, std::move(result));
                                         }
                                     });
    }

    [[nodiscard]] auto requestIdOf(request_ticket ticket) const -> std::string
    {
        return std::to_string(m_instance) + "-" + std::to_string(static_cast<std::uint64_t>(ticket));
    }

    auto onExchanged(request_ticket ticket, exchange_result result) -> void
    {
        const auto found = m_requests.find(ticket);
        assert(found != m_requests.end());
        auto pending = std::move(found->second);
        m_requests.erase(found);
        pending.timer.cancel();
        release(m_pools.at(pending.address), std::move(pending.connection));
        pending.completion(std::move(result.response), result.sent);
    }

    auto failRequest(request_ticket ticket, core::error_kind kind, std::string detail) -> void
    {
        const auto found = m_requests.find(ticket);
        if (found == m_requests.end()) {
            return;
        }
        const auto sent = sentState(found->second);
        dropConnection(found->second);
        auto pending = std::move(found->second);
        m_requests.erase(found);
        pending.timer.cancel();
        removeFromPool(ticket, pending);
        pending.completion(core::failure(kind, std::move(detail)), sent);
    }

    auto removeFromPool(request_ticket ticket, pending_request &pending) -> void
    {
        const auto pool = m_pools.find(pending.address);
        if (pool == m_pools.end()) {
            return;
        }
        std::erase(pool->second.waiting, ticket);
        if (pending.connection) {
            release(pool->second, std::move(pending.connection));
        }
    }

    static auto dropConnection(pending_request &pending) -> void
    {
        if (pending.connection) {
            pending.connection->close();
        }
    }

    auto release(endpoint_pool &pool, std::shared_ptr<client_connection> connection) -> void
    {
        if (connection->isReusable()) {
            addIdle(pool, std::move(connection));
        } else {
            connection->close();
            --pool.open;
        }
        startWaiting(pool);
    }

    auto addIdle(endpoint_pool &pool, std::shared_ptr<client_connection> connection) -> void
    {
        connection->watch([weak = weak_from_this(), &pool, raw = connection.get()] {
            const auto self = weak.lock();
            if (self && std::erase_if(pool.idle, [raw](const auto &candidate) { return candidate.get() == raw; }) > 0) {
                --pool.open;
            }
        });
        pool.idle.push_back(std::move(connection));
    }

    boost::asio::io_context &m_loop;
    client_limits m_limits;
    std::unordered_map<std::string, endpoint_pool> m_pools;
    std::unordered_map<request_ticket, pending_request> m_requests;
    http_client_counters m_counters;
    std::uint64_t m_lastTicket = 0;
    std::uint32_t m_instance;
};
} // namespace internal

http_client::http_client(boost::asio::io_context &loop, const client_limits &limits)
    : m_state{std::make_shared<internal::client_state>(loop, limits)}
{
}

http_client::~http_client()
{
    m_state->stop();
}

auto http_client::send(std::string_view address, http_request request, core::duration timeout,
                       http_completion completion) -> request_ticket
{
    assert(completion);
    return m_state->send(address, std::move(request), timeout, std::move(completion));
}

auto http_client::cancel(request_ticket ticket) -> void
{
    m_state->cancel(ticket);
}

auto http_client::closeIdle() -> void
{
    m_state->closeIdle();
}

auto http_client::connectionCount(std::string_view address) const -> std::size_t
{
    return m_state->connectionCount(address);
}

auto http_client::counters() const -> const http_client_counters &
{
    return m_state->counters();
}
} // namespace poplarpass::net
