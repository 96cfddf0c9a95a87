#include "client_crowd.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace tests
{
namespace
{
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds reconnectDelay{20};

auto endpointOf(const std::string &address) -> tcp::endpoint
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}
} // namespace

class client_crowd::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(client_crowd &crowd, tcp::endpoint server)
        : m_crowd{crowd}
        , m_server{std::move(server)}
        , m_socket{crowd.m_loop}
        , m_timer{crowd.m_loop}
    {
    }

    auto open() -> void
    {
        if (m_crowd.m_isStopped) {
            return;
        }
        m_sent = 0;
        const auto serial = ++m_serial;
        m_socket = tcp::socket{m_crowd.m_loop};
        m_socket.async_connect(m_server, [self = shared_from_this(), serial](error_code problem) {
            if (problem) {
                self->reopen(serial);
                return;
            }
            ++self->m_crowd.m_connectionsOpened;
            self->send(self->m_crowd.m_input.begin, serial);
            if (self->m_crowd.m_input.readsAnswers) {
                self->receive(serial);
            }
        });
    }

private:
    auto send(const std::string &bytes, unsigned serial) -> void
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes),
                                 [self = shared_from_this(), serial](error_code problem, std::size_t size) {
                                     self->onSent(problem, size, serial);
                                 });
    }

    auto onSent(error_code problem, std::size_t size, unsigned serial) -> void
    {
        m_sent += size;
        m_crowd.m_sentBytes += size;
        if (problem) {
            reopen(serial);
            return;
        }
        const auto &input = m_crowd.m_input;
        const bool isComplete = input.bytesPerConnection > 0 && m_sent >= input.bytesPerConnection;
        const bool isUsedUp = m_crowd.m_sentBytes >= maxBytes || m_crowd.m_isStopped;
        if (!input.repeated.empty() && !isComplete && !isUsedUp) {
            send(input.repeated, serial);
        }
    }

    auto receive(unsigned serial) -> void
    {
        m_socket.async_read_some(boost::asio::buffer(m_received),
                                 [self = shared_from_this(), serial](error_code problem, std::size_t) {
                                     if (problem) {
                                         self->reopen(serial);
                                     } else if (serial == self->m_serial) {
                                         self->receive(serial);
                                     }
                                 });
    }

    auto reopen(unsigned serial) -> void
    {
        if (serial != m_serial) {
            return;
        }
        ++m_serial;
        error_code ignored;
        m_socket.close(ignored);
        m_timer.expires_after(reconnectDelay);
        m_timer.async_wait([self = shared_from_this()](error_code) { self->open(); });
    }

    client_crowd &m_crowd;
    tcp::endpoint m_server;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, std::size_t{16} * 1024> m_received{};
    std::size_t m_sent = 0;
    unsigned m_serial = 0;
};

client_crowd::client_crowd(const std::vector<std::string> &addresses, std::size_t connections, crowd_input input)
    : m_input{std::move(input)}
{
    for (std::size_t index = 0; index < connections; ++index) {
        m_connections.push_back(std::make_shared<connection>(*this, endpointOf(addresses[index % addresses.size()])));
        m_connections.back()->open();
    }
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
}

client_crowd::~client_crowd()
{
    m_isStopped = true;
    m_loop.stop();
    m_thread.join();
    m_connections.clear();
}

auto client_crowd::stopSending() -> void
{
    m_isStopped = true;
}

auto client_crowd::sentBytes() const -> std::size_t
{
    return m_sentBytes;
}

auto client_crowd::connectionsOpened() const -> std::size_t
{
    return m_connectionsOpened;
}
} // namespace tests
