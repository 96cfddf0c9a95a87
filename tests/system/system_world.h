#pragma once

#include "sim_callers.h"

#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief A trouble that comes at random; \p begin brings it about.
struct trouble
{
    std::string name; ///< What it is.
    double perSecond = 0; ///< How often it comes.
    std::function<void()> begin; ///< Brings it about, for a while drawn at random.
};

/// \brief A whole system under trouble.
class system_world
{
public:
    explicit system_world(std::uint64_t seed);

    /// \brief Plays \p time with trouble, then a calm until all is settled, at most \p calm.
    auto play(core::duration time, core::duration calm) -> void;

    /// \brief Broken rules.
    [[nodiscard]] auto breaches() const -> const std::vector<std::string> &;

    /// \brief A sum over all that callers and workers saw: the same for the same seed.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    std::size_t takeovers = 0; ///< Owners that followed another.
    std::size_t accepted = 0; ///< Jobs that were acknowledged.
    std::size_t finished = 0; ///< Jobs of which all tasks ended as done.
    std::map<std::string, std::size_t> troubles; ///< How often each trouble came.
    std::set<std::string> eventNames; ///< Names of all events that hosts logged.

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
