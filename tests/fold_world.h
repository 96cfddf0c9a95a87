#pragma once

#include "fake_log.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace tests
{
/// \brief One randomised history: readers, holders of the control role and operators around a faulty log.
///
/// Faults: lost answers with and without effect, effects that come late, doubles, outages, old copies, trimming,
/// readers that freeze, stop and start. It compares each reader with the fold of the whole history, and keeps what
/// operators were told. Every check throws a description of what failed.
class fold_world
{
public:
    /// \brief How often the points that the test is about were reached.
    struct reached
    {
        int accepted = 0; ///< Revisions whose operator was told that they are in force.
        int refused = 0; ///< Revisions whose operator was told that they are not.
        int notAccepted = 0; ///< Revisions that were never sent.
        int unknown = 0; ///< Revisions of which nothing is known.
        int moves = 0; ///< Hosts that joined another pool.
        int drains = 0; ///< Drains accepted.
        int limited = 0; ///< Drains and moves refused by the budget.
        int fromSnapshot = 0; ///< Times that a reader took a snapshot.
        int fromPeer = 0; ///< Times that a reader took a peer's state.
        int handovers = 0; ///< Claims accepted.
        int members = 0; ///< Changes of the member list.
        int stuck = 0; ///< Reads after which a reader could not recover.
    };

    explicit fold_world(std::uint64_t seed);

    /// \brief Runs \p steps of 100 ms, then heals everything and checks that all readers agree.
    auto run(int steps) -> void;

    [[nodiscard]] auto counts() const -> const reached &
    {
        return m_reached;
    }

private:
    struct publication
    {
        replication::publisher publisher;
        replication::record change;
        bool byOperator = false;
        std::optional<core::result<replication::log_offset>> answer;
    };

    struct reader
    {
        core::member_id name;
        std::unique_ptr<replication::log_follower> follower;
        std::deque<publication> publications;
        replication::snapshot_policy snapshots{{60, std::chrono::seconds{20}, 3}};
        core::monotonic_time frozenUntil;
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
        replication::log_offset renewal = 0;
        core::monotonic_time renewalSeen;
    };

    struct late_append
    {
        core::monotonic_time at;
        core::record_id id;
        replication::record change;
    };

    struct told
    {
        core::record_id id;
        std::uint64_t basedOn = 0;
        replication::publish_outcome outcome;
    };

    auto chance(int percent) -> bool;
    auto below(std::size_t bound) -> std::size_t;
    auto step() -> void;
    auto changeFaults() -> void;
    auto start(reader &target) -> void;
    auto startFromPeer(reader &target) -> void;
    auto readLog(reader &target) -> void;
    auto checkReader(reader &target) -> void;
    auto publish(reader &target, replication::record change, bool byOperator) -> void;
    auto drivePublications(reader &target) -> void;
    auto send(publication &sent) -> void;
    auto takeEffect(const core::record_id &id, const replication::record &change) -> replication::log_offset;
    auto checkTruth(const replication::fleet_state &before, const replication::record &change,
                    const replication::applied &outcome) -> void;
    auto checkHosts(const replication::fleet_state &before, const replication::record &change) -> void;
    auto checkBudgets(const replication::fleet_state &before, const replication::record &change) -> void;
    auto control(reader &target) -> void;
    auto hold(reader &target) -> void;
    auto hostChange(const replication::fleet_state &state) -> replication::host_record;
    auto memberChange(const replication::fleet_state &state) -> replication::record;
    auto operate() -> void;
    auto heal() -> void;
    auto checkTold() -> void;

    std::mt19937_64 m_random;
    core::monotonic_time m_now{};
    fake_log m_log;
    replication::fleet_state m_truth;
    std::map<replication::log_offset, std::uint64_t> m_digests;
    std::map<replication::log_offset, std::uint64_t> m_revisions;
    std::deque<reader> m_readers;
    std::vector<late_append> m_late;
    std::vector<told> m_told;
    bool m_outage = false;
    bool m_healing = false;
    reached m_reached;
};
} // namespace tests
