#pragma once

#include "fake_log.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace tests
{
/// \brief Randomised simulation of readers, holders of the control role and operators with a faulty log.
///
/// Faults: lost responses with and without effect, delayed effects, duplicates, outages, outdated copies, trimming,
/// readers that freeze, stop and start. It compares each reader with a replay of the whole log, and checks the outcomes
/// reported to operators. Every check throws a description of what failed.
class replication_sim
{
public:
    /// \brief Counts of the events that the test must cover.
    struct event_counts
    {
        int accepted = 0; ///< Revisions reported as accepted.
        int refused = 0; ///< Revisions reported as refused.
        int notAccepted = 0; ///< Revisions reported as never sent.
        int unknown = 0; ///< Revisions with unknown outcome.
        int moves = 0; ///< Hosts that joined another pool.
        int drains = 0; ///< Drains accepted.
        int budgetRefusals = 0; ///< Drains and moves refused by the budget.
        int stateInstalls = 0; ///< Snapshots and peer states installed by readers.
        int peerInstalls = 0; ///< Peer states installed by readers.
        int acceptedClaims = 0; ///< Claims accepted.
        int membershipChanges = 0; ///< Changes of the member list.
        int unrecoverableReads = 0; ///< Reads after which a reader could not recover.
    };

    explicit replication_sim(std::uint64_t seed);

    /// \brief Runs \p steps of 100 ms, then ends all faults and checks that all readers agree.
    auto run(int steps) -> void;

    [[nodiscard]] auto counts() const -> const event_counts &
    {
        return m_counts;
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
        replication::log_offset lastRenewal = 0;
        core::monotonic_time renewalSeenAt;
    };

    struct delayed_append
    {
        core::monotonic_time at;
        core::record_id id;
        replication::record change;
    };

    struct reported_outcome
    {
        core::record_id id;
        std::uint64_t basedOn = 0;
        replication::publish_outcome outcome;
    };

    auto randomChance(int percent) -> bool;
    auto randomBelow(std::size_t bound) -> std::size_t;
    auto step() -> void;
    auto changeFaults() -> void;
    auto start(reader &target) -> void;
    auto startFromPeer(reader &target) -> void;
    auto readLog(reader &target) -> void;
    auto checkReader(reader &target) -> void;
    auto publish(reader &target, replication::record change, bool byOperator) -> void;
    auto drivePublications(reader &target) -> void;
    auto send(publication &sent) -> void;
    auto appendAndApply(const core::record_id &id, const replication::record &change) -> replication::log_offset;
    auto checkTransition(const replication::fleet_state &before, const replication::record &change,
                         const replication::applied &outcome) -> void;
    auto checkHosts(const replication::fleet_state &before, const replication::record &change) -> void;
    auto checkBudgets(const replication::fleet_state &before, const replication::record &change) -> void;
    auto runControlRole(reader &target) -> void;
    auto actAsHolder(reader &target) -> void;
    auto hostChange(const replication::fleet_state &state) -> replication::host_record;
    auto memberChange(const replication::fleet_state &state) -> replication::record;
    auto publishRevisions() -> void;
    auto recover() -> void;
    auto checkReportedOutcomes() -> void;

    std::mt19937_64 m_random;
    core::monotonic_time m_now{};
    fake_log m_log;
    replication::fleet_state m_referenceState;
    std::map<replication::log_offset, std::uint64_t> m_digests;
    std::map<replication::log_offset, std::uint64_t> m_revisions;
    std::deque<reader> m_readers;
    std::vector<delayed_append> m_delayedAppends;
    std::vector<reported_outcome> m_reportedOutcomes;
    bool m_outage = false;
    bool m_recovering = false;
    event_counts m_counts;
};
} // namespace tests
