#pragma once

#include "sim_fleet.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief One host of the system: its process, and its troubles.
struct sim_host
{
    std::string name;
    std::string address;
    bool up = false; ///< Whether its process runs.
    std::uint64_t incarnation = 0; ///< Number of its process.
    std::int64_t frozenUntil = 0; ///< Nothing happens in it before this.
    bool cutFromWorkers = false; ///< Whether it reaches workers and the service for hosts.
    std::set<std::string> cutFromHosts; ///< Hosts that it does not reach.
    std::int64_t troubledAt = 0; ///< When it last had trouble of its own.
    std::uint64_t newestConfig = 0; ///< Newest configuration that this process had in force.

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

/// \brief All hosts: starts, kills, freezes and cuts them, and carries what they send to each other.
class sim_hosts
{
public:
    sim_hosts(sim_network &network, sim_store &store, sim_fleet &fleet);

    /// \brief Adds a host and starts its process.
    auto add(const std::string &name) -> void;

    /// \brief Starts a process on a host that has none.
    auto start(sim_host &one) -> void;

    /// \brief Ends the process at once.
    auto kill(sim_host &one) -> void;

    /// \brief Asks the process to stop; it ends when it has handed over, and starts again.
    auto restart(sim_host &one) -> void;

    /// \brief Nothing happens in the process for \p time.
    auto freeze(sim_host &one, core::duration time) -> void;

    /// \brief Whether the host had no trouble for a while, and the store none either.
    [[nodiscard]] auto isInTouch(const sim_host &one) const -> bool;

    /// \brief A caller sends \p call to a host.
    /// \param done gets the answer, or nothing when none came in time
    auto send(sim_host &one, const net::http_request &call, std::function<void(std::optional<net::http_response>)> done)
        -> void;

    /// \brief Notes troubles that go on, and what each host believes.
    auto tick() -> void;

    /// \brief The host that owns the pools; null when none does, or more than one believes it.
    auto currentOwner() -> sim_host *;

    /// \brief All hosts.
    auto all() -> std::vector<std::unique_ptr<sim_host>> &;

    host::platform_decoders decoders; ///< Formats that all hosts read.
    rule_checker *rules = nullptr; ///< Told of what hosts believe wrongly.
    std::int64_t storeTroubledAt = 0; ///< When the store last had trouble.
    std::set<std::string> eventNames; ///< Names of all events that hosts logged.
    std::size_t takeovers = 0; ///< Times that a host came to own the pools.

private:
    auto portOf(sim_host &one) -> process_port;
    auto makeTime(sim_host &one) -> core::time_source;
    auto makeLog(sim_host &one) -> std::unique_ptr<poplarpass::observe::logger>;
    auto makePeers(sim_host &one) -> host::peer_calls;
    auto deliver(sim_host &one, std::uint64_t incarnation, const std::function<void()> &action) -> void;
    auto find(const std::string &address) -> sim_host *;
    auto peerFate(const sim_host &from, const std::string &address) -> call_fate;

    sim_network &m_network;
    sim_store &m_store;
    sim_fleet &m_fleet;
    std::vector<std::unique_ptr<sim_host>> m_hosts;
};
} // namespace tests::system_sim
