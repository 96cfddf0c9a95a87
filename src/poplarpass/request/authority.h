#pragma once

#include <poplarpass/request/membership.h>
#include <poplarpass/request/peer_message.h>

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarpass::request
{
/// \brief Readings of both clocks of a process, taken together.
struct instant
{
    core::monotonic_time now;
    core::wall_time wall;
};

/// \brief Whether the records of a key, held by two members each, may have been lost with removed members.
enum class record_coverage {
    complete, ///< No member was lost since the key was minted.
    one_copy_left, ///< One member was lost; another member has the record of the key if it was ever dispatched.
    incomplete, ///< The key may have been dispatched without any current member having a record of it.
};

/// \brief Decides whether this process may grant keys and dispatch work, from the member list and its freshness.
///
/// A process may act while it is in the newest member list and has recent evidence that this list is current: a read of
/// the log to its end, or heartbeat answers from more than half of the members. A shorter list becomes active only when
/// the removed members can no longer have such evidence.
/// \sa docs/AT-MOST-ONCE.md
class authority
{
public:
    /// \param self this process; it may act only while the member list contains this incarnation
    explicit authority(member_ref self);

    /// \brief Applies the member list that results from a log record; epochs must increase.
    auto foldMembership(const membership &next, instant at) -> void;
    /// \brief Applies a log record stating that every removal up to \p epoch is active at some process.
    auto foldSettled(std::uint64_t epoch) -> void;
    /// \brief Returns the epoch to write into a record that settles removals, if the active list has unsettled ones.
    [[nodiscard]] auto epochToSettle() const -> std::optional<std::uint64_t>;
    /// \brief Records that a read started at \p startedAt reached the end of the log.
    auto logReadToEnd(core::monotonic_time startedAt) -> void;
    /// \brief Records that heartbeat number \p sequence was sent to \p to.
    auto pingSent(const core::member_id &to, std::uint64_t sequence, core::monotonic_time at) -> void;
    /// \brief Handles a heartbeat from another entry.
    auto heartbeatReceived(const heartbeat &beat, instant at) -> void;
    /// \brief Records that the peer's host refused a connection attempt begun at \p triedAt.
    auto connectionRefused(const core::member_id &member, core::monotonic_time triedAt) -> void;
    /// \brief Records that \p member announced its permanent stop.
    auto memberLeft(const member_ref &member) -> void;
    /// \brief Activates member lists whose delay has expired.
    /// \returns whether the active epoch changed
    auto advance(instant at) -> bool;

    /// \brief Returns whether this process may grant, promise or dispatch non-idempotent work at \p now.
    [[nodiscard]] auto mayAct(core::monotonic_time now) const -> bool;
    /// \brief Returns whether this process may grant keys without claims sent to every member.
    [[nodiscard]] auto mayGrantWithoutClaim(core::monotonic_time now) const -> bool;
    /// \brief Returns whether the log was read to its end within freshnessTerm.
    [[nodiscard]] auto logFresh(core::monotonic_time now) const -> bool;
    /// \brief Returns whether more than half of the members, including this one, answered within freshnessTerm with the
    /// same epoch and the others are known to have stopped.
    [[nodiscard]] auto peersFresh(core::monotonic_time now) const -> bool;

    /// \brief Returns the active member list.
    [[nodiscard]] auto activeMembership() const -> const membership &;
    /// \brief Returns the newest folded member list, active or not yet.
    [[nodiscard]] auto newestMembership() const -> const membership &;
    /// \brief Returns the epoch of the newest folded member list.
    [[nodiscard]] auto foldedEpoch() const -> std::uint64_t;
    [[nodiscard]] auto self() const -> const member_ref &;
    /// \brief Returns the incarnation of \p member in the active list, if present.
    [[nodiscard]] auto activeMember(const core::member_id &member) const -> std::optional<member_ref>;
    /// \brief Returns the time since which \p member is known to act in the active epoch.
    [[nodiscard]] auto actsSince(const core::member_id &member) const -> std::optional<core::wall_time>;
    /// \brief Returns the time since which every member is known to act in the active epoch.
    [[nodiscard]] auto establishedAt() const -> std::optional<core::wall_time>;
    /// \brief Returns how far the active members cover the records of a key minted at \p minted.
    [[nodiscard]] auto recordCoverageOf(core::wall_time minted) const -> record_coverage;

private:
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t foldedEpoch = 0;
        std::uint64_t actingEpoch = 0;
        std::uint64_t freshEpoch = 0;
        std::optional<core::monotonic_time> freshAt;
        std::optional<core::monotonic_time> refusedAt;
        std::optional<core::wall_time> actsSince;
        std::map<std::uint64_t, core::monotonic_time> pings;
    };

    struct pending_membership
    {
        membership list;
        std::vector<unsettled_removal> removals;
        std::optional<core::monotonic_time> excludedAt;
    };

    auto activate(const membership &list, core::wall_time wall) -> void;
    auto recordLosses(const membership &list, core::wall_time wall) -> void;
    auto isDue(pending_membership &pending, core::monotonic_time now) -> bool;
    [[nodiscard]] auto isExcluded(const unsettled_removal &removal, core::monotonic_time now) const -> bool;
    [[nodiscard]] auto hasFolded(const member_ref &member, std::uint64_t epoch) const -> bool;
    [[nodiscard]] auto isActiveAtPeer(std::uint64_t epoch) const -> bool;
    [[nodiscard]] auto hasAnnouncedStop(const member_ref &member) const -> bool;
    [[nodiscard]] auto answeredRecently(const member_ref &member, core::monotonic_time now) const -> bool;
    [[nodiscard]] auto isKnownStopped(const member_ref &member, core::monotonic_time now) const -> bool;

    member_ref m_self;
    membership m_active;
    std::vector<member_loss> m_losses;
    std::deque<pending_membership> m_pending;
    std::optional<core::monotonic_time> m_logReadAt;
    std::unordered_map<core::member_id, peer_state> m_peers;
    std::vector<member_ref> m_stopped;
};

/// \brief Returns whether \p list contains \p member in this incarnation.
auto contains(const membership &list, const member_ref &member) -> bool;
} // namespace poplarpass::request
