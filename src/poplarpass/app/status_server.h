#pragma once

#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/net/http_server.h>

#include <functional>
#include <memory>
#include <string>

namespace poplarpass::app
{
/// \brief Serves metrics, health and status of one process to operators.
class status_server
{
public:
    /// \param status makes the JSON of /status
    /// \param beforeMetrics brings gauges up to date
    status_server(process_runtime &process, std::function<std::string()> status, std::function<void()> beforeMetrics);

    /// \brief Listens on the admin address.
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

/// \brief JSON of the agreed state: revision, members, control role, pools with their budgets, waves.
auto describeState(const replication::fleet_state &state) -> std::string;
} // namespace poplarpass::app
