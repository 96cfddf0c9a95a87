#include <poplarpass/net/http_connection.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace poplarpass::net::internal
{
namespace
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using release_order = memory_budget::release_order;

auto isTooLarge(boost::system::error_code problem) -> bool
{
    return problem == http::error::body_limit || problem == http::error::header_limit
        || problem == http::error::buffer_overflow;
}

auto isMalformed(boost::system::error_code problem) -> bool
{
    return problem.category() == http::make_error_code(http::error::bad_version).category();
}

auto mayHaveBody(int status) -> bool
{
    return status >= 200 && status != 204 && status != 304;
}
} // namespace

http_connection::http_connection(tcp::socket socket, std::shared_ptr<connection_context> context)
    : m_socket{std::move(socket)}
    , m_timer{m_socket.get_executor()}
    , m_context{std::move(context)}
    , m_buffer{m_context->limits.headerBytes + bodyReadBytes}
    , m_id{m_context->nextId++}
{
}

auto http_connection::start() -> void
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay{true}, ignored);
    awaitRequest();
}

auto http_connection::idleTime(std::chrono::steady_clock::time_point now) const -> std::chrono::nanoseconds
{
    return m_phase == phase::idle ? now - m_idleSince : std::chrono::nanoseconds{0};
}

auto http_connection::readingTime(std::chrono::steady_clock::time_point now) const -> std::chrono::nanoseconds
{
    return m_phase == phase::reading ? now - m_readingSince : std::chrono::nanoseconds{0};
}

auto http_connection::id() const -> memory_budget::holder_id
{
    return m_id;
}

auto http_connection::giveWay() -> void
{
    if (m_phase == phase::reading) {
        refuseOverloaded();
    } else {
        close();
    }
}

auto http_connection::close() -> void
{
    if (m_phase == phase::closed) {
        return;
    }
    const auto self = shared_from_this();
    m_phase = phase::closed;
    ++m_timerSerial;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    m_context->memory.remove(m_id);
    notifyDisconnect();
    m_context->onClosed(*this);
}

auto http_connection::beginDrain() -> void
{
    if (m_phase == phase::idle) {
        armTimer(m_context->limits.drainIdleTimeout);
    }
}

auto http_connection::setOnDisconnect(std::function<void()> hook) -> void
{
    m_onDisconnect = std::move(hook);
}

auto http_connection::awaitRequest() -> void
{
    m_phase = phase::idle;
    m_idleSince = std::chrono::steady_clock::now();
    m_message.reset();
    m_parser.reset();
    if (m_buffer.size() > 0) {
        beginRequest();
        return;
    }
    if (!m_readPending && m_buffer.capacity() > readChunkBytes) {
        m_buffer.shrink_to_fit();
    }
    holdMemory(0, release_order::never);
    const auto &limits = m_context->limits;
    armTimer(m_context->draining ? limits.drainIdleTimeout : limits.idleTimeout);
    if (!m_readPending) {
        readSome();
    }
}

// While a request is handled, this read detects that the caller closes the connection. A pipelined request ends the
// detection: its bytes stay in the buffer and nothing more is read, so that a caller cannot make the server buffer more
// than one chunk.
auto http_connection::readSome() -> void
{
    m_readPending = true;
    const bool readsBody = m_phase == phase::reading && m_parser->is_header_done();
    const auto room = m_buffer.max_size() - m_buffer.size();
    m_socket.async_read_some(
        m_buffer.prepare(std::min(room, readsBody ? bodyReadBytes : readChunkBytes)),
        [self = shared_from_this()](error_code problem, std::size_t size) { self->onReadSome(problem, size); });
}

auto http_connection::onReadSome(error_code problem, std::size_t size) -> void
{
    m_readPending = false;
    if (m_phase == phase::closed) {
        return;
    }
    m_buffer.commit(size);
    if (m_phase == phase::reading) {
        onRequestBytes(problem);
    } else if (problem) {
        onPeerClosed(problem);
    } else if (m_phase == phase::idle) {
        beginRequest();
    } else if (m_phase == phase::lingering) {
        discard(size);
    }
}

// A caller may close only its sending side and still wait for the response, so a pending response is still written.
auto http_connection::onPeerClosed(error_code problem) -> void
{
    const bool responsePending = m_phase == phase::handling || m_phase == phase::writing;
    if (!responsePending || problem != boost::asio::error::eof) {
        close();
        return;
    }
    m_peerClosed = true;
    notifyDisconnect();
}

