#pragma once

#include "sim_callers.h"

#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief A kind of fault that is injected at random.
struct fault_kind
{
    std::string name; ///< Name in the test's output.
    double perSecond = 0; ///< Mean number of injections per second.
    std::function<void()> inject; ///< Injects the fault, for a random time if it lasts.
};

/// \brief Simulates a whole system under injected faults.
class simulated_system
{
public:
    explicit simulated_system(std::uint64_t seed);

    /// \brief Runs \p time with faults, then without until the system is settled, for at most \p recoveryLimit.
    auto run(core::duration time, core::duration recoveryLimit) -> void;

    /// \brief Returns the violations found.
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;

    /// \brief Returns a hash over all records of the store; equal for equal seeds.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    std::size_t takeovers = 0; ///< Number of elected owners.
    std::size_t accepted = 0; ///< Number of acknowledged jobs.
    std::size_t finished = 0; ///< Number of jobs of which all tasks are done.
    std::map<std::string, std::size_t> injections; ///< Number of injections by kind of fault.
    std::set<std::string> eventNames; ///< Names of all logged events.

private:
    auto makeFaultKinds() -> void;
    auto makeHostFaults() -> void;
    auto makeStoreFaults() -> void;
    auto makeFleetFaults() -> void;
    auto makeOperatorEvents() -> void;
    auto makeDecoders() -> void;
    auto publish() -> void;
    auto beginWave() -> void;
    auto tick(bool withFaults) -> void;
    auto checkReportedState() -> void;
    auto endFaults() -> void;
    auto isSettled() -> bool;
    auto finish() -> void;
    auto randomHost() -> sim_host &;
    auto ownerOrRandomHost() -> sim_host &;
    auto randomMachine() -> sim_machine &;
    auto configOf(std::uint64_t version) const -> route::route_config;

    sim_network m_network;
    sim_store m_store;
    rule_checker m_rules;
    sim_fleet m_fleet;
    sim_hosts m_hosts;
    sim_callers m_callers;
    std::vector<fault_kind> m_faultKinds;
    std::uint64_t m_configVersion = 0;
    std::int64_t m_publishedAt = 0;
    double m_jobsPerSecond = 4;
    std::uint64_t m_digest = 0;
};
} // namespace tests::system_sim
