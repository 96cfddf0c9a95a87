// Small blocking HTTP/1.1 server and client for the stand-ins. Loopback only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{
/// Milliseconds on the steady clock.
std::int64_t nowMs();

void sleepMs(std::int64_t ms);

struct Request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query; ///< Decoded parameters.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const;
    std::string parameter(const std::string &name, const std::string &fallback = {}) const;
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
};

struct Response
{
    int status = 200;
    std::string body;
    std::string type = "application/json";
    bool silent = false; ///< No answer is sent, and the connection returns nothing further.
};

/// HTTP server on a free loopback port, one thread for each connection.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string address() const; ///< "127.0.0.1:PORT".

    /// Partitions the server: nothing is read or answered. Connections that exist during the partition are closed at
    /// its end, and what was sent on them is lost.
    void setCut(bool cut);
    bool isCut() const;

    /// The server's process has ended: open connections are closed, and new ones are closed as soon as accepted.
    void setDown(bool down);

private:
    struct Connection
    {
        int socket = -1;
        std::thread thread;
        std::atomic<bool> done{false};
    };

    void acceptLoop();
    void serve(Connection &connection);
    bool readRequest(int socket, std::string &buffer, Request &request, std::uint64_t generation);
    bool waitReadable(int socket, std::uint64_t generation);
    void reap(bool all);

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_down{false};
    std::atomic<std::uint64_t> m_generation{0}; ///< Grows with each cut and each end of the process.
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::thread m_acceptor;
};

struct Reply
{
    int status = 0; ///< 0: no answer.
    std::string body;
    std::int64_t ms = 0; ///< Time until the answer.
};

/// Sends one request on a connection of its own and waits for the answer, at most \p timeoutMs.
Reply call(const std::string &address, const std::string &method, const std::string &path,
           const std::map<std::string, std::string> &headers, const std::string &body, std::int64_t timeoutMs);

/// Returns a loopback port that nothing listens on at the moment.
int freePort();
} // namespace review
