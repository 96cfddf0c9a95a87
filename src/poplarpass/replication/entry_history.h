#pragma once

#include <poplarpass/core/string_id.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace poplarpass::replication
{
/// \brief One incarnation of an entry process.
struct entry_incarnation
{
    core::member_id member; ///< Member name.
    std::uint64_t incarnation = 0; ///< Incarnation number.

    auto operator==(const entry_incarnation &) const -> bool = default;
};

/// \brief An entry that left the list without having transferred its keys.
struct entry_loss
{
    entry_incarnation run; ///< Incarnation that was lost.
    std::uint64_t epoch = 0; ///< Epoch of the list of entries after its removal.
    std::uint64_t atUnixMs = 0; ///< Wall time of the removal, or of the settling record if later.

    auto operator==(const entry_loss &) const -> bool = default;
};

/// \brief A removal that no process has reported to be in force.
struct entry_removal
{
    std::uint64_t epoch = 0; ///< Epoch of the list of entries after the removal.
    std::vector<entry_incarnation> before; ///< Entries of the preceding epoch, including the removed one.

    auto operator==(const entry_removal &) const -> bool = default;
};

/// \brief Losses retained at most; the oldest are dropped first.
inline constexpr std::size_t maxRetainedLosses = 128;

/// \brief Earlier lists of entries, as far as the request path needs them.
/// \sa request::membership
struct entry_history
{
    std::uint64_t epoch = 0; ///< Increases with each change of the list of entries.
    std::uint64_t settledEpoch = 0; ///< Removals up to this epoch are in force.
    std::vector<entry_loss> losses; ///< Oldest first, at most maxRetainedLosses.
    std::vector<entry_removal> unsettled; ///< Removals after settledEpoch.
    std::uint64_t singleEntryUntilUnixMs = 0; ///< Latest wall time with fewer than two entries; 0 if never.

    /// \brief Records the change from \p before to \p after by the record at \p offset.
    /// \param lost whether an entry was removed without having transferred its keys
    auto recordChange(std::uint64_t offset, std::span<const entry_incarnation> before,
                      std::span<const entry_incarnation> after, bool lost, std::uint64_t atUnixMs) -> void;

    /// \brief Records that the removals up to epoch \p settled are in force since \p atUnixMs.
    /// \returns false if \p settled is not newer than settledEpoch or is after epoch; nothing changes then
    auto settle(std::uint64_t settled, std::uint64_t atUnixMs) -> bool;

    auto operator==(const entry_history &) const -> bool = default;
};
} // namespace poplarpass::replication
