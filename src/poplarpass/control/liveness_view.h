#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace poplarpass::control
{
/// \brief Liveness of the other members as observed by this process.
/// \sa membership_manager
class liveness_view
{
public:
    /// \brief Records a heartbeat of \p member that lists the members whose heartbeats it receives itself.
    auto onHeartbeat(const core::member_id &member, std::uint64_t incarnation,
                     std::span<const core::member_id> heardMembers, core::monotonic_time now) -> void;

    /// \brief Records evidence that \p incarnation has terminated: refused connection, announced shutdown or newer
    /// incarnation.
    auto onTerminated(const core::member_id &member, std::uint64_t incarnation, core::monotonic_time now) -> void;

    /// \brief Registers \p member; without any heartbeat it counts as silent from \p now on.
    auto registerMember(const core::member_id &member, core::monotonic_time now) -> void;

    /// \brief Returns whether the latest heartbeat of \p member is younger than heartbeatTimeout at \p now.
    [[nodiscard]] auto hears(const core::member_id &member, core::monotonic_time now) const -> bool;

    /// \brief Returns the time since the last heartbeat of \p member, or since it was registered; zero if it was not.
    [[nodiscard]] auto timeSinceHeartbeat(const core::member_id &member, core::monotonic_time now) const
        -> core::duration;

    /// \brief Returns the time since the first evidence that \p incarnation has terminated, if there is any.
    [[nodiscard]] auto timeSinceTermination(const core::member_id &member, std::uint64_t incarnation,
                                            core::monotonic_time now) const -> std::optional<core::duration>;

    /// \brief Returns whether the latest heartbeat of \p observer is still valid and lists \p member.
    [[nodiscard]] auto reportsContact(const core::member_id &observer, const core::member_id &member,
                                      core::monotonic_time now) const -> bool;

    /// \brief Returns the members of \p among whose latest heartbeat is younger than heartbeatTimeout at \p now.
    [[nodiscard]] auto heardAmong(std::span<const core::member_id> among, core::monotonic_time now) const
        -> std::vector<core::member_id>;

private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        core::monotonic_time registeredAt{};
        std::optional<core::monotonic_time> lastHeartbeat;
        std::optional<core::monotonic_time> terminatedAt;
        std::uint64_t terminatedIncarnation = 0;
        std::vector<core::member_id> heardMembers;
    };

    [[nodiscard]] auto find(const core::member_id &member) const -> const peer *;

    std::map<core::member_id, peer> m_peers;
};
} // namespace poplarpass::control
