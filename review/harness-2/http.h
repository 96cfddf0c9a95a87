#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Blocking HTTP/1.1 on loopback addresses, for the stand-ins: one thread for each connection.
namespace harness
{
struct http_request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response
{
    int status = 200;
    std::string body = "{}";
    std::string contentType = "application/json";
};

/// Answers a request. Nothing: the connection is closed without an answer.
using http_handler = std::function<std::optional<http_response>(const http_request &)>;

class http_server
{
public:
    /// Listens at a free port of \p ip, or at \p port if it is not 0.
    http_server(const std::string &ip, http_handler handler, int port = 0);
    ~http_server();

    /// Resets all connections and stops to listen, as when the process ends. Waits until no request is handled any
    /// more.
    void stop();

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }
    int port() const
    {
        return m_port;
    }

private:
    struct shared_state;
    std::string m_ip;
    int m_port = 0;
    std::shared_ptr<shared_state> m_state;
    std::thread m_acceptor;
};

/// Sends one request over a connection of its own.
/// Returns nothing if there was no complete answer in time.
std::optional<http_response> sendRequest(const std::string &address, const std::string &method,
                                         const std::string &target, const std::map<std::string, std::string> &headers,
                                         const std::string &body, std::chrono::milliseconds timeout);

/// Returns whether all \p ports of \p ip are free now.
bool isFree(const std::string &ip, const std::vector<int> &ports);
} // namespace harness
