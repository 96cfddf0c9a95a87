#include "standin_runner.h"

#include "collector_standin.h"
#include "host_list_standin.h"
#include "inventory.h"
#include "log_standin.h"
#include "worker_standin.h"

#include <poplarpass/net/http_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace standins
{
namespace
{
constexpr std::chrono::seconds registerTimeout{5};

auto logListening(std::string_view role, std::string_view address, std::string_view host = {}) -> void
{
    std::cout << "event=listening role=" << role << " address=" << address;
    if (!host.empty()) {
        std::cout << " host=" << host;
    }
    std::cout << std::endl;
}

/// \brief Stand-ins of one process and their event loop.
class runner
{
public:
    explicit runner(const standin_options &options)
        : m_options{options}
        , m_client{m_loop, {}}
        , m_signals{m_loop, SIGTERM, SIGINT}
    {
    }

    auto run() -> int
    {
        m_signals.async_wait([this](boost::system::error_code, int) { m_loop.stop(); });
        start();
        m_loop.run();
        return 0;
    }

private:
    auto start() -> void
    {
        if (m_options.verb == "log") {
            startLog(m_options.listen);
        } else if (m_options.verb == "hostlist") {
            startHostList(m_options.listen);
        } else if (m_options.verb == "workers") {
            startWorkers();
        } else if (m_options.verb == "proxy") {
            startProxy();
        } else if (m_options.verb == "collector") {
            m_collector = std::make_unique<collector_standin>(m_loop, m_options.listen);
            logListening("collector", m_collector->address());
        } else if (m_options.verb == "all") {
            startLog(m_options.logListen);
            startHostList(m_options.hostListListen);
            startWorkers();
        } else {
            throw std::invalid_argument{"unknown verb " + m_options.verb};
        }
    }

    auto startLog(std::string_view address) -> void
    {
        m_log = std::make_unique<log_standin>(m_loop, address, m_options.seed);
        logListening("log", m_log->address());
    }

    auto startHostList(std::string_view address) -> void
    {
        m_hostList = std::make_unique<host_list_standin>(m_loop, address, m_options.hostListLag);
        if (!m_options.inventory.empty() && m_options.verb == "hostlist") {
            for (const auto &host : loadInventory(m_options.inventory)) {
                m_hostList->add(host.listed);
            }
        }
        logListening("hostlist", m_hostList->address());
    }

    auto startWorkers() -> void
    {
        const auto hosts = m_options.inventory.empty() ? generateInventory(m_options.count, m_options.pools)
                                                       : loadInventory(m_options.inventory);
        m_workers = std::make_unique<worker_standin>(m_loop, m_options.listen, hosts, m_options.worker);
        for (const auto &worker : m_workers->workers()) {
            logListening("worker", worker->address(), worker->listed().host.str());
            registerWorker(worker->listed());
        }
        logListening("workers", m_workers->controlAddress());
    }

    auto registerWorker(const poplarpass::platform::listed_host &host) -> void
    {
        if (m_hostList) {
            m_hostList->add(host);
        } else if (!m_options.registrationAddress.empty()) {
            poplarpass::net::http_request request{"POST", "/register", {}, encodeHost(host).dump()};
            m_client.send(m_options.registrationAddress, std::move(request), registerTimeout,
                          [](const auto &response, poplarpass::net::sent_state) {
                              const bool done = response && response->status == 200;
                              std::cout << "event=registered success=" << done << std::endl;
                          });
        }
    }

    auto startProxy() -> void
    {
        m_proxy = std::make_unique<fault_proxy>(m_loop, m_options.listen, m_options.routes);
        for (std::size_t index = 0; index < m_options.routes.size(); ++index) {
            logListening("proxy", m_proxy->address(index));
        }
        logListening("proxy-control", m_proxy->controlAddress());
    }

    const standin_options &m_options;
    boost::asio::io_context m_loop;
    poplarpass::net::http_client m_client;
    boost::asio::signal_set m_signals;
    std::unique_ptr<log_standin> m_log;
    std::unique_ptr<host_list_standin> m_hostList;
    std::unique_ptr<worker_standin> m_workers;
    std::unique_ptr<fault_proxy> m_proxy;
    std::unique_ptr<collector_standin> m_collector;
};
} // namespace

auto run(const standin_options &options) -> int
{
    return runner{options}.run();
}
} // namespace standins
