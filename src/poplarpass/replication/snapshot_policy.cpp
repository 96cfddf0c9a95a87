#include <poplarpass/replication/snapshot_policy.h>

#include <algorithm>
#include <cassert>

namespace poplarpass::replication
{
snapshot_policy::snapshot_policy(snapshot_limits limits)
    : m_limits{limits}
{
    assert(limits.recordInterval > 0 && limits.partBytes > 0);
}

auto snapshot_policy::recordSnapshot(log_offset stateOffset, core::monotonic_time now) -> void
{
    if (stateOffset > m_lastOffset) {
        m_lastOffset = stateOffset;
        m_lastTime = now;
    }
}

auto snapshot_policy::isDue(log_offset stateOffset, log_offset firstOffset, core::monotonic_time now) const -> bool
{
    if (stateOffset <= m_lastOffset) {
        return false;
    }
    const auto since = stateOffset - m_lastOffset;
    if (since >= m_limits.recordInterval || now - m_lastTime >= m_limits.timeInterval) {
        return true;
    }
    // The platform decides how long the log retains records. Once it trims, the newest snapshot must be in the newer
    // half of the records held, so that half of the retention remains to write the next one.
    const bool trims = firstOffset > 1;
    return trims && m_lastOffset < firstOffset + (stateOffset - std::min(stateOffset, firstOffset)) / 2;
}

auto snapshot_policy::split(log_offset stateOffset, std::uint64_t digest, std::string_view bytes) const
    -> std::vector<snapshot_record>
{
    const auto count = std::max<std::size_t>(1, (bytes.size() + m_limits.partBytes - 1) / m_limits.partBytes);
    std::vector<snapshot_record> parts;
    parts.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        parts.push_back({stateOffset, digest, static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(count),
                         std::string{bytes.substr(index * m_limits.partBytes, m_limits.partBytes)}});
    }
    return parts;
}

auto snapshotRecordId(const snapshot_record &part) -> core::record_id
{
    return core::record_id{"snapshot-" + std::to_string(part.stateOffset) + "-" + std::to_string(part.digest) + "-"
                           + std::to_string(part.part) + "-of-" + std::to_string(part.parts)};
}
} // namespace poplarpass::replication
