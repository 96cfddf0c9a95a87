#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/replication/record.h>

#include <cstddef>
#include <deque>
#include <span>
#include <unordered_map>

namespace poplarpass::replication
{
/// \brief Outcome of a recently applied record.
struct recent_record
{
    log_offset offset = 0; ///< Offset of its first occurrence.
    core::record_id id; ///< Record id.
    bool accepted = false; ///< Whether it was accepted.

    auto operator==(const recent_record &) const -> bool = default;
};

/// \brief Record ids retained at most to detect duplicates.
inline constexpr std::size_t maxRecentIds = 4096;

/// \brief Ids of the latest records, oldest first, with lookup by id and an incremental digest.
class recent_ids
{
public:
    /// \brief Adds \p seen and drops the oldest if there are more than maxRecentIds.
    /// \pre its id is not retained
    auto add(recent_record seen) -> void;

    /// \brief Finds the record \p id; null if it is not retained.
    [[nodiscard]] auto find(const core::record_id &id) const -> const recent_record *;

    /// \brief All retained records, oldest first.
    [[nodiscard]] auto all() const -> const std::deque<recent_record> &;

    /// \brief Digest of all retained records; constant time.
    [[nodiscard]] auto digest() const -> std::uint64_t;

private:
    std::deque<recent_record> m_ids;
    std::unordered_map<core::record_id, log_offset> m_offsets;
    std::uint64_t m_digest = 0;
};
} // namespace poplarpass::replication
