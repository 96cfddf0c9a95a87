#pragma once

#include <poplarpass/core/time_source.h>
#include <poplarpass/host/caller_request.h>
#include <poplarpass/host/host_core.h>
#include <poplarpass/net/http_server.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>

#include <functional>
#include <memory>
#include <string_view>

namespace poplarpass::host
{
/// \brief HTTP servers for callers and for other hosts; passes their requests to the host_core.
class request_server
{
public:
    request_server(boost::asio::io_context &loop, const core::time_source &time, host_core &core, observe::logger &log,
                   observe::metrics_registry &metrics);

    /// \brief Starts the server for callers at "IP:port".
    auto listenForCallers(std::string_view address, const net::server_limits &limits) -> void;

    /// \brief Starts the server for other hosts at "IP:port".
    auto listenForPeers(std::string_view address, const net::server_limits &limits) -> void;

    /// \brief Stops accepting requests of callers and calls \p done once all pending ones are answered.
    auto drain(std::function<void()> done) -> void;

private:
    auto handleCallerRequest(const net::http_request &call, const std::shared_ptr<net::responder> &caller) -> void;
    auto handlePeerRequest(const net::http_request &call, const std::shared_ptr<net::responder> &peer) -> void;
    auto refuseUnread(std::string_view listener, const core::error &problem) -> net::http_response;
    auto logRefusal(const net::http_request &call, const caller_refusal &refusal) -> void;
    auto recordRequestTime(std::string_view verb, int status, core::duration elapsed) -> void;

    boost::asio::io_context &m_loop;
    const core::time_source &m_time;
    host_core &m_core;
    observe::logger &m_log;
    observe::metrics_registry &m_metrics;
    std::unique_ptr<net::http_server> m_callerServer;
    std::unique_ptr<net::http_server> m_peerServer;
};
} // namespace poplarpass::host
