#pragma once

#include <poplarpass/host/config_follower.h>
#include <poplarpass/host/front_door.h>
#include <poplarpass/host/host_calls.h>
#include <poplarpass/host/owner_announcer.h>
#include <poplarpass/host/owner_election.h>
#include <poplarpass/host/pool_owner.h>
#include <poplarpass/host/worker_calls.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_server.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/settings/host_settings.h>
#include <poplarpass/store/record_store.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>

namespace poplarpass::host
{
/// \brief Ways to the platform, made by its adapter.
struct platform_access
{
    std::function<store::record_store(net::http_client &, std::string)> makeStore; ///< Store at an address.
    std::function<worker_calls(net::http_client &)> makeWorkers; ///< Calls of workers.
    std::function<advice_calls(net::http_client &, std::string)> makeAdvice; ///< Advice on placement, at an address.
    std::function<host_calls(net::http_client &, std::string)> makeHosts; ///< Hosts of workers, at an address.
    wave_codec waves; ///< Reads and reports waves.
    operator_decoder operators; ///< Reads the operator's records.
    job_decoder decodeJob; ///< Reads submissions.
    std::function<core::result<jobs::worker_entry>(std::string_view, std::string_view)> decodeWorker; ///< Reads what
                                                                                                      ///< workers say.
};

/// \brief The process on each host: takes callers' requests, and may own the pools.
class host_process
{
public:
    /// \param settingsPath file that is read again on SIGHUP
    host_process(settings::host_settings settings, std::string settingsPath, platform_access access);
    ~host_process();
    host_process(const host_process &) = delete;
    auto operator=(const host_process &) -> host_process & = delete;

    /// \brief Runs until SIGTERM or SIGINT and then stops gracefully.
    auto run() -> void;

private:
    auto listen() -> void;
    auto makeElection() -> std::unique_ptr<owner_election>;
    auto onElected(std::uint64_t epoch, core::monotonic_time claimedAt) -> void;
    auto onDeposed() -> void;
    auto handleHere(const client_request &request, client_answer answer) -> bool;
    auto answerStatus(const net::http_request &request) -> net::http_response;
    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto ownerAddress() const -> std::optional<std::string>;
    [[nodiscard]] auto rank() const -> unsigned;
    auto awaitSignals() -> void;
    auto beginStop() -> void;
    auto endStop() -> void;
    auto reload() -> void;

    settings::host_settings m_settings;
    std::string m_settingsPath;
    platform_access m_access;
    boost::asio::io_context m_loop;
    observe::logger m_log;
    observe::metrics_registry m_metrics;
    net::http_client m_platformHttp;
    net::http_client m_workerHttp;
    net::http_client m_peerHttp;
    store::record_store m_store;
    worker_calls m_workers;
    host_calls m_hosts;
    advice_calls m_advice;
    route::route_table m_routes;
    std::unique_ptr<config_follower> m_config;
    std::unique_ptr<front_door> m_front;
    std::unique_ptr<owner_election> m_election;
    std::unique_ptr<owner_announcer> m_announcer;
    std::unique_ptr<pool_owner> m_owner;
    std::unique_ptr<net::http_server> m_readiness;
    std::unique_ptr<net::http_server> m_metricsServer;
    boost::asio::signal_set m_signals;
    core::monotonic_time m_startedAt{};
    bool m_stopping = false;
};
} // namespace poplarpass::host
