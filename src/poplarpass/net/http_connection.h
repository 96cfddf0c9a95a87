#pragma once

#include <poplarpass/net/http_server.h>
#include <poplarpass/net/memory_budget.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace poplarpass::net::internal
{
/// \brief State shared by all connections of a server.
struct connection_context
{
    explicit connection_context(const server_limits &serverLimits)
        : limits{serverLimits}
    {
    }

    server_limits limits;
    http_handler handler; ///< Handles complete requests.
    error_responder onError; ///< Creates the response to a request that could not be read.
    std::function<std::uint64_t()> bodyLimit; ///< Replaces limits.bodyBytes; the handler refuses larger bodies.
    memory_budget memory{limits.memoryBytes}; ///< What the connections hold.
    std::function<bool(http_connection &)> makeRoom; ///< Makes others give way while the budget is exceeded; returns
                                                     ///< whether the connection itself may go on.
    memory_budget::holder_id nextId = 0; ///< Identifier of the next connection.
    bool draining = false; ///< Whether connections are closed after the next response.
    std::function<void(http_connection &)> onClosed; ///< Called once by each connection when it closes.
};

/// \brief One accepted connection; handles its requests one after the other.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<connection_context> context);

    /// \brief Starts reading requests.
    auto start() -> void;

    /// \brief Returns the identifier of this connection, unique within its server.
    [[nodiscard]] auto id() const -> memory_budget::holder_id;

    /// \brief Frees what this connection holds: refuses the request that is being read, or closes the socket.
    auto giveWay() -> void;

    /// \brief Closes the socket immediately.
    auto close() -> void;

    /// \brief Shortens the idle timeout to drainIdleTimeout.
    auto beginDrain() -> void;

    /// \brief Sends the response to the request in progress.
    auto respond(http_response response) -> void;

    /// \brief Sets the hook for a caller that disconnects while its request is handled.
    auto setOnDisconnect(std::function<void()> hook) -> void;

    /// \brief Returns the time since the last request; zero while one is being read, handled or answered.
    [[nodiscard]] auto idleTime(std::chrono::steady_clock::time_point now) const -> std::chrono::nanoseconds;

    /// \brief Returns the time since the first byte of the request that is being read; zero if none is.
    [[nodiscard]] auto readingTime(std::chrono::steady_clock::time_point now) const -> std::chrono::nanoseconds;

private:
    enum class phase {
        idle,
        reading,
        handling,
        writing,
        lingering,
        closed,
    };
    using beast_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using beast_response = boost::beast::http::response<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    auto awaitRequest() -> void;
    auto readSome() -> void;
    auto onReadSome(error_code problem, std::size_t size) -> void;
    auto onPeerClosed(error_code problem) -> void;
    auto beginRequest() -> void;
    auto onRequestBytes(error_code problem) -> void;
    auto parseBuffer() -> void;
    auto onHeader() -> void;
    auto writeContinue() -> void;
    auto continueReading() -> void;
    auto onReadFailed(error_code problem) -> void;
    auto dispatch() -> void;
    auto dispatchTooLarge() -> void;
    [[nodiscard]] auto bodyLimit() const -> std::uint64_t;
    auto holdMemory(std::size_t requestBytes, memory_budget::release_order order) -> void;
    auto mayHold(std::size_t requestBytes, memory_budget::release_order order) -> bool;
    auto refuseOverloaded() -> void;
    auto extractRequest() -> http_request;
    auto answerError(core::error_kind kind, std::string detail) -> void;
    auto prepareMessage(http_response response) -> void;
    auto write() -> void;
    auto onWritten(error_code problem) -> void;
    auto linger() -> void;
    auto discard(std::size_t size) -> void;
    auto armTimer(core::duration delay) -> void;
    auto onTimer() -> void;
    auto notifyDisconnect() -> void;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<connection_context> m_context;
    boost::beast::flat_buffer m_buffer;
    memory_budget::holder_id m_id;
    std::optional<beast_parser> m_parser;
    std::optional<beast_response> m_message;
    std::function<void()> m_onDisconnect;
    std::string m_requestId;
    phase m_phase = phase::idle;
    std::chrono::steady_clock::time_point m_idleSince;
    std::chrono::steady_clock::time_point m_readingSince;
    std::uint64_t m_timerSerial = 0;
    std::size_t m_discardedBytes = 0;
    std::uint64_t m_messageBytes = 0; ///< Of the request that is being read, as sent.
    unsigned m_version = 11;
    bool m_readPending = false;
    bool m_peerClosed = false;
    bool m_keepAlive = true;
    bool m_headRequest = false;
};
} // namespace poplarpass::net::internal
