#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace tests
{
/// \brief What each connection of a crowd sends.
struct crowd_input
{
    std::string begin; ///< Sent once for each connection.
    std::string repeated; ///< Sent again and again after it; nothing more is sent if it is empty.
    std::size_t bytesPerConnection = 0; ///< Sent for each connection, which then stays open; 0: until it is closed.
    bool readsAnswers = true; ///< Whether what the server sends is read.
};

/// \brief Clients that send the same input over many connections and replace each that the server closes.
///
/// It runs on a thread of its own and ends by itself after maxBytes.
class client_crowd
{
public:
    /// \brief Upper bound of the bytes that all connections send.
    static constexpr std::size_t maxBytes = std::size_t{512} * 1024 * 1024;

    /// \param addresses "IP:port" of the servers; connections are dealt out to them in turn
    client_crowd(const std::vector<std::string> &addresses, std::size_t connections, crowd_input input);

    /// \brief Closes all connections.
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    auto operator=(const client_crowd &) -> client_crowd & = delete;

    /// \brief Stops sending and replacing connections; the open ones stay open.
    auto stopSending() -> void;

    /// \brief Returns the bytes sent so far.
    [[nodiscard]] auto sentBytes() const -> std::size_t;

    /// \brief Returns the number of connections opened so far.
    [[nodiscard]] auto connectionsOpened() const -> std::size_t;

private:
    class connection;

    boost::asio::io_context m_loop{1};
    crowd_input m_input;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::atomic<std::size_t> m_sentBytes{0};
    std::atomic<std::size_t> m_connectionsOpened{0};
    std::atomic<bool> m_isStopped{false};
    std::thread m_thread;
};
} // namespace tests
