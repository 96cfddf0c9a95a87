#pragma once

#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/net/http_server.h>

#include <functional>
#include <memory>
#include <string>

namespace poplarpass::app
{
/// \brief HTTP server for the metrics, health and status of one process.
class status_server
{
public:
    /// \param status returns the JSON of /status
    /// \param beforeMetrics updates gauges; called before the metrics are rendered
    status_server(process_runtime &process, std::function<std::string()> status, std::function<void()> beforeMetrics);

    /// \brief Starts listening on the admin address.
    auto start() -> void;

    /// \brief Stops listening.
    auto stop() -> void;

private:
    auto answer(const net::http_request &request) -> net::http_response;

    process_runtime &m_process;
    std::function<std::string()> m_status;
    std::function<void()> m_beforeMetrics;
    std::unique_ptr<net::http_server> m_server;
};

/// \brief Returns the JSON of the replicated state: revision, members, control role, pools with their budgets, waves.
auto describeState(const replication::fleet_state &state) -> std::string;
} // namespace poplarpass::app
