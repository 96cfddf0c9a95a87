#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/replication/entry_history.h>
#include <poplarpass/replication/host_state.h>
#include <poplarpass/replication/recent_ids.h>
#include <poplarpass/replication/record.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::replication
{
/// \brief One process in the replicated member list.
struct member_state
{
    member_join_record joined; ///< Latest join record.
    log_offset since = 0; ///< Offset of the join record.

    auto operator==(const member_state &) const -> bool = default;
};

/// \brief The control role in the replicated state.
struct control_state
{
    core::member_id holder; ///< Member that holds it; empty before the first claim.
    std::uint64_t incarnation = 0; ///< The holder's incarnation.
    std::uint64_t epoch = 0; ///< Increases with each claim; 0 before the first.
    log_offset lastRenewal = 0; ///< Offset of the latest claim or renewal.

    auto operator==(const control_state &) const -> bool = default;
};

/// \brief State of one wave.
struct wave_state
{
    core::wave_id name; ///< Wave name, unique.
    std::vector<core::pool_id> pools; ///< Pools covered; empty means all.
    log_offset startedAt = 0; ///< Offset of the start record; hosts maintained after it are finished.
    bool paused = false; ///< Paused by an operator.
    bool finished = false; ///< Finished by the holder of the control role.

    auto operator==(const wave_state &) const -> bool = default;
};

/// \brief Result of applying one record.
struct applied
{
    bool accepted = false; ///< Whether it changed the state.
    bool duplicate = false; ///< Whether its record id was applied before; only the first occurrence counts.
    std::optional<core::error> refusal; ///< Reason when it was not accepted.
};

/// \brief Finished waves retained at most.
inline constexpr std::size_t maxFinishedWaves = 32;

/// \brief All data of a fleet_state, for snapshots.
struct state_parts
{
    log_offset offset = 0; ///< Offset of the last record applied.
    config::fleet_config config; ///< Configuration in force.
    std::string configText; ///< Source text of the configuration.
    std::uint64_t revision = 0; ///< Revision of the configuration.
    std::uint64_t memberEpoch = 0; ///< Epoch of the member list.
    std::vector<member_state> members; ///< Members, by name.
    entry_history entries; ///< Earlier lists of entries.
    control_state control; ///< The control role.
    std::vector<host_state> hosts; ///< Hosts, by name.
    std::vector<wave_state> waves; ///< Waves, in order of their start.
    std::vector<recent_record> recentIds; ///< Ids of the latest records, oldest first.
};

/// \brief Replicated fleet state: the deterministic result of applying the log in order of offsets.
///
/// It has no clock and performs no I/O. Two instances that applied the same records have the same digest().
class fleet_state
{
public:
    /// \brief Constructs the state before the first record.
    fleet_state();

    /// \brief Constructs a state from \p parts; fails with malformed_message if their order or references are invalid.
    static auto fromParts(state_parts parts) -> core::result<fleet_state>;

    /// \brief Returns a copy of all data of the state.
    [[nodiscard]] auto parts() const -> state_parts;

    /// \brief Applies the record at \p offset.
    /// \pre \p offset is greater than offset()
    auto apply(log_offset offset, const core::record_id &id, const record &change) -> applied;

    /// \brief Skips an undecodable record at \p offset; every process skips it alike.
    auto skip(log_offset offset) -> void;

    /// \brief Offset of the last record applied; 0 before the first.
    [[nodiscard]] auto offset() const -> log_offset;

    /// \brief Digest of the whole state, equal in every process at the same offset; constant time.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// \brief Configuration in force; empty before the first revision.
    [[nodiscard]] auto config() const -> const config::fleet_config &;

    /// \brief Revision in force: the offset of its record; 0 before the first.
    [[nodiscard]] auto revision() const -> std::uint64_t;

    /// \brief Source text of the revision in force.
    [[nodiscard]] auto configText() const -> const std::string &;

    /// \brief Epoch of the member list; increases with each change.
    [[nodiscard]] auto memberEpoch() const -> std::uint64_t;

    /// \brief Earlier lists of entries, as far as retained.
    [[nodiscard]] auto entries() const -> const entry_history &;

    /// \brief Members, ordered by name.
    [[nodiscard]] auto members() const -> std::span<const member_state>;

    /// \brief The control role.
    [[nodiscard]] auto control() const -> const control_state &;

    /// \brief Hosts, ordered by name.
    [[nodiscard]] auto hosts() const -> std::span<const host_state>;

    /// \brief Unfinished waves and the latest finished ones, in order of their start.
    [[nodiscard]] auto waves() const -> std::span<const wave_state>;

    /// \brief Finds a host by name; null if there is none.
    [[nodiscard]] auto findHost(const core::host_id &host) const -> const host_state *;

    /// \brief Finds a pool by name in the configuration in force; null if there is none.
    [[nodiscard]] auto findPool(const core::pool_id &pool) const -> const config::pool *;

    /// \brief Finds a profile by name in the configuration in force; null if there is none.
    [[nodiscard]] auto findProfile(const core::profile_id &profile) const -> const config::profile *;

    /// \brief Finds the outcome of the record \p id; null if it was not applied or is no longer retained.
    [[nodiscard]] auto findRecord(const core::record_id &id) const -> const recent_record *;

private:
    auto applyChange(log_offset offset, const config_record &change) -> applied;
    [[nodiscard]] auto entryIncarnations() const -> std::vector<entry_incarnation>;
    auto recordMemberChange(log_offset offset, std::span<const entry_incarnation> before, bool lost,
                            std::uint64_t atUnixMs) -> void;
    auto applyChange(log_offset offset, const member_join_record &change) -> applied;
    auto applyChange(log_offset offset, const member_leave_record &change) -> applied;
    auto applyChange(log_offset offset, const control_claim_record &change) -> applied;
    auto applyChange(log_offset offset, const control_renew_record &change) -> applied;
    auto applyChange(log_offset offset, const host_record &change) -> applied;
    auto applyChange(log_offset offset, const wave_record &change) -> applied;
    auto applyChange(log_offset offset, const snapshot_record &change) -> applied;
    auto applyChange(log_offset offset, const removal_settled_record &change) -> applied;

    auto addHost(log_offset offset, const host_record &change) -> applied;
    auto removeHost(host_state &host) -> applied;
    auto changeHost(log_offset offset, const host_record &change, host_state &host) -> applied;
    auto startMove(const host_record &change, host_state &host) -> applied;
    auto finishMove(log_offset offset, const host_record &change, host_state &host) -> applied;
    auto startDrain(const host_record &change, host_state &host) -> applied;
    auto finishMaintenance(log_offset offset, const host_record &change, host_state &host) -> applied;
    auto markUp(const host_record &change, host_state &host) -> applied;
    auto setPhase(const host_record &change, host_state &host) -> applied;
    [[nodiscard]] auto checkBudget(const host_state &host) const -> std::optional<core::error>;
    [[nodiscard]] auto checkLendingLimits(const host_state &host, const config::pool &target) const
        -> std::optional<core::error>;
    [[nodiscard]] auto checkMaintenance(const host_record &change, const host_state &host) const
        -> std::optional<core::error>;
    auto replaceHost(host_state &host, host_state next) -> void;
    auto requireBudget(const core::pool_id &pool) const -> void;

    auto startWave(log_offset offset, const wave_record &change) -> applied;
    auto dropOldFinishedWaves() -> void;
    auto refreshDigests() -> void;

    log_offset m_offset = 0;
    config::fleet_config m_config;
    std::string m_configText;
    std::uint64_t m_revision = 0;
    std::uint64_t m_memberEpoch = 0;
    std::vector<member_state> m_members;
    entry_history m_entries;
    control_state m_control;
    std::vector<host_state> m_hosts;
    std::vector<wave_state> m_waves;
    recent_ids m_recentIds;

    // Digests of the parts, updated at each change of a part.
    std::uint64_t m_configDigest = 0;
    std::uint64_t m_memberDigest = 0;
    std::uint64_t m_hostDigest = 0;
    std::uint64_t m_waveDigest = 0;
};
} // namespace poplarpass::replication
