#pragma once

#include <poplarpass/core/string_id.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace poplarpass::replication
{
/// \brief One run of an entry process.
struct entry_run
{
    core::member_id member; ///< Its name.
    std::uint64_t incarnation = 0; ///< Its incarnation.

    auto operator==(const entry_run &) const -> bool = default;
};

/// \brief An entry that left the list without having handed its keys on.
struct entry_loss
{
    entry_run run; ///< Which run.
    std::uint64_t epoch = 0; ///< Epoch that its removal led to.
    std::uint64_t atUnixMs =
        0; ///< Wall time of the record that settled the removal, of the removal itself before that.

    auto operator==(const entry_loss &) const -> bool = default;
};

/// \brief A removal of which no process has yet said that it is in force.
struct entry_removal
{
    std::uint64_t epoch = 0; ///< Epoch that it led to.
    std::vector<entry_run> before; ///< Entries of the epoch before, the removed one included.

    auto operator==(const entry_removal &) const -> bool = default;
};

/// \brief Losses that are remembered; the oldest are forgotten first.
inline constexpr std::size_t maxRetainedLosses = 128;

/// \brief What the request path needs to know of earlier lists of entries.
/// \sa request::membership
struct entry_history
{
    std::uint64_t epoch = 0; ///< Grows with each change of the list of entries.
    std::uint64_t settledEpoch = 0; ///< Removals up to this epoch are in force.
    std::vector<entry_loss> losses; ///< Oldest first, at most maxRetainedLosses.
    std::vector<entry_removal> unsettled; ///< Removals after settledEpoch.
    std::uint64_t aloneUntilUnixMs = 0; ///< Last wall time at which the list had fewer than two entries; 0 if never.

    /// \brief Notes the change from \p before to \p after by the record at \p offset.
    /// \param lost whether an entry was removed without having handed its keys on
    auto recordChange(std::uint64_t offset, std::span<const entry_run> before, std::span<const entry_run> after,
                      bool lost, std::uint64_t atUnixMs) -> void;

    /// \brief Notes that the removals up to \p settled are in force since \p atUnixMs.
    /// \returns whether that was news
    auto settle(std::uint64_t settled, std::uint64_t atUnixMs) -> bool;

    auto operator==(const entry_history &) const -> bool = default;
};
} // namespace poplarpass::replication
