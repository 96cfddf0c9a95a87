#pragma once

#include <poplarpass/core/time_source.h>
#include <poplarpass/core/wall_clock_filter.h>
#include <poplarpass/host/account_report.h>
#include <poplarpass/host/call_metrics.h>
#include <poplarpass/host/host_core.h>
#include <poplarpass/host/request_server.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_server.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/settings/host_settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>

namespace poplarpass::host
{
/// \brief Factories and codecs of the platform, supplied by its adapter.
struct platform_access
{
    std::function<store::record_store(net::http_client &, std::string)>
        makeStore; ///< Makes the store client for an address.
    std::function<worker_calls(net::http_client &, net::http_client &)>
        makeWorkers; ///< Makes the calls of workers: renewals over the first client, orders over the second.
    std::function<advice_calls(net::http_client &, std::string)>
        makeAdvice; ///< Makes the calls of the placement advice service at an address.
    std::function<host_calls(net::http_client &, std::string)>
        makeHosts; ///< Makes the calls of the host service at an address.
    platform_decoders decoders; ///< Decoders of the platform's formats.
};

/// \brief The process on each host: sockets, signals, settings and logs around a host_core.
class host_process
{
public:
    /// \param settingsPath settings file, reloaded on SIGHUP and when it is modified
    host_process(settings::host_settings settings, std::string settingsPath, platform_access access);
    ~host_process();
    host_process(const host_process &) = delete;
    auto operator=(const host_process &) -> host_process & = delete;

    /// \brief Sets the hook that supplies the report of the accounts; without one the deployment has no accounts.
    auto setAccountReportSource(account_report_source source) -> void;

    /// \brief Runs until SIGTERM or SIGINT, then stops gracefully.
    auto run() -> void;

private:
    auto makeCore() -> std::unique_ptr<host_core>;
    auto listen() -> void;
    auto answerStatus(const net::http_request &request) -> net::http_response;
    [[nodiscard]] auto renderMetrics() const -> std::string;
    auto awaitSignals() -> void;
    auto beginShutdown() -> void;
    auto finishShutdown() -> void;
    auto pollSettings() -> void;
    auto checkClock() -> void;
    auto makeTimeSource() -> core::time_source;
    auto reload() -> void;

    settings::host_settings m_settings;
    std::string m_settingsPath;
    platform_access m_access;
    boost::asio::io_context m_loop;
    core::wall_clock_filter m_wallClock;
    core::time_source m_time;
    observe::logger m_log;
    observe::metrics_registry m_metrics;
    net::http_client m_platformHttp;
    net::http_client m_renewalHttp;
    net::http_client m_orderHttp;
    net::http_client m_peerHttp;
    call_metrics_context m_callMetrics;
    store::record_store m_store;
    worker_calls m_workers;
    host_calls m_hosts;
    advice_calls m_advice;
    peer_calls m_peers;
    account_report_source m_accountReport = [] {
        return tl::make_unexpected(account_report_refusal{});
    };
    std::unique_ptr<host_core> m_core;
    std::unique_ptr<request_server> m_requestServer;
    std::unique_ptr<net::http_server> m_readiness;
    std::unique_ptr<net::http_server> m_metricsServer;
    boost::asio::signal_set m_signals;
    std::filesystem::file_time_type m_settingsModifiedAt;
    bool m_stopping = false;
    bool m_isClockStepped = false;
};
} // namespace poplarpass::host
