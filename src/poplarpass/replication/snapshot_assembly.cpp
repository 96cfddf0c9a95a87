#include <poplarpass/replication/snapshot_assembly.h>

#include <algorithm>

namespace poplarpass::replication
{
namespace
{
// Two holders may write concurrently around a change of the control role, and each may restart after a failed append.
constexpr std::size_t maxPartials = 4;
} // namespace

auto snapshot_assembly::add(const snapshot_record &part) -> std::optional<complete_snapshot>
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
    complete_snapshot complete{snapshot.stateOffset, snapshot.digest, {}};
    for (const auto &bytes : snapshot.parts) {
        complete.bytes += *bytes;
    }
    m_partials.erase(m_partials.begin()
                     + (std::ranges::find(m_partials, &snapshot, [](const partial_snapshot &each) { return &each; })
                        - m_partials.begin()));
    return complete;
}

auto snapshot_assembly::clear() -> void
{
    m_partials.clear();
}

auto snapshot_assembly::find(const snapshot_record &part) -> partial_snapshot &
{
    const auto isSameSnapshot = [&part](const partial_snapshot &each) {
        return each.stateOffset == part.stateOffset && each.digest == part.digest && each.parts.size() == part.parts;
    };
    const auto existing = std::ranges::find_if(m_partials, isSameSnapshot);
    if (existing != m_partials.end()) {
        return *existing;
    }
    if (m_partials.size() == maxPartials) {
        m_partials.pop_front();
    }
    m_partials.push_back({part.stateOffset, part.digest, part.parts, {}});
    m_partials.back().parts.resize(part.parts);
    return m_partials.back();
}
} // namespace poplarpass::replication
