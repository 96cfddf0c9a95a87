#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/replication/record.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace poplarpass::replication
{
/// \brief When the holder of the control role writes a snapshot.
struct snapshot_limits
{
    log_offset recordInterval = 4000; ///< Records since the last snapshot that make one due.
    core::duration timeInterval = std::chrono::minutes{10}; ///< Time since the last snapshot that makes one due.
    std::size_t partBytes = std::size_t{64} * 1024; ///< Bytes of state in one record at most.
};

/// \brief Decides when a snapshot is due. Only the holder of the control role asks.
class snapshot_policy
{
public:
    explicit snapshot_policy(snapshot_limits limits = {});

    /// \brief Notes that the newest whole snapshot in the log was taken at \p stateOffset, as of \p now.
    auto noteSnapshot(log_offset stateOffset, core::monotonic_time now) -> void;

    /// \brief Whether a snapshot is due.
    /// \param stateOffset offset of the state that would be written
    /// \param firstOffset oldest offset that the log holds
    [[nodiscard]] auto isDue(log_offset stateOffset, log_offset firstOffset, core::monotonic_time now) const -> bool;

    /// \brief Parts of a snapshot of the encoded state \p bytes, in the order in which they are to be appended.
    [[nodiscard]] auto split(log_offset stateOffset, std::uint64_t digest, std::string_view bytes) const
        -> std::vector<snapshot_record>;

private:
    snapshot_limits m_limits;
    log_offset m_lastOffset = 0;
    core::monotonic_time m_lastTime{};
};

/// \brief Record id of a part; the same part written by two holders has the same id, so the second is ignored.
auto snapshotRecordId(const snapshot_record &part) -> core::record_id;
} // namespace poplarpass::replication
