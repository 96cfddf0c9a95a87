#pragma once

#include "sim_callers.h"

#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief A kind of fault that is injected at random.
struct trouble
{
    std::string name; ///< Name in the test's output.
    double perSecond = 0; ///< Mean number of injections per second.
    std::function<void()> begin; ///< Injects the fault; it ends by itself after a random time.
};

/// \brief Simulates a whole system under injected faults.
class system_world
{
public:
    explicit system_world(std::uint64_t seed);

    /// \brief Runs \p time with faults, then without until the system is settled, for at most \p calm.
    auto play(core::duration time, core::duration calm) -> void;

    /// \brief Returns the violations found.
    [[nodiscard]] auto breaches() const -> const std::vector<std::string> &;

    /// \brief Returns a hash over all records of the store; equal for equal seeds.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    std::size_t takeovers = 0; ///< Number of elected owners.
    std::size_t accepted = 0; ///< Number of acknowledged jobs.
    std::size_t finished = 0; ///< Number of jobs of which all tasks are done.
    std::map<std::string, std::size_t> troubles; ///< Number of injections by kind of fault.
    std::set<std::string> eventNames; ///< Names of all logged events.

private:
    auto makeTroubles() -> void;
    auto makeHostTroubles() -> void;
    auto makeStoreTroubles() -> void;
    auto makeFleetTroubles() -> void;
    auto makeOperatorTroubles() -> void;
    auto makeDecoders() -> void;
    auto publish() -> void;
    auto beginWave() -> void;
    auto tick(bool withTrouble) -> void;
    auto checkBeliefs() -> void;
    auto endTroubles() -> void;
    auto isSettled() -> bool;
    auto finish() -> void;
    auto anyHost() -> sim_host &;
    auto ownerOrAny() -> sim_host &;
    auto anyMachine() -> sim_machine &;
    auto configOf(std::uint64_t version) const -> route::route_config;

    sim_network m_network;
    sim_store m_store;
    rule_checker m_rules;
    sim_fleet m_fleet;
    sim_hosts m_hosts;
    sim_callers m_callers;
    std::vector<trouble> m_troubles;
    std::uint64_t m_version = 0;
    std::int64_t m_publishedAt = 0;
    double m_jobsPerSecond = 4;
    std::uint64_t m_digest = 0;
};
} // namespace tests::system_sim
