#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/replication/record.h>

#include <cstddef>
#include <deque>
#include <span>
#include <unordered_map>

namespace poplarpass::replication
{
/// \brief What became of a record that was read not long ago.
struct seen_record
{
    log_offset offset = 0; ///< Its first offset.
    core::record_id id; ///< Its id.
    bool accepted = false; ///< Whether the fold accepted it.

    auto operator==(const seen_record &) const -> bool = default;
};

/// \brief Number of record ids that the fold remembers, by which doubles are recognised.
inline constexpr std::size_t maxRecentIds = 4096;

/// \brief The ids of the latest records, oldest first, with a lookup and an incremental digest.
class recent_ids
{
public:
    /// \brief Adds \p seen and forgets the oldest when there are more than maxRecentIds.
    /// \pre its id is not known
    auto add(seen_record seen) -> void;

    /// \brief The record with \p id, if it is remembered.
    [[nodiscard]] auto find(const core::record_id &id) const -> const seen_record *;

    /// \brief All of them, oldest first.
    [[nodiscard]] auto all() const -> const std::deque<seen_record> &;

    /// \brief Digest of all of them; constant time.
    [[nodiscard]] auto digest() const -> std::uint64_t;

private:
    std::deque<seen_record> m_ids;
    std::unordered_map<core::record_id, log_offset> m_offsets;
    std::uint64_t m_digest = 0;
};
} // namespace poplarpass::replication
