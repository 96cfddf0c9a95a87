#pragma once

#include <poplarpass/replication/record.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace poplarpass::replication
{
/// \brief Parts that one snapshot may have.
inline constexpr std::uint32_t maxSnapshotParts = 1024;

/// \brief A snapshot of which every part was read.
struct complete_snapshot
{
    log_offset stateOffset = 0; ///< The state holds every record up to this offset.
    std::uint64_t digest = 0; ///< Digest that the state must have.
    std::string bytes; ///< The encoded state.
};

/// \brief Puts snapshots together from parts that may come twice, interleaved with other snapshots' parts, or never.
class snapshot_assembly
{
public:
    /// \brief Takes one part.
    /// \returns the snapshot when this was its last missing part
    auto add(const snapshot_record &part) -> std::optional<complete_snapshot>;

    /// \brief Forgets all parts.
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
