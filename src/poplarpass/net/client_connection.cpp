#include <poplarpass/net/client_connection.h>
#include <poplarpass/net/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <ctime>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace poplarpass::net::internal
{
namespace
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

auto isParseError(boost::system::error_code problem) -> bool
{
    return problem.category() == http::make_error_code(http::error::bad_version).category();
}
} // namespace

client_connection::client_connection(boost::asio::io_context &loop, const client_limits &limits,
                                     http_client_counters &counters)
    : m_socket{loop}
    , m_timer{loop}
    , m_limits{limits}
    , m_counters{&counters}
{
}

auto client_connection::now() -> core::monotonic_time
{
    std::timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    return core::monotonic_time{std::chrono::duration_cast<core::duration>(sinceBoot)};
}

auto client_connection::exchange(const tcp::endpoint &endpoint, const http_request &request, std::string requestId,
                                 core::monotonic_time sendBy, std::function<void(exchange_result)> done) -> void
{
    m_done = std::move(done);
    m_sendBy = sendBy;
    m_requestId = std::move(requestId);
    m_sent = sent_state::not_sent;
    m_reusable = false;
    prepareMessage(endpoint, request);
    if (m_connected) {
        ++m_counters->reused;
        write();
    } else {
        connect(endpoint);
    }
}

auto client_connection::prepareMessage(const tcp::endpoint &endpoint, const http_request &request) -> void
{
    m_message.emplace();
    m_message->method_string(request.method);
    m_message->target(request.target);
    m_message->version(11);
    m_message->set(http::field::host, formatEndpoint(endpoint));
    for (const auto &field : request.headers) {
        m_message->insert(field.name, field.value);
    }
    m_message->set(std::string{requestIdHeader}, m_requestId);
    m_message->body() = request.body;
    m_message->prepare_payload();
}

auto client_connection::connect(const tcp::endpoint &endpoint) -> void
{
    ++m_counters->connects;
    const auto serial = ++m_serial;
    m_timer.expires_after(m_limits.connectTimeout);
    m_timer.async_wait([self = shared_from_this(), serial](error_code problem) {
        if (!problem && serial == self->m_serial) {
            self->fail(core::error_kind::peer_unreachable, "no connection in time");
        }
    });
    m_socket.async_connect(endpoint, [self = shared_from_this(), serial](error_code problem) {
        if (serial == self->m_serial) {
            self->onConnected(problem);
        }
    });
}

auto client_connection::onConnected(error_code problem) -> void
{
    m_timer.cancel();
    if (problem) {
        fail(core::error_kind::peer_unreachable, problem.message());
        return;
    }
    if (const auto refused = limitDelivery()) {
        fail(core::error_kind::peer_unreachable, "cannot limit the delivery of requests: " + refused.message());
        return;
    }
    m_connected = true;
    error_code ignored;
    m_socket.set_option(tcp::no_delay{true}, ignored);
    m_socket.non_blocking(true, ignored);
    write();
}

// After an orderly close, the kernel sends what the peer has not acknowledged for up to 100 s, also when the process
// has died, and the request would be carried out after its caller was told of a failure. With a zero linger time,
// close() and the end of the process discard those bytes and reset the connection. A frozen process closes nothing;
// there the kernel discards them after the user timeout.
auto client_connection::limitDelivery() -> error_code
{
    error_code problem;
    m_socket.set_option(tcp::socket::linger{true, 0}, problem);
    if (problem) {
        return problem;
    }
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.unacknowledgedTimeout);
    const auto timeoutMs = static_cast<unsigned int>(timeout.count());
    if (setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs)) != 0) {
        problem.assign(errno, boost::system::system_category());
    }
    return problem;
}

auto client_connection::write() -> void
{
    m_serializer.emplace(*m_message);
    writeSome();
}

// After a freeze of the process, the events of sockets precede those of timers, and timers do not count a suspension of
// the machine. So the time is checked before each write, and no write is left pending: it would be carried out without
// the check.
auto client_connection::writeSome() -> void
{
    error_code problem;
    while (!problem && !m_serializer->is_done()) {
        if (now() >= m_sendBy) {
            failLater([this] { failOverdue(); });
            return;
        }
        m_sent = sent_state::maybe_sent;
        http::write_some(m_socket, *m_serializer, problem);
    }
    if (!problem) {
        read();
    } else if (problem == boost::asio::error::would_block) {
        awaitWritable();
    } else {
        failLater([this, problem] { fail(core::error_kind::peer_unreachable, problem.message()); });
    }
}

auto client_connection::awaitWritable() -> void
{
    const auto serial = ++m_serial;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), serial](error_code problem) {
        if (serial != self->m_serial) {
            return;
        }
        if (problem) {
            self->fail(core::error_kind::peer_unreachable, problem.message());
        } else {
            self->writeSome();
        }
    });
}

