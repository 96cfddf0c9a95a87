#pragma once

#include "fault_proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace standins::internal
{
/// \brief One proxied TCP connection: the client and server sockets and the data buffered between them.
class proxy_connection : public std::enable_shared_from_this<proxy_connection>
{
public:
    using tcp = boost::asio::ip::tcp;

    /// \param faults shared with the other connections of the pair; replaced by onFaultsChanged()
    /// \param onClosed called once, from close()
    proxy_connection(boost::asio::io_context &loop, tcp::socket client, std::shared_ptr<const proxy_faults> faults,
                     std::function<void(proxy_connection &)> onClosed);

    /// \brief Connects to \p target and starts forwarding in both directions.
    auto start(const tcp::endpoint &target) -> void;

    /// \brief Applies changed faults to the open connection and resumes directions that are no longer cut.
    auto onFaultsChanged(std::shared_ptr<const proxy_faults> faults) -> void;

    /// \brief Closes both sockets.
    /// \param withReset whether the peers receive a TCP reset instead of an end of stream
    auto close(bool withReset) -> void;

private:
    using error_code = boost::system::error_code;

    /// \brief State of one direction.
    struct flow
    {
        tcp::socket *from;
        tcp::socket *to;
        bool toClient;
        boost::asio::steady_timer timer;
        std::vector<char> chunk;
        std::vector<char> pending;
        bool held = false;
    };

    auto read(flow &stream) -> void;
    auto onRead(flow &stream, error_code problem, std::size_t size) -> void;
    auto onEndOfStream(flow &stream) -> void;
    auto enqueue(flow &stream, std::size_t size) -> void;
    auto forward(flow &stream) -> void;
    auto release(flow &stream) -> void;
    auto allowedBytes(const flow &stream) const -> std::size_t;
    auto write(flow &stream, std::size_t size, bool last) -> void;
    auto onWritten(flow &stream, std::size_t size) -> void;
    auto runAfter(flow &stream, std::chrono::milliseconds delay, std::function<void()> callback) -> void;
    [[nodiscard]] auto isCut(const flow &stream) const -> bool;

    tcp::socket m_client;
    tcp::socket m_server;
    flow m_toServer;
    flow m_toClient;
    std::shared_ptr<const proxy_faults> m_faults;
    std::function<void(proxy_connection &)> m_onClosed;
    std::int64_t m_sentToClient = 0;
    int m_endedStreams = 0;
    bool m_connected = false;
    bool m_halfOpen = false;
    bool m_closed = false;
};
} // namespace standins::internal
