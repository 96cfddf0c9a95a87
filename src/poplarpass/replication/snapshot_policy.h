#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/replication/record.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace poplarpass::replication
{
/// \brief Limits that determine when a snapshot is due and how it is split.
struct snapshot_limits
{
    log_offset recordInterval = 4000; ///< Records after the latest snapshot until the next is due.
    core::duration timeInterval = std::chrono::minutes{10}; ///< Time after the latest snapshot until the next is due.
    std::size_t partBytes = std::size_t{64} * 1024; ///< Maximum bytes of encoded state in one record.
};

/// \brief Decides when a snapshot is due; used by the holder of the control role only.
class snapshot_policy
{
public:
    explicit snapshot_policy(snapshot_limits limits = {});

    /// \brief Records at \p now that the newest complete snapshot in the log is of the state at \p stateOffset.
    auto recordSnapshot(log_offset stateOffset, core::monotonic_time now) -> void;

    /// \brief Whether a snapshot is due.
    /// \param stateOffset offset of the state to be written
    /// \param firstOffset oldest offset that the log holds
    [[nodiscard]] auto isDue(log_offset stateOffset, log_offset firstOffset, core::monotonic_time now) const -> bool;

    /// \brief Splits the encoded state \p bytes into snapshot records, in the order in which to append them.
    [[nodiscard]] auto split(log_offset stateOffset, std::uint64_t digest, std::string_view bytes) const
        -> std::vector<snapshot_record>;

private:
    snapshot_limits m_limits;
    log_offset m_lastOffset = 0;
    core::monotonic_time m_lastTime{};
};

/// \brief Returns the record id of a part; equal parts of two holders get the same id, so the second is a duplicate.
auto snapshotRecordId(const snapshot_record &part) -> core::record_id;
} // namespace poplarpass::replication
