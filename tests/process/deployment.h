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
/// \brief A small deployment of real processes with stand-ins for the platform and fault-injecting proxies between
/// peers.
///
/// All processes listen on free ports of the loopback interface.
class deployment
{
public:
    /// \param entries number of entry processes
    /// \param controls number of control processes
    /// \param workers number of workers, spread over the pools "quick" and "slow"
    deployment(int entries, int controls, int workers);
    ~deployment();

    /// \brief Starts or restarts the process \p name ("entry-1", "control-2").
    auto start(const std::string &name) -> child_process &;

    /// \brief Returns the process \p name.
    auto process(const std::string &name) -> child_process &;

    /// \brief Publishes a fleet configuration with \p quickDemand slots for the pool "quick".
    /// \param basedOn revision passed as --based-on, if not empty
    /// \returns the output of the operator command
    auto publish(int quickDemand, const std::string &basedOn = {}) -> std::string;

    /// \brief Runs an operator command and returns its output.
    auto run(std::vector<std::string> arguments) -> std::string;

    /// \brief Returns the path of the settings file of process \p name.
    [[nodiscard]] auto settingsPath(const std::string &name) const -> std::string;

    /// \brief Writes a fleet configuration with \p quickDemand slots for the pool "quick" and returns its path.
    auto writeFleet(int quickDemand) -> std::string;

    /// \brief Returns the current "IP:port" of entry \p name for callers.
    auto callerAddress(const std::string &name) -> std::string;

    /// \brief Returns the status document of process \p name; empty if it does not answer.
    auto status(const std::string &name) -> nlohmann::json;

    /// \brief Polls until \p reached holds; returns false at the time limit.
    static auto eventually(const std::function<bool()> &reached, std::chrono::seconds limit = std::chrono::seconds{40})
        -> bool;

    /// \brief Waits until all members and slots are reported and every entry completes a job.
    auto awaitReady() -> bool;

    /// \brief Sets the injected faults of the log service.
    auto setLogFaults(const nlohmann::json &faults) -> void;

    /// \brief Sets the injected faults of the proxy in front of peer \p name.
    auto setPeerFaults(const std::string &name, const nlohmann::json &faults) -> void;

    /// \brief Returns the journal of all runs on the workers.
    auto journal() -> nlohmann::json;

    /// \brief Returns the number of starts of task \p key in \p journal.
    static auto startsOf(const nlohmann::json &journal, const std::string &key) -> int;

    /// \brief Returns the names of all entries.
    [[nodiscard]] auto entries() const -> const std::vector<std::string> &;

private:
    auto writeSettings(const std::string &name, const std::string &kind, std::size_t index) -> void;
    auto fleetText(int quickDemand) const -> std::string;

    std::filesystem::path m_folder;
    std::vector<std::string> m_entryNames;
    std::vector<std::string> m_processNames;
    std::vector<std::string> m_peerAddresses;
    std::string m_logAddress;
    std::string m_hostListAddress;
    std::string m_journalAddress;
    std::string m_proxyControlAddress;
    std::vector<std::string> m_proxyAddresses;
    int m_workers;
    std::string m_notReadyReason;
    std::unique_ptr<child_process> m_standins;
    std::unique_ptr<child_process> m_proxy;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

/// \brief Returns \p count free addresses "IP:port" of the loopback interface.
auto freeAddresses(std::size_t count) -> std::vector<std::string>;

/// \brief Returns the path of the program \p name of this build.
auto binaryPath(const std::string &name) -> std::string;

/// \brief Returns a new idempotency key, a UUIDv7 of the current time.
auto makeKey() -> std::string;

/// \brief Returns the request body of a job for the pool "quick".
auto jobBody(const std::string &key, int runTimeMs, bool idempotent = false) -> std::string;
} // namespace tests
