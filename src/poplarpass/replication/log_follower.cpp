#include <poplarpass/core/invariant.h>
#include <poplarpass/replication/log_follower.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace poplarpass::replication
{
namespace
{
// Beyond the end of any log: a read without wait returns no records, but the range of offsets held.
constexpr log_offset probeOffset = std::numeric_limits<std::int64_t>::max();
} // namespace

log_follower::log_follower(log_decoder decoder, apply_observer onApplied, replace_observer onReplaced)
    : m_decoder{std::move(decoder)}
    , m_onApplied{std::move(onApplied)}
    , m_onReplaced{std::move(onReplaced)}
{
}

auto log_follower::nextRead() const -> log_offset
{
    return m_phase == follow_phase::probing ? probeOffset : m_nextRead;
}

auto log_follower::mayWait() const -> bool
{
    return m_phase == follow_phase::following || (m_phase == follow_phase::searching && m_cannotRecover);
}

auto log_follower::pageRead(log_offset from, const platform::log_page &page, core::monotonic_time sentAt) -> void
{
    if (from != nextRead() || !isConsistent(from, page)) {
        ++m_counts.rejectedPages;
        return;
    }
    m_firstOffset = page.firstOffset;
    switch (m_phase) {
    case follow_phase::probing:
        startSearch(page);
        return;
    case follow_phase::searching:
        search(page);
        return;
    case follow_phase::following:
        follow(page, sentAt);
        return;
    }
}

auto log_follower::readFailed(log_offset from, const core::error &problem) -> void
{
    if (problem.kind != core::error_kind::log_trimmed || from != nextRead()) {
        return;
    }
    // The requested records were trimmed: probe the range of offsets again. The present state remains valid.
    ++m_counts.restarts;
    m_phase = follow_phase::probing;
    m_caughtUpAt.reset();
}

auto log_follower::installPeerState(std::string_view bytes, std::uint64_t digest) -> core::result<void>
{
    auto state = m_decoder.decodeState(bytes);
    if (!state) {
        return tl::make_unexpected(std::move(state.error()));
    }
    if (state->digest() != digest) {
        return core::failure(core::error_kind::malformed_message, "peer state rejected: digest mismatch");
    }
    if (state->offset() < m_highestKnownOffset) {
        return core::failure(core::error_kind::malformed_message,
                             "peer state rejected: offset " + std::to_string(state->offset())
                                 + " is older than known offset " + std::to_string(m_highestKnownOffset));
    }
    if (m_hasState && state->offset() <= m_state.offset()) {
        return {};
    }
    install(std::move(*state));
    return {};
}

auto log_follower::recordPeerOffset(log_offset offset) -> void
{
    m_highestKnownOffset = std::max(m_highestKnownOffset, offset);
}

auto log_follower::hasState() const -> bool
{
    return m_hasState;
}

auto log_follower::state() const -> const fleet_state &
{
    return m_state;
}

auto log_follower::phase() const -> follow_phase
{
    return m_phase;
}

auto log_follower::cannotRecover() const -> bool
{
    return m_cannotRecover;
}

auto log_follower::caughtUpAt() const -> std::optional<core::monotonic_time>
{
    return m_caughtUpAt;
}

auto log_follower::digestAt(log_offset offset) const -> std::optional<std::uint64_t>
{
    const auto position = std::ranges::lower_bound(m_digests, offset, {}, &offset_digest::offset);
    if (position == m_digests.end() || position->offset != offset) {
        return std::nullopt;
    }
    return position->digest;
}

auto log_follower::lastSnapshot() const -> log_offset
{
    return m_lastSnapshot;
}

auto log_follower::firstOffset() const -> log_offset
{
    return m_firstOffset;
}

auto log_follower::counts() const -> const follow_counts &
{
    return m_counts;
}

// A page that ends before the offsets already known comes from an outdated copy of the log and must not be applied.
auto log_follower::isConsistent(log_offset from, const platform::log_page &page) const -> bool
{
    if (page.firstOffset < m_firstOffset || page.nextOffset < page.firstOffset) {
        return false;
    }
    if (m_hasState && page.nextOffset <= m_state.offset()) {
        return false;
    }
    auto expected = from;
    for (const auto &entry : page.entries) {
        if (entry.offset != expected || entry.offset >= page.nextOffset) {
            return false;
        }
        ++expected;
    }
    return true;
}

auto log_follower::startSearch(const platform::log_page &page) -> void
{
    m_assembly.clear();
    m_snapshotState.reset();
    if (m_hasState && m_state.offset() + 1 >= page.firstOffset) {
        m_phase = follow_phase::following;
        m_nextRead = m_state.offset() + 1;
        return;
    }
    const auto heldRecords = page.nextOffset - page.firstOffset;
    const bool fromStart = page.firstOffset == 1 && heldRecords <= searchWindowRecords;
    if (fromStart) {
        install(fleet_state{});
        return;
    }
    m_searchWindow = std::min(std::max(m_searchWindow, searchWindowRecords), heldRecords);
    m_searchFrom = page.nextOffset - m_searchWindow;
    m_nextRead = m_searchFrom;
    m_phase = follow_phase::searching;
}

auto log_follower::search(const platform::log_page &page) -> void
{
    for (const auto &entry : page.entries) {
        m_nextRead = entry.offset + 1;
        const auto decoded = m_decoder.decodeRecord(entry.payload);
        const auto *part = decoded ? std::get_if<snapshot_record>(&*decoded) : nullptr;
        if (part != nullptr) {
            handleSnapshotPart(*part);
        }
    }
    if (m_nextRead >= page.nextOffset) {
        finishSearch(page);
    }
}

auto log_follower::finishSearch(const platform::log_page &page) -> void
{
    // The present state ends before the first record held, so a usable snapshot is newer than it.
    const bool usable = m_snapshotState && m_snapshotState->offset() + 1 >= page.firstOffset;
    if (usable) {
        install(std::move(*m_snapshotState));
        m_snapshotState.reset();
        return;
    }
    if (m_searchFrom > page.firstOffset) {
        m_searchWindow *= 2;
        m_phase = follow_phase::probing;
        return;
    }
    if (page.firstOffset == 1 && !m_hasState) {
        install(fleet_state{});
        return;
    }
    // No usable snapshot in the whole log: only a later snapshot or the state of a peer allows recovery.
    m_cannotRecover = true;
}

auto log_follower::install(fleet_state state) -> void
{
    core::requireInvariant(!m_hasState || state.revision() >= m_state.revision(),
                           core::invariant_kind::configuration_never_reverts, [&] {
                               return "revision " + std::to_string(state.revision()) + " would replace newer revision "
                                   + std::to_string(m_state.revision());
                           });
    m_state = std::move(state);
    m_hasState = true;
    m_cannotRecover = false;
    m_searchWindow = searchWindowRecords;
    m_phase = follow_phase::following;
    m_nextRead = m_state.offset() + 1;
    m_highestKnownOffset = std::max(m_highestKnownOffset, m_state.offset());
    m_digests.clear();
    recordDigest();
    if (m_onReplaced) {
        m_onReplaced(m_state);
    }
}

auto log_follower::follow(const platform::log_page &page, core::monotonic_time sentAt) -> void
{
    for (const auto &entry : page.entries) {
        applyEntry(entry);
    }
    m_nextRead = m_state.offset() + 1;
    // A log that ends before an offset that a peer has applied is an outdated copy.
    if (m_nextRead == page.nextOffset && m_state.offset() >= m_highestKnownOffset) {
        m_caughtUpAt = sentAt;
    }
}

auto log_follower::applyEntry(const platform::log_entry &entry) -> void
{
    const auto decoded = m_decoder.decodeRecord(entry.payload);
    if (!decoded) {
        ++m_counts.undecodable;
        m_state.skip(entry.offset);
        recordDigest();
        return;
    }
    const auto outcome = m_state.apply(entry.offset, entry.id, *decoded);
    ++m_counts.applied;
    recordDigest();
    const auto *part = std::get_if<snapshot_record>(&*decoded);
    if (part != nullptr && outcome.accepted) {
        handleSnapshotPart(*part);
    }
    if (m_onApplied) {
        m_onApplied(entry.offset, entry.id, *decoded, outcome);
    }
}

auto log_follower::handleSnapshotPart(const snapshot_record &snapshot) -> void
{
    const auto complete = m_assembly.add(snapshot);
    if (!complete) {
        return;
    }
    if (m_phase == follow_phase::following) {
        const auto own = digestAt(complete->stateOffset);
        const bool differs = own && *own != complete->digest;
        m_counts.snapshotMismatches += differs ? 1 : 0;
        if (!differs) {
            m_lastSnapshot = std::max(m_lastSnapshot, complete->stateOffset);
        }
        return;
    }
    auto state = m_decoder.decodeState(complete->bytes);
    if (!state || state->digest() != complete->digest || state->offset() != complete->stateOffset) {
        ++m_counts.invalidSnapshots;
        return;
    }
    m_lastSnapshot = std::max(m_lastSnapshot, complete->stateOffset);
    if (!m_snapshotState || m_snapshotState->offset() < state->offset()) {
        m_snapshotState = std::move(*state);
    }
}

auto log_follower::recordDigest() -> void
{
    m_digests.push_back({m_state.offset(), m_state.digest()});
    if (m_digests.size() > maxRetainedDigests) {
        m_digests.pop_front();
    }
}
} // namespace poplarpass::replication
