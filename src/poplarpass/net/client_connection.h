#pragma once

#include <poplarpass/net/http_client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace poplarpass::net::internal
{
/// \brief Result of one request on a connection.
struct exchange_result
{
    core::result<http_response> response; ///< The complete response, or the failure.
    sent_state sent = sent_state::not_sent; ///< Whether any byte of the request may have been written.
};

/// \brief One client connection; carries one request at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context &loop, const client_limits &limits, http_client_counters &counters);

    /// \brief Returns the time that exchange() compares with; it advances while the machine is suspended.
    [[nodiscard]] static auto now() -> core::monotonic_time;

    /// \brief Connects if necessary, writes \p request and reads the response.
    /// \param sendBy time from which no byte of the request is written any more
    auto exchange(const boost::asio::ip::tcp::endpoint &endpoint, const http_request &request, std::string requestId,
                  core::monotonic_time sendBy, std::function<void(exchange_result)> done) -> void;

    /// \brief Returns whether the connection is open and its last response permits another request.
    [[nodiscard]] auto isReusable() const -> bool;

    /// \brief Returns whether the open connection has nothing to read, neither bytes nor its end.
    [[nodiscard]] auto isQuiet() -> bool;

    /// \brief Returns whether any byte of the current request may have been written.
    [[nodiscard]] auto sent() const -> sent_state;

    /// \brief Calls \p onUnusable once when the idle connection closes, exceeds the idle timeout, or receives data.
    auto watch(std::function<void()> onUnusable) -> void;

    /// \brief Cancels watch().
    auto stopWatching() -> void;

    /// \brief Resets the connection and discards what the peer has not acknowledged; no callback runs afterwards.
    auto close() -> void;

private:
    using error_code = boost::system::error_code;
    using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
    using beast_serializer = boost::beast::http::request_serializer<boost::beast::http::string_body>;
    using beast_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto prepareMessage(const boost::asio::ip::tcp::endpoint &endpoint, const http_request &request) -> void;
    auto connect(const boost::asio::ip::tcp::endpoint &endpoint) -> void;
    auto onConnected(error_code problem) -> void;
    auto limitDelivery() -> error_code;
    auto write() -> void;
    auto writeSome() -> void;
    auto awaitWritable() -> void;
    auto failLater(std::function<void()> callback) -> void;
    auto failOverdue() -> void;
    auto read() -> void;
    auto onRead(error_code problem) -> void;
    auto onAnswer() -> void;
    auto onReadFailed(error_code problem) -> void;
    auto extractResponse() -> http_response;
    auto fail(core::error_kind kind, std::string detail) -> void;
    auto finish(exchange_result result) -> void;
    auto onWatchEvent(std::uint64_t serial) -> void;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    client_limits m_limits;
    http_client_counters *m_counters;
    boost::beast::flat_buffer m_buffer;
    std::optional<beast_request> m_message;
    std::optional<beast_serializer> m_serializer;
    std::optional<beast_parser> m_parser;
    std::function<void(exchange_result)> m_done;
    std::function<void()> m_onUnusable;
    std::string m_requestId;
    core::monotonic_time m_sendBy{};
    char m_peekedByte = 0; ///< Target of the peek that watches an idle connection.
    std::uint64_t m_serial = 0;
    sent_state m_sent = sent_state::not_sent;
    bool m_connected = false;
    bool m_reusable = true;
};
} // namespace poplarpass::net::internal
