#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_server.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// Prints the processor time of the HTTP client per request, on the loopback interface.
namespace
{
using namespace poplarpass;
using namespace std::chrono_literals;

constexpr int endpointCount = 100;
constexpr int requestCount = 100'000;
constexpr std::size_t requestsInFlight = 50;
constexpr std::uint16_t firstPort = 21'000;
constexpr auto requestTimeout = 900ms;

auto threadTime() -> std::chrono::nanoseconds
{
    std::timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
}

auto addressOf(int endpoint) -> std::string
{
    return "127.0.0.1:" + std::to_string(firstPort + endpoint);
}

/// \brief Endpoints that answer every request at once, on a thread of their own.
class endpoints
{
public:
    endpoints()
    {
        for (int index = 0; index < endpointCount; ++index) {
            m_servers.push_back(std::make_unique<net::http_server>(
                m_loop, addressOf(index), net::server_limits{},
                [](const net::http_request &, const std::shared_ptr<net::responder> &caller) {
                    caller->respond(net::makeResponse(200, R"({"clock_ms":482113})"));
                }));
        }
        m_thread = std::thread{[this] {
            m_loop.run();
        }};
    }

    ~endpoints()
    {
        m_loop.stop();
        m_thread.join();
    }

private:
    boost::asio::io_context m_loop{1};
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    std::thread m_thread;
};

/// \brief Sends requests to the endpoints in turn, a fixed number at a time.
class load
{
public:
    auto run() -> std::chrono::nanoseconds
    {
        const auto before = threadTime();
        for (std::size_t index = 0; index < requestsInFlight; ++index) {
            sendNext();
        }
        m_loop.run();
        return threadTime() - before;
    }

    [[nodiscard]] auto counters() const -> const net::http_client_counters &
    {
        return m_client.counters();
    }

private:
    auto sendNext() -> void
    {
        if (m_sent == requestCount) {
            return;
        }
        net::http_request request;
        request.method = "POST";
        request.target = "/api/run-start";
        request.headers = {{"Content-Type", "application/json"}, {"Expect-Instance", "5c0e7a21d94b36f8"}};
        request.body = R"({"task":"5c0e7a21d94b36f8.0.1.17","run_id":2,"deadline_ms":486000,"fencing_token":7})";
        m_client.send(addressOf(m_sent++ % endpointCount), std::move(request), requestTimeout,
                      [this](const core::result<net::http_response> &, net::sent_state) {
                          if (++m_answered == requestCount) {
                              m_client.closeIdle();
                          }
                          sendNext();
                      });
    }

    boost::asio::io_context m_loop{1};
    net::http_client m_client{m_loop, net::client_limits{}};
    int m_sent = 0;
    int m_answered = 0;
};
} // namespace

auto main() -> int
{
    const endpoints servers;
    load requests;
    const auto busy = requests.run();
    const auto &counters = requests.counters();
    std::printf("%d requests, %zu at a time: %.1f us each, %llu connections\n", requestCount, requestsInFlight,
                std::chrono::duration<double, std::micro>(busy).count() / requestCount,
                static_cast<unsigned long long>(counters.connects));
}