// Posted, because a write may happen inside the call that submits the request.
auto client_connection::failLater(std::function<void()> callback) -> void
{
    const auto serial = ++m_serial;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), serial, callback = std::move(callback)] {
        if (serial == self->m_serial) {
            callback();
        }
    });
}

auto client_connection::failOverdue() -> void
{
    ++m_counters->timedOut;
    const bool isUnknown = m_sent == sent_state::maybe_sent;
    fail(isUnknown ? core::error_kind::outcome_unknown : core::error_kind::peer_unreachable,
         "timed out before it was written");
}

auto client_connection::read() -> void
{
    m_parser.emplace();
    m_parser->header_limit(m_limits.headerBytes);
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->skip(m_message->method() == http::verb::head);
    const auto serial = ++m_serial;
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this(), serial](error_code problem, std::size_t) {
                         if (serial == self->m_serial) {
                             self->onRead(problem);
                         }
                     });
}

auto client_connection::onRead(error_code problem) -> void
{
    if (problem) {
        onReadFailed(problem);
    } else {
        onAnswer();
    }
}

// If the connection ends before the first byte of the response, nothing is known about the response. If it ends later,
// the response is truncated and must not be accepted as a shorter complete one.
auto client_connection::onReadFailed(error_code problem) -> void
{
    const bool begun = m_parser->got_some();
    if (begun || (isParseError(problem) && problem != http::error::end_of_stream)) {
        ++m_counters->truncated;
        fail(core::error_kind::malformed_message, problem.message());
    } else {
        fail(core::error_kind::peer_unreachable, problem.message());
    }
}

// A response that is delimited by the end of the connection is indistinguishable from a truncated one.
auto client_connection::onAnswer() -> void
{
    if (m_parser->need_eof()) {
        ++m_counters->truncated;
        fail(core::error_kind::malformed_message, "the answer's length is not known");
        return;
    }
    const bool keepAlive = m_parser->get().keep_alive();
    auto response = extractResponse();
    const auto echoed = response.header(requestIdHeader);
    if (!echoed.empty() && echoed != m_requestId) {
        ++m_counters->mismatched;
        fail(core::error_kind::malformed_message, "the answer is to another request");
        return;
    }
    m_reusable = keepAlive && m_buffer.size() == 0;
    m_counters->extraBytes += m_buffer.size() > 0 ? 1 : 0;
    finish({std::move(response), m_sent});
}

auto client_connection::extractResponse() -> http_response
{
    auto message = m_parser->release();
    http_response response{static_cast<int>(message.result_int()), {}, std::move(message.body())};
    for (const auto &field : message) {
        response.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return response;
}

auto client_connection::fail(core::error_kind kind, std::string detail) -> void
{
    const auto sent = m_sent;
    auto done = std::exchange(m_done, nullptr);
    close();
    if (done) {
        done({core::failure(kind, std::move(detail)), sent});
    }
}

auto client_connection::finish(exchange_result result) -> void
{
    ++m_serial;
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(result));
    }
}

auto client_connection::isReusable() const -> bool
{
    return m_connected && m_reusable && m_socket.is_open();
}

auto client_connection::isQuiet() -> bool
{
    char byte = 0;
    error_code problem;
    m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, problem);
    if (!problem) {
        ++m_counters->extraBytes;
    }
    return problem == boost::asio::error::would_block;
}

auto client_connection::sent() const -> sent_state
{
    return m_sent;
}

auto client_connection::watch(std::function<void()> onUnusable) -> void
{
    const auto serial = ++m_serial;
    m_onUnusable = std::move(onUnusable);
    m_timer.expires_after(m_limits.idleTimeout);
    m_timer.async_wait([self = shared_from_this(), serial](error_code problem) {
        if (!problem) {
            self->onWatchEvent(serial);
        }
    });
    // Unlike a wait for readability, a pending peek is armed without a system call.
    m_socket.async_receive(
        boost::asio::buffer(&m_peekedByte, 1), tcp::socket::message_peek,
        [self = shared_from_this(), serial](error_code, std::size_t) { self->onWatchEvent(serial); });
}

auto client_connection::onWatchEvent(std::uint64_t serial) -> void
{
    if (serial != m_serial) {
        return;
    }
    (void)isQuiet();
    const auto hook = std::exchange(m_onUnusable, nullptr);
    close();
    if (hook) {
        hook();
    }
}

auto client_connection::stopWatching() -> void
{
    ++m_serial;
    m_onUnusable = nullptr;
    m_timer.cancel();
    error_code ignored;
    m_socket.cancel(ignored);
}

auto client_connection::close() -> void
{
    ++m_serial;
    m_reusable = false;
    m_connected = false;
    m_done = nullptr;
    m_onUnusable = nullptr;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}
} // namespace poplarpass::net::internal