auto http_connection::notifyDisconnect() -> void
{
    const auto hook = std::exchange(m_onDisconnect, nullptr);
    if (hook) {
        hook();
    }
}

auto http_connection::beginRequest() -> void
{
    m_phase = phase::reading;
    m_messageBytes = 0;
    m_readingSince = std::chrono::steady_clock::now();
    m_parser.emplace();
    m_parser->header_limit(m_context->limits.headerBytes);
    m_parser->body_limit(bodyLimit());
    armTimer(m_context->limits.readTimeout);
    parseBuffer();
}

auto http_connection::bodyLimit() const -> std::uint64_t
{
    return m_context->bodyLimit ? m_context->bodyLimit() : m_context->limits.bodyBytes;
}

auto http_connection::onRequestBytes(error_code problem) -> void
{
    if (problem == boost::asio::error::eof) {
        problem = {};
        m_parser->put_eof(problem);
    }
    if (problem) {
        onReadFailed(problem);
    } else {
        parseBuffer();
    }
}

// The parser is fed here and not by Beast's read operations, since these return only with a complete message and let
// the buffer grow meanwhile: the parser's limits cover neither chunk extensions nor trailers, which it needs whole.
auto http_connection::parseBuffer() -> void
{
    const bool hadHeader = m_parser->is_header_done();
    error_code problem;
    if (m_buffer.size() > 0) {
        const auto used = m_parser->put(m_buffer.data(), problem);
        m_buffer.consume(used);
        m_messageBytes += used;
    }
    if (problem && problem != http::error::need_more) {
        onReadFailed(problem);
    } else if (!hadHeader && m_parser->is_header_done()) {
        onHeader();
    } else {
        continueReading();
    }
}

auto http_connection::onHeader() -> void
{
    m_parser->eager(true);
    if (!m_parser->is_done() && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        writeContinue();
    } else if (!m_parser->is_done() && m_buffer.size() > 0) {
        parseBuffer();
    } else {
        continueReading();
    }
}

auto http_connection::writeContinue() -> void
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(m_socket, boost::asio::buffer(interim),
                             [self = shared_from_this()](error_code problem, std::size_t) {
                                 if (self->m_phase != phase::reading) {
                                     return;
                                 }
                                 if (problem) {
                                     self->close();
                                 } else {
                                     self->parseBuffer();
                                 }
                             });
}

auto http_connection::continueReading() -> void
{
    const auto maxMessageBytes = m_context->limits.headerBytes + maxFramingFactor * bodyLimit();
    if (m_parser->is_done()) {
        dispatch();
    } else if (m_buffer.size() == m_buffer.max_size()) {
        onReadFailed(http::error::buffer_overflow);
    } else if (m_messageBytes > maxMessageBytes) {
        onReadFailed(http::error::body_limit);
    } else if (mayHold(m_parser->get().body().capacity(), release_order::by_size)) {
        readSome();
    } else {
        refuseOverloaded();
    }
}

auto http_connection::holdMemory(std::size_t requestBytes, release_order order) -> void
{
    const auto bytes = connectionBytes + std::max(m_buffer.capacity(), readChunkBytes) + requestBytes;
    m_context->memory.set(m_id, {bytes, order, m_readingSince});
}

auto http_connection::mayHold(std::size_t requestBytes, release_order order) -> bool
{
    holdMemory(requestBytes, order);
    return !m_context->memory.isExceeded() || m_context->makeRoom(*this);
}

auto http_connection::refuseOverloaded() -> void
{
    answerError(core::error_kind::overloaded, "this host holds too much for its callers");
}

auto http_connection::onReadFailed(error_code problem) -> void
{
    if (problem == http::error::body_limit && m_context->bodyLimit) {
        dispatchTooLarge();
    } else if (isTooLarge(problem)) {
        answerError(core::error_kind::payload_too_large, problem.message());
    } else if (isMalformed(problem) && problem != http::error::end_of_stream) {
        answerError(core::error_kind::invalid_request, problem.message());
    } else {
        close();
    }
}

auto http_connection::answerError(core::error_kind kind, std::string detail) -> void
{
    m_parser.reset();
    m_keepAlive = false;
    m_headRequest = false;
    m_requestId.clear();
    m_phase = phase::handling;
    respond(m_context->onError(core::error{kind, std::move(detail), std::nullopt}));
}

