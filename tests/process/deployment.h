#pragma once

#include "child_process.h"
#include "http_call.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tests
{
/// \brief A small fleet of real processes behind stand-ins and a fault-injecting proxy, on ports that are free.
class deployment
{
public:
    /// \param workers workers in all, spread over the pools "quick" and "slow"
    deployment(int entries, int controls, int workers);
    ~deployment();

    /// \brief Starts, or starts again, the process \p name ("entry-1", "control-2").
    auto start(const std::string &name) -> child_process &;

    /// \brief Process \p name.
    auto process(const std::string &name) -> child_process &;

    /// \brief Publishes the fleet text with \p quickDemand slots for the pool "quick"; returns the verb's output.
    auto publish(int quickDemand, const std::string &basedOn = {}) -> std::string;

    /// \brief Runs an operator verb and returns its output.
    auto run(std::vector<std::string> arguments) -> std::string;

    /// \brief "IP:port" at which entry \p name takes callers now.
    auto callers(const std::string &name) -> std::string;

    /// \brief Status document of process \p name.
    auto status(const std::string &name) -> nlohmann::json;

    /// \brief Polls until \p reached holds; false at the time limit.
    static auto eventually(const std::function<bool()> &reached, std::chrono::seconds limit = std::chrono::seconds{40})
        -> bool;

    /// \brief Waits until every host serves and every member may act.
    auto awaitReady() -> bool;

    /// \brief Sets faults of the log service.
    auto logFault(const nlohmann::json &faults) -> void;

    /// \brief Sets faults of the proxy in front of peer \p name.
    auto cutPeer(const std::string &name, const nlohmann::json &faults) -> void;

    /// \brief Everything that the workers saw.
    auto journal() -> nlohmann::json;

    /// \brief Number of starts that workers saw for task \p key.
    static auto startsOf(const nlohmann::json &journal, const std::string &key) -> int;

    /// \brief Names of all entries.
    [[nodiscard]] auto entries() const -> const std::vector<std::string> &;

private:
    auto writeSettings(const std::string &name, const std::string &kind, std::size_t index) -> void;
    auto fleetText(int quickDemand) const -> std::string;
    auto settingsOf(const std::string &name) const -> std::string;

    std::filesystem::path m_folder;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_names;
    std::vector<std::string> m_peerPorts;
    std::string m_log;
    std::string m_hostList;
    std::string m_journal;
    std::string m_proxyControl;
    std::vector<std::string> m_proxies;
    int m_workers;
    std::string m_lastProblem;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_proxy;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

/// \brief A UUIDv7 idempotency key minted now.
auto mintKey() -> std::string;

/// \brief Body of a job for pool "quick".
auto jobBody(const std::string &key, int runTimeMs, bool idempotent = false) -> std::string;
} // namespace tests
