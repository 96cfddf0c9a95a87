#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/platform/log_service.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/snapshot_assembly.h>

#include <deque>
#include <functional>
#include <optional>
#include <string_view>

namespace poplarpass::replication
{
/// \brief How the follower decodes what it reads; the adapters provide it.
struct fold_decoder
{
    std::function<core::result<record>(std::string_view)> decodeRecord; ///< Bytes of one log record.
    std::function<core::result<fleet_state>(std::string_view)> decodeState; ///< Bytes of a whole state.
};

/// \brief Told of each record that was applied, in order of offsets.
using apply_observer =
    std::function<void(log_offset offset, const core::record_id &id, const record &change, const applied &outcome)>;

/// \brief Told when a whole state took the place of the former one without the records between.
using replace_observer = std::function<void(const fleet_state &state)>;

/// \brief What a follower is doing.
enum class follow_phase {
    probing, ///< Asks which offsets the log holds.
    searching, ///< Reads on to find a whole snapshot; the state that it had, if any, stays in force.
    following, ///< Applies record by record.
};

/// \brief What a follower has seen; each count is also a metric.
struct follow_counts
{
    std::uint64_t applied = 0; ///< Records applied, refused ones included.
    std::uint64_t undecodable = 0; ///< Records passed over as they could not be decoded.
    std::uint64_t invalidSnapshots = 0; ///< Snapshots whose digest or encoding was wrong.
    std::uint64_t snapshotMismatches = 0; ///< Snapshots that disagree with the state that was folded here.
    std::uint64_t restarts = 0; ///< Times that the log was trimmed past this process.
    std::uint64_t rejectedPages = 0; ///< Pages that did not fit what was asked for, or of an old copy of the log.
};

/// \brief Number of records that a search for a snapshot reads first; it doubles while none is found.
inline constexpr log_offset searchWindowRecords = 8192;

/// \brief Offsets of which the follower remembers the digest, to compare with peers and snapshots.
inline constexpr std::size_t maxRetainedDigests = 4096;

/// \brief Follows the log: says what to read next, applies what was read, and holds the agreed state.
///
/// It does no I/O and has no clock. The owner reads from nextRead() with the wait that waits() permits, and passes each
/// answer to pageRead() or readFailed(), one read at a time.
class log_follower
{
public:
    /// \param decoder how to decode records and states
    /// \param onApplied called for each record applied; may be empty
    /// \param onReplaced called when a snapshot or a peer's state was taken; may be empty
    explicit log_follower(fold_decoder decoder, apply_observer onApplied = {}, replace_observer onReplaced = {});

    /// \brief Offset to read from next.
    [[nodiscard]] auto nextRead() const -> log_offset;

    /// \brief Whether the next read may wait for records; a probe must not.
    [[nodiscard]] auto mayWait() const -> bool;

    /// \brief Takes the answer to a read from \p from that was sent at \p sentAt.
    auto pageRead(log_offset from, const platform::log_page &page, core::monotonic_time sentAt) -> void;

    /// \brief Takes the failure of a read from \p from.
    auto readFailed(log_offset from, const core::error &problem) -> void;

    /// \brief Takes a whole state from a peer, for a start while the log cannot be read.
    /// \returns an error when it is malformed, its digest is not \p digest, or it is older than anything seen so far
    auto takePeerState(std::string_view bytes, std::uint64_t digest) -> core::result<void>;

    /// \brief Notes that a peer has folded up to \p offset; older states are refused from here on.
    auto notePeerOffset(log_offset offset) -> void;

    /// \brief Whether state() is in use: it follows the log from its start, a snapshot or a peer's state.
    [[nodiscard]] auto hasState() const -> bool;

    /// \brief The agreed state as of state().offset(); empty while hasState() is false.
    [[nodiscard]] auto state() const -> const fleet_state &;

    /// \brief What it is doing.
    [[nodiscard]] auto phase() const -> follow_phase;

    /// \brief Whether the log holds neither its start nor a whole snapshot, so that it cannot go on from what it has.
    [[nodiscard]] auto cannotRecover() const -> bool;

    /// \brief Send time of the latest read that found the state at the end of the log; none before the first.
    [[nodiscard]] auto readToEndSince() const -> std::optional<core::monotonic_time>;

    /// \brief Digest that the state had at \p offset, while it is remembered.
    [[nodiscard]] auto digestAt(log_offset offset) const -> std::optional<std::uint64_t>;

    /// \brief Offset at which the newest whole snapshot in the log was taken, 0 when none was seen.
    [[nodiscard]] auto lastSnapshot() const -> log_offset;

    /// \brief Oldest offset that the log held at the latest read.
    [[nodiscard]] auto firstOffset() const -> log_offset;

    /// \brief What was seen so far.
    [[nodiscard]] auto counts() const -> const follow_counts &;

private:
    struct offset_digest
    {
        log_offset offset = 0;
        std::uint64_t digest = 0;
    };

    auto startSearch(const platform::log_page &page) -> void;
    auto search(const platform::log_page &page) -> void;
    auto finishSearch(const platform::log_page &page) -> void;
    auto install(fleet_state state) -> void;
    auto follow(const platform::log_page &page, core::monotonic_time sentAt) -> void;
    auto applyEntry(const platform::log_entry &entry) -> void;
    auto handleSnapshotPart(const snapshot_record &snapshot) -> void;
    auto recordDigest() -> void;
    [[nodiscard]] auto isConsistent(log_offset from, const platform::log_page &page) const -> bool;

    fold_decoder m_decoder;
    apply_observer m_onApplied;
    replace_observer m_onReplaced;
    follow_phase m_phase = follow_phase::probing;
    fleet_state m_state;
    bool m_hasState = false;
    bool m_cannotRecover = false;
    log_offset m_nextRead = 0;
    log_offset m_firstOffset = 1;
    log_offset m_highestKnownOffset = 0;
    log_offset m_searchFrom = 0;
    log_offset m_searchWindow = searchWindowRecords;
    snapshot_assembly m_assembly;
    std::optional<fleet_state> m_snapshotState;
    log_offset m_lastSnapshot = 0;
    std::optional<core::monotonic_time> m_caughtUpAt;
    std::deque<offset_digest> m_digests;
    follow_counts m_counts;
};
} // namespace poplarpass::replication
