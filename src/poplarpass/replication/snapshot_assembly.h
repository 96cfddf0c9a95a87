#pragma once

#include <poplarpass/replication/record.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace poplarpass::replication
{
/// \brief Parts of one snapshot at most.
inline constexpr std::uint32_t maxSnapshotParts = 1024;

/// \brief A snapshot with all parts read.
struct complete_snapshot
{
    log_offset stateOffset = 0; ///< Offset of the last record that the state includes.
    std::uint64_t digest = 0; ///< Expected digest of the decoded state.
    std::string bytes; ///< The encoded state.
};

/// \brief Assembles snapshots from parts, which may be duplicated, interleaved with other snapshots, or missing.
class snapshot_assembly
{
public:
    /// \brief Adds one part; invalid and duplicate parts are ignored.
    /// \returns the snapshot if this was its last missing part
    auto add(const snapshot_record &part) -> std::optional<complete_snapshot>;

    /// \brief Drops all parts.
    auto clear() -> void;

private:
    struct partial_snapshot
    {
        log_offset stateOffset = 0;
        std::uint64_t digest = 0;
        std::uint32_t missing = 0;
        std::vector<std::optional<std::string>> parts;
    };

    auto find(const snapshot_record &part) -> partial_snapshot &;

    std::deque<partial_snapshot> m_partials;
};
} // namespace poplarpass::replication
