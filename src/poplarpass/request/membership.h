#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpass::request
{
/// \brief One incarnation of an entry process.
struct member_ref
{
    core::member_id member; ///< Configured name; a replacement process has the same.
    std::uint64_t incarnation = 0; ///< Differs for every start of a process with that name.

    auto operator<=>(const member_ref &other) const = default;
};

/// \brief A member that was removed before it had transferred its key records.
struct member_loss
{
    member_ref member;
    std::uint64_t epoch = 0; ///< Epoch created by the removal.
    core::wall_time at; ///< Time of the record that settled the removal; until then, of the removal itself.
};

/// \brief A removal that no process has yet recorded in the log as active.
struct unsettled_removal
{
    std::uint64_t epoch = 0; ///< Epoch created by the removal.
    std::vector<member_ref> before; ///< Members of the previous epoch, including the removed ones.
};

/// \brief The entries that run the key protocol, as of one log record.
struct membership
{
    std::uint64_t epoch = 0; ///< Increases with every change of the list.
    std::vector<member_ref> members; ///< Members; at most one incarnation per name.
    std::vector<member_loss> losses; ///< Removals without a handover, retained for at least the lifetime of a key.
    std::vector<unsettled_removal> unsettled; ///< Removals of any kind that are not yet recorded as active.
    core::wall_time singleMemberUntil; ///< Last time with fewer than two members; the Unix epoch if never.
};
} // namespace poplarpass::request
