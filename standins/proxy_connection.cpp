#include "proxy_connection.h"

#include "response_length.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <sys/socket.h>

namespace standins::internal
{
namespace
{
constexpr std::size_t chunkBytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds dripInterval{50};

auto hasFailed(boost::asio::ip::tcp::socket &socket) -> bool
{
    int problem = 0;
    socklen_t size = sizeof(problem);
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0;
}

auto bytesPerDripInterval(std::int64_t bytesPerSecond) -> std::size_t
{
    const auto bytes = bytesPerSecond * dripInterval.count() / 1000;
    return static_cast<std::size_t>(std::max<std::int64_t>(1, bytes));
}
} // namespace

proxy_connection::proxy_connection(boost::asio::io_context &loop, tcp::socket client,
                                   std::shared_ptr<const proxy_faults> faults,
                                   std::function<void(proxy_connection &)> onClosed)
    : m_client{std::move(client)}
    , m_server{loop}
    , m_toServer{&m_client, &m_server, false, boost::asio::steady_timer{loop}, std::vector<char>(chunkBytes), {}}
    , m_toClient{&m_server, &m_client, true, boost::asio::steady_timer{loop}, std::vector<char>(chunkBytes), {}}
    , m_faults{std::move(faults)}
    , m_onClosed{std::move(onClosed)}
    , m_halfOpen{m_faults->halfOpen}
{
}

auto proxy_connection::start(const tcp::endpoint &target) -> void
{
    if (m_faults->reset) {
        close(true);
        return;
    }
    m_server.async_connect(target, [self = shared_from_this()](error_code problem) {
        if (problem || self->m_closed) {
            self->close(true);
            return;
        }
        self->m_connected = true;
        error_code ignored;
        self->m_server.set_option(tcp::no_delay{true}, ignored);
        self->m_client.set_option(tcp::no_delay{true}, ignored);
        self->read(self->m_toServer);
        self->read(self->m_toClient);
    });
}

auto proxy_connection::onFaultsChanged(std::shared_ptr<const proxy_faults> faults) -> void
{
    m_faults = std::move(faults);
    m_sentToClient = 0;
    m_halfOpen = m_halfOpen || m_faults->halfOpen;
    if (m_faults->reset) {
        close(true);
        return;
    }
    for (auto *stream : {&m_toServer, &m_toClient}) {
        if (!m_closed && stream->held && !isCut(*stream)) {
            release(*stream);
        }
    }
}

// A sender that resets its connection discards the data that a partition holds up; the reset arrives when the cut ends.
auto proxy_connection::release(flow &stream) -> void
{
    stream.held = false;
    if (hasFailed(*stream.from)) {
        close(true);
    } else {
        forward(stream);
    }
}

auto proxy_connection::close(bool withReset) -> void
{
    if (m_closed) {
        return;
    }
    const auto self = shared_from_this();
    m_closed = true;
    for (auto *socket : {&m_client, &m_server}) {
        error_code ignored;
        if (withReset) {
            socket->set_option(tcp::socket::linger{true, 0}, ignored);
        }
        socket->close(ignored);
    }
    m_toServer.timer.cancel();
    m_toClient.timer.cancel();
    m_onClosed(*this);
}

auto proxy_connection::isCut(const flow &stream) const -> bool
{
    const auto direction = stream.toClient ? proxy_cut::to_client : proxy_cut::to_server;
    return m_faults->cut == proxy_cut::both || m_faults->cut == direction;
}

auto proxy_connection::read(flow &stream) -> void
{
    stream.from->async_read_some(boost::asio::buffer(stream.chunk),
                                 [self = shared_from_this(), &stream](error_code problem, std::size_t size) {
                                     if (!self->m_closed) {
                                         self->onRead(stream, problem, size);
                                     }
                                 });
}

auto proxy_connection::onRead(flow &stream, error_code problem, std::size_t size) -> void
{
    if (problem == boost::asio::error::eof) {
        onEndOfStream(stream);
    } else if (problem) {
        close(true);
    } else if (m_halfOpen) {
        read(stream);
    } else {
        enqueue(stream, size);
    }
}

// An end of stream is treated like data: it is held back during a cut, and dropped on a half-open connection.
auto proxy_connection::onEndOfStream(flow &stream) -> void
{
    if (m_halfOpen) {
        return;
    }
    if (isCut(stream)) {
        runAfter(stream, dripInterval, [this, &stream] { onEndOfStream(stream); });
        return;
    }
    error_code ignored;
    stream.to->shutdown(tcp::socket::shutdown_send, ignored);
    if (++m_endedStreams == 2) {
        close(false);
    }
}

auto proxy_connection::enqueue(flow &stream, std::size_t size) -> void
{
    stream.pending.insert(stream.pending.end(), stream.chunk.begin(),
                          stream.chunk.begin() + static_cast<std::ptrdiff_t>(size));
    if (stream.toClient && m_faults->duplicateResponse) {
        const auto responseSize = responseLength({stream.pending.data(), stream.pending.size()});
        if (!responseSize) {
            read(stream);
            return;
        }
        const std::vector<char> copy{stream.pending.begin(),
                                     stream.pending.begin() + static_cast<std::ptrdiff_t>(*responseSize)};
        stream.pending.insert(stream.pending.begin() + static_cast<std::ptrdiff_t>(*responseSize), copy.begin(),
                              copy.end());
    }
    if (m_faults->delayMs > 0) {
        runAfter(stream, std::chrono::milliseconds{m_faults->delayMs}, [this, &stream] { forward(stream); });
    } else {
        forward(stream);
    }
}

auto proxy_connection::runAfter(flow &stream, std::chrono::milliseconds delay, std::function<void()> callback) -> void
{
    stream.timer.expires_after(delay);
    stream.timer.async_wait([self = shared_from_this(), callback = std::move(callback)](error_code problem) {
        if (!problem && !self->m_closed) {
            callback();
        }
    });
}

auto proxy_connection::allowedBytes(const flow &stream) const -> std::size_t
{
    const bool limited = stream.toClient && m_faults->truncateAfter >= 0;
    const auto remaining = limited ? std::max<std::int64_t>(0, m_faults->truncateAfter - m_sentToClient) : 0;
    return limited ? static_cast<std::size_t>(remaining) : stream.pending.size() + 1;
}

auto proxy_connection::forward(flow &stream) -> void
{
    if (m_halfOpen) {
        stream.pending.clear();
        read(stream);
        return;
    }
    if (isCut(stream)) {
        stream.held = true;
        return;
    }
    const auto allowed = allowedBytes(stream);
    auto size = std::min(stream.pending.size(), allowed);
    if (m_faults->dripBytesPerS > 0) {
        size = std::min(size, bytesPerDripInterval(m_faults->dripBytesPerS));
    }
    write(stream, size, size == allowed);
}

auto proxy_connection::write(flow &stream, std::size_t size, bool last) -> void
{
    boost::asio::async_write(*stream.to, boost::asio::buffer(stream.pending.data(), size),
                             [self = shared_from_this(), &stream, last](error_code problem, std::size_t written) {
                                 if (self->m_closed) {
                                     return;
                                 }
                                 if (problem || last) {
                                     self->close(problem.failed());
                                 } else {
                                     self->onWritten(stream, written);
                                 }
                             });
}

auto proxy_connection::onWritten(flow &stream, std::size_t size) -> void
{
    m_sentToClient += stream.toClient ? static_cast<std::int64_t>(size) : 0;
    stream.pending.erase(stream.pending.begin(), stream.pending.begin() + static_cast<std::ptrdiff_t>(size));
    if (stream.pending.empty()) {
        read(stream);
    } else if (m_faults->dripBytesPerS > 0) {
        runAfter(stream, dripInterval, [this, &stream] { forward(stream); });
    } else {
        forward(stream);
    }
}
} // namespace standins::internal
