#pragma once

#include <poplarpass/host/config_follower.h>
#include <poplarpass/host/config_standing.h>
#include <poplarpass/host/owner_announcer.h>
#include <poplarpass/host/owner_election.h>
#include <poplarpass/host/peer_calls.h>
#include <poplarpass/host/pool_owner.h>
#include <poplarpass/host/request_forwarder.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/owner/claim_rank.h>
#include <poplarpass/route/route_table.h>
#include <poplarpass/store/append_repeater.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace poplarpass::host
{
/// \brief Dependencies of a host_core, supplied by its process.
struct host_environment
{
    std::string name; ///< Name of this host.
    std::string address; ///< "IP:port" at which other hosts reach it.
    owner::host_resources resources; ///< Processor and network resources of this host.
    core::duration holderTerm{}; ///< Time for which only one holder may send orders for a host of workers.
    const core::time_source &time; ///< Clocks and timer.
    const store::record_store &records; ///< The store.
    const worker_calls &workers; ///< Calls of workers.
    const host_calls &hosts; ///< Calls of the platform's host service.
    const advice_calls &advice; ///< Calls of the placement advice service.
    const peer_calls &peers; ///< Calls of the other hosts.
    const platform_decoders &decoders; ///< Decoders of the platform's formats.
    observe::logger &log; ///< Event log.
    observe::metrics_registry &metrics; ///< Metrics.
    std::optional<core::duration> maxConfigAge = std::nullopt; ///< Age up to which keys are checked; nothing: no bound.
};

/// \brief All logic of a host, without sockets, signals or clocks of its own.
class host_core
{
public:
    explicit host_core(host_environment environment);

    /// \brief Begins to follow the store; from then on this host may become owner.
    auto start() -> void;

    /// \brief Answers a caller's \p request exactly once, at the latest shortly before \p time has passed.
    auto handleRequest(client_request request, core::duration time, response_callback answer) -> void;

    /// \brief Answers a request forwarded by another host; responds notOwnerStatus if this host is not the owner.
    auto handleForwardedRequest(const client_request &request, response_callback answer) -> void;

    /// \brief Handles the announcement of an owner by another host.
    auto onAnnouncement(const owner::owner_record &record) -> void;

    /// \brief Resigns ownership, if held, and never claims it again. Requests are still served, and answered by
    /// \p deadline.
    auto relinquishOwnership(core::monotonic_time deadline) -> void;

    /// \brief Returns whether callers can be served here.
    [[nodiscard]] auto isReady() const -> bool;

    /// \brief Returns whether this host is the owner of the pools.
    [[nodiscard]] auto ownsPools() const -> bool;

    /// \brief Returns the active configuration of this host.
    [[nodiscard]] auto routes() const -> const route::route_table &;

    /// \brief Returns how far this host may rely on its configuration when it checks keys.
    [[nodiscard]] auto configStanding() const -> config_standing;

    /// \brief Returns the report of the client accounts if this host owns the pools.
    [[nodiscard]] auto accountReport() const -> tl::expected<account_report, account_report_refusal>;

    /// \brief Updates the gauges of ownership and configuration.
    auto updateMetrics() -> void;

private:
    auto makeElectionHooks() -> election_hooks;
    auto makeForwarder() -> request_forwarder;
    auto onElected(std::uint64_t epoch, core::monotonic_time claimedAt) -> void;
    auto onOwnershipLost() -> void;
    auto yieldIfSmall() -> void;
    auto handleAsOwner(const client_request &request, response_callback answer) -> bool;
    auto refuseUnconfirmed(const client_request &request) -> std::optional<net::http_response>;
    [[nodiscard]] auto ownerAddress() const -> std::optional<std::string>;
    [[nodiscard]] auto ownerEpoch() const -> std::uint64_t;
    [[nodiscard]] auto processName() const -> std::string;
    [[nodiscard]] auto rank() const -> unsigned;

    host_environment m_env;
    store::append_repeater m_appends;
    store::record_store m_records; ///< The store, with appends that are repeated when their answer is overdue.
    core::monotonic_time m_startedAt;
    route::route_table m_routes;
    config_follower m_config;
    owner_election m_election;
    owner_announcer m_announcer;
    request_forwarder m_forwarder;
    std::unique_ptr<pool_owner> m_owner;
    bool m_stopping = false;
};
} // namespace poplarpass::host
