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
/// \brief Decoders for log records and states; the adapters provide them.
struct log_decoder
{
    std::function<core::result<record>(std::string_view)> decodeRecord; ///< Decodes one log record.
    std::function<core::result<fleet_state>(std::string_view)> decodeState; ///< Decodes a whole state.
};

/// \brief Called for each applied record, in order of offsets.
using apply_observer =
    std::function<void(log_offset offset, const core::record_id &id, const record &change, const applied &outcome)>;

/// \brief Called when a whole state replaced the previous one without applying the records between them.
using replace_observer = std::function<void(const fleet_state &state)>;

/// \brief Phase of a log_follower.
enum class follow_phase {
    probing, ///< Reads the range of offsets that the log holds.
    searching, ///< Reads on to find a complete snapshot; the previous state, if any, remains valid.
    following, ///< Applies each record that it reads.
};

/// \brief Event counts of a follower.
struct follow_counts
{
    std::uint64_t applied = 0; ///< Records applied, refused ones included.
    std::uint64_t undecodable = 0; ///< Records skipped because they could not be decoded.
    std::uint64_t invalidSnapshots = 0; ///< Snapshots with a wrong digest or encoding.
    std::uint64_t snapshotMismatches = 0; ///< Snapshots whose digest differs from the local state at their offset.
    std::uint64_t restarts = 0; ///< Times that the log was trimmed beyond the next read.
    std::uint64_t rejectedPages = 0; ///< Pages that did not match the read, or came from an outdated copy of the log.
};

/// \brief Records that the first search for a snapshot reads; doubled until one is found.
inline constexpr log_offset searchWindowRecords = 8192;

/// \brief Digests retained at most, by offset, to compare with peers and snapshots.
inline constexpr std::size_t maxRetainedDigests = 4096;

/// \brief Follows the log: provides the next offset to read, applies pages, and holds the replicated state.
///
/// It performs no I/O and has no clock. The owner reads from nextRead(), as a long poll only if mayWait(), and passes
/// each response to pageRead() or readFailed(), one read at a time.
class log_follower
{
public:
    /// \param decoder how to decode records and states
    /// \param onApplied called for each record applied; may be empty
    /// \param onReplaced called when a snapshot or a peer's state was installed; may be empty
    explicit log_follower(log_decoder decoder, apply_observer onApplied = {}, replace_observer onReplaced = {});

    /// \brief Offset of the next read.
    [[nodiscard]] auto nextRead() const -> log_offset;

    /// \brief Whether the next read may wait for new records; a probe must not.
    [[nodiscard]] auto mayWait() const -> bool;

    /// \brief Handles the page of a read from \p from that was sent at \p sentAt.
    auto pageRead(log_offset from, const platform::log_page &page, core::monotonic_time sentAt) -> void;

    /// \brief Handles the failure of a read from \p from.
    auto readFailed(log_offset from, const core::error &problem) -> void;

    /// \brief Installs a whole state from a peer, to start while the log cannot be read.
    /// \returns an error if it is malformed, its digest is not \p digest, or it is older than the highest known offset
    auto installPeerState(std::string_view bytes, std::uint64_t digest) -> core::result<void>;

    /// \brief Records that a peer has applied the log up to \p offset; older states are refused from then on.
    auto recordPeerOffset(log_offset offset) -> void;

    /// \brief Whether state() is valid: it was built from the start of the log, a snapshot or a peer's state.
    [[nodiscard]] auto hasState() const -> bool;

    /// \brief The replicated state as of state().offset(); empty while hasState() is false.
    [[nodiscard]] auto state() const -> const fleet_state &;

    [[nodiscard]] auto phase() const -> follow_phase;

    /// \brief Whether the log holds neither its first record nor a usable snapshot to rebuild the state from.
    [[nodiscard]] auto cannotRecover() const -> bool;

    /// \brief Send time of the latest read after which the state was at the end of the log; empty before the first.
    [[nodiscard]] auto caughtUpAt() const -> std::optional<core::monotonic_time>;

    /// \brief Digest of the state at \p offset; empty if it is not retained.
    [[nodiscard]] auto digestAt(log_offset offset) const -> std::optional<std::uint64_t>;

    /// \brief State offset of the newest complete snapshot read from the log; 0 if none was read.
    [[nodiscard]] auto lastSnapshot() const -> log_offset;

    /// \brief Oldest offset that the log held at the latest read.
    [[nodiscard]] auto firstOffset() const -> log_offset;

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

    log_decoder m_decoder;
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
