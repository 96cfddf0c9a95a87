#include <poplarpass/replication/snapshot_assembly.h>

#include <algorithm>

namespace poplarpass::replication
{
namespace
{
// Two holders may write at once around a change of the role, and each may start again after a failed append.
constexpr std::size_t maxUnfinished = 4;
} // namespace

auto snapshot_assembly::add(const snapshot_record &part) -> std::optional<whole_snapshot>
{
    if (part.parts == 0 || part.parts > maxSnapshotParts || part.part >= part.parts) {
        return std::nullopt;
    }
    auto &snapshot = find(part);
    if (snapshot.parts[part.part]) {
        return std::nullopt;
    }
    snapshot.parts[part.part] = part.bytes;
    if (--snapshot.missing > 0) {
        return std::nullopt;
    }
    whole_snapshot whole{snapshot.stateOffset, snapshot.digest, {}};
    for (const auto &bytes : snapshot.parts) {
        whole.bytes += *bytes;
    }
    m_unfinished.erase(m_unfinished.begin()
                       + (std::ranges::find(m_unfinished, &snapshot, [](const unfinished &each) { return &each; })
                          - m_unfinished.begin()));
    return whole;
}

auto snapshot_assembly::clear() -> void
{
    m_unfinished.clear();
}

auto snapshot_assembly::find(const snapshot_record &part) -> unfinished &
{
    const auto same = [&part](const unfinished &each) {
        return each.stateOffset == part.stateOffset && each.digest == part.digest && each.parts.size() == part.parts;
    };
    const auto known = std::ranges::find_if(m_unfinished, same);
    if (known != m_unfinished.end()) {
        return *known;
    }
    if (m_unfinished.size() == maxUnfinished) {
        m_unfinished.pop_front();
    }
    m_unfinished.push_back({part.stateOffset, part.digest, part.parts, {}});
    m_unfinished.back().parts.resize(part.parts);
    return m_unfinished.back();
}
} // namespace poplarpass::replication
