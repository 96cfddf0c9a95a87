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
/// \brief What this process knows of the other members by their heartbeats.
/// \sa member_keeper
class liveness_view
{
public:
    /// \brief Takes in a heartbeat of \p member, which says which members it hears itself.
    auto onHeartbeat(const core::member_id &member, std::uint64_t incarnation, std::span<const core::member_id> hears,
                     core::monotonic_time now) -> void;

    /// \brief Takes in a sure sign that \p incarnation has ended: refused connection, goodbye, or a newer incarnation.
    auto onGone(const core::member_id &member, std::uint64_t incarnation, core::monotonic_time now) -> void;

    /// \brief Starts to watch \p member at \p now, so that one that was never heard counts as silent from then on.
    auto watch(const core::member_id &member, core::monotonic_time now) -> void;

    /// \brief Whether a heartbeat of \p member is fresh at \p now.
    [[nodiscard]] auto hears(const core::member_id &member, core::monotonic_time now) const -> bool;

    /// \brief Time since the last heartbeat of \p member, or since it is watched; zero when it is not.
    [[nodiscard]] auto silence(const core::member_id &member, core::monotonic_time now) const -> core::duration;

    /// \brief Time since the first sure sign that \p incarnation has ended, if there is one.
    [[nodiscard]] auto timeSinceTermination(const core::member_id &member, std::uint64_t incarnation,
                                            core::monotonic_time now) const -> std::optional<core::duration>;

    /// \brief Whether \p observer said in a fresh heartbeat that it hears \p member.
    [[nodiscard]] auto reportsContact(const core::member_id &observer, const core::member_id &member,
                                      core::monotonic_time now) const -> bool;

    /// \brief Members of \p among that are heard at \p now.
    [[nodiscard]] auto heardAmong(std::span<const core::member_id> among, core::monotonic_time now) const
        -> std::vector<core::member_id>;

private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        core::monotonic_time since{};
        std::optional<core::monotonic_time> heard;
        std::optional<core::monotonic_time> gone;
        std::uint64_t goneIncarnation = 0;
        std::vector<core::member_id> hears;
    };

    [[nodiscard]] auto find(const core::member_id &member) const -> const peer *;

    std::map<core::member_id, peer> m_peers;
};
} // namespace poplarpass::control