auto http_connection::extractRequest() -> http_request
{
    auto message = m_parser->release();
    m_parser.reset();
    m_keepAlive = message.keep_alive();
    m_version = message.version();
    m_headRequest = message.method() == http::verb::head;
    http_request request{std::string{message.method_string()}, std::string{message.target()}, {}, {}};
    for (const auto &field : message) {
        request.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    m_requestId = std::string{request.header(requestIdHeader)};
    request.body = std::move(message.body());
    return request;
}

auto http_connection::dispatch() -> void
{
    // A complete request does not give way to those that are still being read.
    if (!mayHold(requestCopies * m_parser->get().body().size(), release_order::never)) {
        refuseOverloaded();
        return;
    }
    auto request = extractRequest();
    m_phase = phase::handling;
    ++m_timerSerial;
    m_timer.cancel();
    if (m_buffer.size() == 0) {
        readSome();
    }
    m_context->handler(std::move(request), std::make_shared<responder>(shared_from_this()));
}

// The rest of the body is not read: the connection is closed after the response.
auto http_connection::dispatchTooLarge() -> void
{
    auto request = extractRequest();
    request.body = {};
    request.isBodyTooLarge = true;
    m_keepAlive = false;
    m_phase = phase::handling;
    ++m_timerSerial;
    m_timer.cancel();
    m_context->handler(std::move(request), std::make_shared<responder>(shared_from_this()));
}

auto http_connection::respond(http_response response) -> void
{
    if (m_phase != phase::handling) {
        return;
    }
    m_phase = phase::writing;
    m_onDisconnect = nullptr;
    prepareMessage(std::move(response));
    holdMemory(m_message->body().capacity(), release_order::by_size);
    write();
}

auto http_connection::prepareMessage(http_response response) -> void
{
    m_message.emplace(static_cast<http::status>(response.status), m_version);
    for (const auto &field : response.headers) {
        m_message->insert(field.name, field.value);
    }
    if (!m_requestId.empty()) {
        m_message->set(std::string{requestIdHeader}, m_requestId);
    }
    m_keepAlive = m_keepAlive && !m_context->draining && !m_peerClosed;
    m_message->keep_alive(m_keepAlive);
    if (!m_headRequest && mayHaveBody(response.status)) {
        m_message->body() = std::move(response.body);
    }
    m_message->prepare_payload();
}

// The serializer writes the body in place, so a large response is not copied into a second buffer.
auto http_connection::write() -> void
{
    armTimer(m_context->limits.writeTimeout);
    http::async_write(m_socket, *m_message,
                      [self = shared_from_this()](error_code problem, std::size_t) { self->onWritten(problem); });
}

auto http_connection::onWritten(error_code problem) -> void
{
    if (m_phase != phase::writing) {
        return;
    }
    if (problem) {
        close();
    } else if (m_keepAlive && !m_peerClosed) {
        awaitRequest();
    } else {
        linger();
    }
}

// Closing a socket with unread input resets the connection, and the caller could lose the response before reading it.
auto http_connection::linger() -> void
{
    m_phase = phase::lingering;
    m_message.reset();
    holdMemory(0, release_order::first);
    error_code problem;
    m_socket.shutdown(tcp::socket::shutdown_send, problem);
    if (problem || m_peerClosed) {
        close();
        return;
    }
    armTimer(m_context->limits.lingerTimeout);
    m_buffer.consume(m_buffer.size());
    if (!m_readPending) {
        readSome();
    }
}

auto http_connection::discard(std::size_t size) -> void
{
    m_buffer.consume(m_buffer.size());
    m_discardedBytes += size;
    if (m_discardedBytes > lingerBytes) {
        close();
    } else {
        readSome();
    }
}

auto http_connection::armTimer(core::duration delay) -> void
{
    const auto serial = ++m_timerSerial;
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = weak_from_this(), serial](error_code problem) {
        const auto self = weak.lock();
        if (self && !problem && serial == self->m_timerSerial) {
            self->onTimer();
        }
    });
}

auto http_connection::onTimer() -> void
{
    if (m_phase == phase::reading) {
        answerError(core::error_kind::request_timeout, "the request was not sent in time");
    } else {
        close();
    }
}
} // namespace poplarpass::net::internal
