#include <poplarpass/replication/entry_history.h>

#include <algorithm>

namespace poplarpass::replication
{
auto entry_history::recordChange(std::uint64_t offset, std::span<const entry_incarnation> before,
                                 std::span<const entry_incarnation> after, bool lost, std::uint64_t atUnixMs) -> void
{
    epoch = offset;
    bool hasRemoval = false;
    for (const auto &entry : before) {
        if (std::ranges::find(after, entry) != after.end()) {
            continue;
        }
        hasRemoval = true;
        if (lost) {
            losses.push_back({entry, offset, atUnixMs});
        }
    }
    if (losses.size() > maxRetainedLosses) {
        losses.erase(losses.begin());
    }
    if (hasRemoval) {
        unsettled.push_back({offset, {before.begin(), before.end()}});
    }
    if (before.size() < 2 || after.size() < 2) {
        singleEntryUntilUnixMs = std::max(singleEntryUntilUnixMs, atUnixMs);
    }
}

// A removed entry may have processed requests until its removal was in force, so its loss gets that time.
auto entry_history::settle(std::uint64_t settled, std::uint64_t atUnixMs) -> bool
{
    if (settled <= settledEpoch || settled > epoch) {
        return false;
    }
    for (auto &loss : losses) {
        if (loss.epoch > settledEpoch && loss.epoch <= settled) {
            loss.atUnixMs = std::max(loss.atUnixMs, atUnixMs);
        }
    }
    settledEpoch = settled;
    std::erase_if(unsettled, [settled](const entry_removal &removal) { return removal.epoch <= settled; });
    return true;
}
} // namespace poplarpass::replication
