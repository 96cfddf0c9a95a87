#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace poplarpass::request
{
/// \brief One run of an entry process: its configured name and the number of its run.
struct member_ref
{
    core::member_id member; ///< Configured name; a replacement keeps it.
    std::uint64_t incarnation = 0; ///< Differs for every start of a process of that name.

    auto operator<=>(const member_ref &other) const = default;
};

/// \brief A member that was removed without having handed its keys on.
struct member_loss
{
    member_ref member; ///< The member.
    std::uint64_t epoch = 0; ///< Epoch that the removal led to.
    core::wall_time at; ///< Time of the record that settled the removal; of the removal itself before that.
};

/// \brief A removal of which no process has yet said in the log that it is in force.
struct unsettled_removal
{
    std::uint64_t epoch = 0; ///< Epoch that the removal led to.
    std::vector<member_ref> before; ///< Members of the epoch before, the removed ones included.
};

/// \brief The entries that decide about keys, as agreed by the log up to one record.
struct membership
{
    std::uint64_t epoch = 0; ///< Grows with every change of the list.
    std::vector<member_ref> members; ///< Members; at most one incarnation for each name.
    std::vector<member_loss> losses; ///< Removals without a handover, for at least the lifetime of a key.
    std::vector<unsettled_removal> unsettled; ///< Removals of any kind until a record says that they are in force.
    core::wall_time aloneUntil; ///< Last time at which the list had fewer than two members; the epoch if never.
};
} // namespace poplarpass::request
