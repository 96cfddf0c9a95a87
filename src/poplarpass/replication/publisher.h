#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/log_follower.h>

#include <functional>
#include <optional>

namespace poplarpass::replication
{
/// \brief Minimum time between a failed append and the next append of the same record.
inline constexpr core::duration resendDelay = std::chrono::milliseconds{500};

/// \brief Returns why a record that was not read back can no longer be accepted in a state; empty if it still can.
using superseded_check = std::function<std::optional<core::error>(const fleet_state &)>;

/// \brief Returns the check for \p change against newer revisions, claims, renewals or epochs; empty for other kinds.
auto supersededCheckOf(const record &change) -> superseded_check;

/// \brief Options for publishing one record.
struct publish_options
{
    core::monotonic_time deadline; ///< Time at which an unresolved publication ends.
    bool readFirst = false; ///< Whether the log must be read to its end before the first append.
    superseded_check superseded; ///< Detects that the record was superseded; may be empty.
};

/// \brief Result of a publication.
enum class publish_result {
    accepted, ///< The record was read back and accepted.
    refused, ///< The record was read back and refused, or can no longer be accepted.
    not_accepted, ///< The record was never sent.
    unknown, ///< The record was sent and may still be accepted.
};

/// \brief Outcome of one publication.
struct publish_outcome
{
    publish_result result = publish_result::unknown; ///< Result.
    log_offset offset = 0; ///< Offset of the record; 0 if it was not read back.
    std::optional<core::error> problem; ///< Reason if it was not accepted.
};

/// \brief Publishes one record under one id. Only reading the record back confirms it, not the response to the append.
///
/// It performs no I/O and has no clock. The owner checks shouldAppend() after every call, appends if it returns true,
/// and forwards the events of the follower.
class publisher
{
public:
    /// \param now start of the publication
    publisher(core::record_id id, publish_options options, core::monotonic_time now);

    [[nodiscard]] auto id() const -> const core::record_id &;

    /// \brief Whether the record is to be appended now; the owner then calls appendSent().
    [[nodiscard]] auto shouldAppend(core::monotonic_time now) const -> bool;

    /// \brief Records that the append was sent.
    auto appendSent() -> void;

    /// \brief Handles the response to the append at \p now; after a failure the append may still take effect.
    auto appendCompleted(const core::result<log_offset> &answer, core::monotonic_time now) -> void;

    /// \brief Handles a record that the follower applied; other records are ignored.
    auto recordApplied(log_offset offset, const core::record_id &id, const applied &outcome) -> void;

    /// \brief Handles the replacement of the follower's state by a snapshot or a peer's state.
    auto stateReplaced(const fleet_state &state) -> void;

    /// \brief Checks the state of \p follower after a read, successful or failed.
    auto observe(const log_follower &follower) -> void;

    /// \brief Ends the publication once the deadline has passed.
    auto tick(core::monotonic_time now) -> void;

    /// \brief The outcome; empty until it is known.
    [[nodiscard]] auto outcome() const -> const std::optional<publish_outcome> &;

private:
    auto finish(publish_result result, log_offset offset, std::optional<core::error> problem) -> void;
    auto checkReadBack(const fleet_state &state) -> void;

    core::record_id m_id;
    publish_options m_options;
    core::monotonic_time m_startedAt;
    bool m_sent = false;
    bool m_inFlight = false;
    bool m_replacedAfterSend = false;
    bool m_caughtUpSinceFailure = true;
    std::optional<core::monotonic_time> m_failedAt;
    std::optional<log_offset> m_appendedAt;
    bool m_caughtUpSinceStart = false;
    std::optional<publish_outcome> m_outcome;
};

/// \brief Wire name of \p result.
auto nameOf(publish_result result) -> std::string_view;
} // namespace poplarpass::replication
