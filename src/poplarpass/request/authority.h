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
/// \brief The two clocks of a process, read together.
struct instant
{
    core::monotonic_time now; ///< Monotonic time.
    core::wall_time wall; ///< Wall time.
};

/// \brief How much of the knowledge about keys of some age may have been lost with processes.
enum class knowledge {
    complete, ///< No member was lost since the key was minted.
    held_once, ///< One member was lost, so some other member knows the key if any ever did.
    lost, ///< The key may have been dispatched without any present member knowing.
};

/// \brief Decides whether this process may act for the fleet, and since when the others agree.
///
/// \sa docs/AT-MOST-ONCE.md
class authority
{
public:
    /// \param self this process; it may act only while the member list contains exactly this incarnation
    explicit authority(member_ref self);

    /// \brief Takes the member list after a record that changed it; epochs must grow.
    auto foldEpoch(const membership &next, instant at) -> void;
    /// \brief Takes a record that says that every removal up to \p epoch is in force somewhere.
    auto foldSettled(std::uint64_t epoch) -> void;
    /// \brief Epoch to name in a record that settles removals, if this process has put an unsettled one in force.
    [[nodiscard]] auto epochToSettle() const -> std::optional<std::uint64_t>;
    /// \brief Notes that the log was read to its end by a read that started at \p startedAt.
    auto logReadToEnd(core::monotonic_time startedAt) -> void;
    /// \brief Notes that heartbeat number \p sequence was sent to \p to.
    auto pingSent(const core::member_id &to, std::uint64_t sequence, core::monotonic_time at) -> void;
    /// \brief Takes a heartbeat of another entry.
    auto heartbeatReceived(const heartbeat &beat, instant at) -> void;
    /// \brief Notes that a connection attempt begun at \p triedAt was refused by the peer's host.
    auto connectionRefused(const core::member_id &member, core::monotonic_time triedAt) -> void;
    /// \brief Notes that \p member said that it has stopped for good.
    auto memberLeft(const member_ref &member) -> void;
    /// \brief Puts member lists in force whose waiting time is over.
    /// \returns whether the acting epoch changed
    auto advance(instant at) -> bool;

    /// \brief Whether this process may grant, promise or dispatch non-idempotent work at \p now.
    [[nodiscard]] auto mayAct(core::monotonic_time now) const -> bool;
    /// \brief Whether it may grant keys without asking every member.
    [[nodiscard]] auto mayGrantAlone(core::monotonic_time now) const -> bool;
    /// \brief Whether the log was read to its end within freshnessTerm.
    [[nodiscard]] auto logFresh(core::monotonic_time now) const -> bool;
    /// \brief Whether enough members answered within freshnessTerm with the same epoch.
    [[nodiscard]] auto peersFresh(core::monotonic_time now) const -> bool;

    /// \brief Member list in force at this process.
    [[nodiscard]] auto acting() const -> const membership &;
    /// \brief Newest list that was folded, in force or not.
    [[nodiscard]] auto newest() const -> const membership &;
    /// \brief Epoch of the newest list that was folded.
    [[nodiscard]] auto foldedEpoch() const -> std::uint64_t;
    /// \brief This process.
    [[nodiscard]] auto self() const -> const member_ref &;
    /// \brief The incarnation of \p member in the list in force, if it is there.
    [[nodiscard]] auto actingMember(const core::member_id &member) const -> std::optional<member_ref>;
    /// \brief Since when \p member is known to act in the epoch in force here.
    [[nodiscard]] auto actsSince(const core::member_id &member) const -> std::optional<core::wall_time>;
    /// \brief Since when every member is known to act in the epoch in force here.
    [[nodiscard]] auto establishedAt() const -> std::optional<core::wall_time>;
    /// \brief What the members in force can know of a key that was minted at \p minted.
    [[nodiscard]] auto knowledgeOf(core::wall_time minted) const -> knowledge;

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

    struct pending_list
    {
        membership list;
        std::vector<unsettled_removal> removals;
        std::optional<core::monotonic_time> excludedAt;
    };

    auto putInForce(const membership &list, core::wall_time wall) -> void;
    auto noteLosses(const membership &list, core::wall_time wall) -> void;
    auto isDue(pending_list &pending, core::monotonic_time now) -> bool;
    [[nodiscard]] auto isExcluded(const unsettled_removal &removal, core::monotonic_time now) const -> bool;
    [[nodiscard]] auto hasFolded(const member_ref &member, std::uint64_t epoch) const -> bool;
    [[nodiscard]] auto peerVouches(std::uint64_t epoch) const -> bool;
    [[nodiscard]] auto hasLeft(const member_ref &member) const -> bool;
    [[nodiscard]] auto answeredLately(const member_ref &member, core::monotonic_time now) const -> bool;
    [[nodiscard]] auto knownGone(const member_ref &member, core::monotonic_time now) const -> bool;

    member_ref m_self;
    membership m_acting;
    std::vector<member_loss> m_losses;
    std::deque<pending_list> m_pending;
    std::optional<core::monotonic_time> m_logReadAt;
    std::unordered_map<core::member_id, peer_state> m_peers;
    std::vector<member_ref> m_left;
};

/// \brief Whether \p list contains exactly \p member.
auto contains(const membership &list, const member_ref &member) -> bool;
} // namespace poplarpass::request
