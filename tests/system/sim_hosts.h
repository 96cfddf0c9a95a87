#pragma once

#include "sim_fleet.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief One host with its process and its injected faults.
struct sim_host
{
    std::string name;
    std::string address;
    owner::host_resources resources;
    bool up = false; ///< Whether its process runs.
    std::uint64_t incarnation = 0; ///< Number of the process, increased at each start.
    std::int64_t suspendedUntil = 0; ///< The process is suspended until then, ms.
    bool cutFromWorkers = false; ///< Whether it is cut off from workers and the host service.
    std::set<std::string> cutFromHosts; ///< Names of the hosts that it cannot reach.
    std::int64_t lastFaultAt = 0; ///< Time of its last fault, ms.
    std::uint64_t latestConfigVersion = 0; ///< Latest configuration version seen in force in this process.

    core::time_source time;
    std::unique_ptr<poplarpass::observe::logger> log;
    std::unique_ptr<poplarpass::observe::metrics_registry> metrics;
    store::record_store records;
    host::worker_calls workers;
    host::host_calls hosts;
    host::advice_calls advice;
    host::peer_calls peers;
    std::unique_ptr<host::host_core> core;
};

/// \brief All hosts: starts, kills and suspends their processes and delivers the calls between them.
class sim_hosts
{
public:
    sim_hosts(sim_network &network, sim_store &store, sim_fleet &fleet);

    /// \brief Adds a host and starts its process.
    auto add(const std::string &name) -> void;

    /// \brief Starts the process of a host on which none runs.
    auto start(sim_host &simHost) -> void;

    /// \brief Kills the process immediately.
    auto kill(sim_host &simHost) -> void;

    /// \brief Stops the process gracefully, with time for the handover, and starts it again.
    auto restart(sim_host &simHost) -> void;

    /// \brief Suspends the process for \p time.
    auto suspend(sim_host &simHost, core::duration time) -> void;

    /// \brief Whether neither the host nor the store had a fault recently.
    [[nodiscard]] auto isHealthy(const sim_host &simHost) const -> bool;

    /// \brief Sends a caller's request to a host.
    /// \param done receives the answer, or nothing after a timeout
    auto send(sim_host &simHost, const net::http_request &call,
              std::function<void(std::optional<net::http_response>)> done) -> void;

    /// \brief Records ongoing faults and checks each host's configuration version.
    auto tick() -> void;

    /// \brief Returns the host that owns the pools; null if none or more than one claims to.
    auto currentOwner() -> sim_host *;

    auto all() -> std::vector<std::unique_ptr<sim_host>> &;

    host::platform_decoders decoders; ///< Decoders used by all hosts.
    rule_checker *rules = nullptr; ///< Receives violations.
    double lateForwards = 0; ///< Probability that a request forwarded between hosts is delayed.
    std::int64_t storeLastFaultAt = 0; ///< Time of the store's last fault, ms.
    std::set<std::string> eventNames; ///< Names of all logged events.
    std::size_t takeovers = 0; ///< Number of elected owners.

private:
    auto portOf(sim_host &simHost) -> process_port;
    auto makeTime(sim_host &simHost) -> core::time_source;
    auto makeLog(sim_host &simHost) -> std::unique_ptr<poplarpass::observe::logger>;
    auto makePeers(sim_host &simHost) -> host::peer_calls;
    auto deliver(sim_host &simHost, std::uint64_t incarnation, const std::function<void()> &action) -> void;
    auto find(const std::string &address) -> sim_host *;
    auto peerDelivery(const sim_host &from, const std::string &address) -> call_delivery;

    sim_network &m_network;
    sim_store &m_store;
    sim_fleet &m_fleet;
    std::vector<std::unique_ptr<sim_host>> m_hosts;
};
} // namespace tests::system_sim
