#include <poplarpass/net/websocket/session.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <chrono>

namespace poplarpass::net::websocket::internal
{
namespace
{
constexpr std::chrono::seconds drainTimeout{1};

auto connectReason(const boost::system::error_code &problem) -> end_reason
{
    if (problem == boost::asio::error::connection_refused) {
        return end_reason::refused;
    }
    if (problem == boost::asio::error::connection_reset) {
        return end_reason::closed;
    }
    return end_reason::unreachable;
}

auto protocolReason(const protocol_connection &protocol) -> end_reason
{
    namespace status = websocketpp::close::status;
    if (protocol.get_local_close_code() == status::message_too_big) {
        return end_reason::oversized;
    }
    const bool closedByOther = protocol.get_remote_close_code() != status::abnormal_close;
    return closedByOther ? end_reason::closed : end_reason::malformed;
}
} // namespace

session::session(boost::asio::ip::tcp::socket socket, protocol_connection::ptr protocol, session_hooks hooks)
    : m_socket{std::move(socket)}
    , m_drainTimer{m_socket.get_executor()}
    , m_protocol{std::move(protocol)}
    , m_hooks{std::move(hooks)}
{
}

// The protocol object can outlive the session, hence the weak pointers.
auto session::attachHandlers() -> void
{
    const std::weak_ptr<session> weak = weak_from_this();
    m_protocol->set_write_handler([weak](const websocketpp::connection_hdl &, const char *bytes, std::size_t length) {
        if (const auto self = weak.lock()) {
            self->append(bytes, length);
        }
        return std::error_code{};
    });
    m_protocol->set_open_handler([weak](const websocketpp::connection_hdl &) {
        const auto self = weak.lock();
        if (self && !self->m_ended) {
            self->m_hooks.onOpen();
        }
    });
    m_protocol->set_message_handler(
        [weak](const websocketpp::connection_hdl &, const protocol_connection::message_ptr &message) {
            const auto self = weak.lock();
            if (self && !self->m_ended) {
                self->m_hooks.onMessage(message->get_payload());
            }
        });
}

auto session::connect(const boost::asio::ip::tcp::endpoint &address, std::function<void()> startProtocol) -> void
{
    attachHandlers();
    m_socket.async_connect(address,
                           [self = shared_from_this(),
                            startProtocol = std::move(startProtocol)](const boost::system::error_code &problem) {
                               self->finishConnect(problem, startProtocol);
                           });
}

auto session::finishConnect(const boost::system::error_code &problem, const std::function<void()> &startProtocol)
    -> void
{
    if (m_ended) {
        return;
    }
    if (problem) {
        end(connectReason(problem));
        return;
    }
    if (isConnectedToItself()) {
        end(end_reason::refused);
        return;
    }
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    startProtocol();
    read();
}

// A connection to an unused local port can be assigned that port as its source port and then connect to itself (TCP
// simultaneous open).
auto session::isConnectedToItself() const -> bool
{
    boost::system::error_code problem;
    const auto local = m_socket.local_endpoint(problem);
    return !problem && local == m_socket.remote_endpoint(problem);
}

auto session::accept() -> void
{
    attachHandlers();
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    m_protocol->start();
    read();
}

auto session::postEnd(end_reason reason) -> void
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] { self->end(reason); });
}

auto session::send(const std::string &message) -> bool
{
    if (m_ended) {
        return false;
    }
    return !m_protocol->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
}

auto session::setMaxMessageBytes(std::size_t bytes) -> void
{
    m_protocol->set_max_message_size(bytes);
}

auto session::queuedBytes() const -> std::size_t
{
    return m_pending.size() + m_writing.size();
}

auto session::close() -> void
{
    if (m_ended) {
        return;
    }
    std::error_code ignored;
    m_protocol->close(websocketpp::close::status::going_away, {}, ignored);
    m_ended = true;
    drain();
}

auto session::abort() -> void
{
    m_ended = true;
    closeSocket();
}

auto session::read() -> void
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](const boost::system::error_code &problem, std::size_t length) {
                                 self->finishRead(problem, length);
                             });
}

auto session::finishRead(const boost::system::error_code &problem, std::size_t length) -> void
{
    if (m_ended) {
        return;
    }
    if (problem) {
        end(problem == boost::asio::error::timed_out ? end_reason::unreachable : end_reason::closed);
        return;
    }
    m_parsing = true;
    m_protocol->read_all(m_readBuffer.data(), length);
    m_parsing = false;
    checkProtocol();
    if (m_ended) {
        releaseProtocol();
    } else {
        read();
    }
}

auto session::checkProtocol() -> void
{
    const auto state = m_protocol->get_state();
    const bool alive = state == websocketpp::session::state::open || state == websocketpp::session::state::connecting;
    if (!m_ended && !alive) {
        end(protocolReason(*m_protocol));
    }
}

auto session::append(const char *bytes, std::size_t length) -> void
{
    m_pending.append(bytes, length);
    if (m_writing.empty()) {
        write();
    }
}

auto session::write() -> void
{
    std::swap(m_pending, m_writing);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self = shared_from_this()](const boost::system::error_code &problem, std::size_t) {
                                 self->finishWrite(problem);
                             });
}

// A failed write is not reported here: the pending read fails too and reports the reason.
auto session::finishWrite(const boost::system::error_code &problem) -> void
{
    m_writing.clear();
    if (problem) {
        m_pending.clear();
    }
    if (!m_pending.empty()) {
        write();
    } else if (m_ended) {
        closeSocket();
    }
}

auto session::end(end_reason reason) -> void
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    drain();
    m_hooks.onEnd(reason);
}

// Allows a closing frame or an HTTP error to be written before the socket is closed.
auto session::drain() -> void
{
    if (m_writing.empty()) {
        closeSocket();
        return;
    }
    m_drainTimer.expires_after(drainTimeout);
    m_drainTimer.async_wait([self = shared_from_this()](const boost::system::error_code &) { self->closeSocket(); });
}

auto session::closeSocket() -> void
{
    boost::system::error_code ignored;
    m_drainTimer.cancel();
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    releaseProtocol();
}

// The protocol object holds a reference to itself while it waits for bytes, and waits again after each handled message;
// eof() releases the reference. During read_all() the call is left to finishRead().
auto session::releaseProtocol() -> void
{
    if (!m_parsing) {
        m_protocol->eof();
    }
}
} // namespace poplarpass::net::websocket::internal
