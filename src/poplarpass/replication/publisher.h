#pragma once

#include <poplarpass/core/time.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/log_follower.h>

#include <functional>
#include <optional>

namespace poplarpass::replication
{
/// \brief Time between two appends of the same record while the log gives no answer.
inline constexpr core::duration resendDelay = std::chrono::milliseconds{500};

/// \brief Whether a record that was not seen yet can no longer be accepted in a state, and why.
using superseded_check = std::function<std::optional<core::error>(const fleet_state &)>;

/// \brief Check that fits \p change: a revision based on another one, a claim after a renewal, an old control epoch.
auto overtakenCheckOf(const record &change) -> superseded_check;

/// \brief How one record is published.
struct publish_options
{
    core::monotonic_time deadline; ///< When to give up.
    bool readFirst = false; ///< Whether the log must be read to its end before the first append.
    superseded_check overtaken; ///< May be empty.
};

/// \brief What is known in the end.
enum class publish_result {
    accepted, ///< It was read back at its offset and the fold accepted it.
    refused, ///< It was read back and the fold refused it, or it can no longer be accepted.
    not_accepted, ///< It was never sent, so nothing was accepted.
    unknown, ///< It was sent, and may yet be accepted.
};

/// \brief Outcome of one publication.
struct publish_outcome
{
    publish_result result = publish_result::unknown; ///< What is known.
    log_offset offset = 0; ///< Where it stands in the log; 0 when it was not read back.
    std::optional<core::error> problem; ///< Why it was not accepted; empty when it was.
};

/// \brief Publishes one record under one id: appends it, and believes only what was read back.
///
/// It does no I/O and has no clock. The owner asks wantsAppend() after every call, appends when it says so, and passes
/// on what the follower tells.
class publisher
{
public:
    /// \param now when the publication starts
    publisher(core::record_id id, publish_options options, core::monotonic_time now);

    /// \brief The record's id.
    [[nodiscard]] auto id() const -> const core::record_id &;

    /// \brief Whether the record is to be appended now; the owner answers with appendSent().
    [[nodiscard]] auto wantsAppend(core::monotonic_time now) const -> bool;

    /// \brief The append was sent.
    auto appendSent() -> void;

    /// \brief The append was answered at \p now; a failure leaves open whether it took effect.
    auto appendAnswered(const core::result<log_offset> &answer, core::monotonic_time now) -> void;

    /// \brief The follower applied a record; any record may be passed.
    auto recordApplied(log_offset offset, const core::record_id &id, const applied &outcome) -> void;

    /// \brief The follower took a snapshot or a peer's state in place of its own.
    auto stateReplaced(const fleet_state &state) -> void;

    /// \brief Takes what \p follower knows after a read, whether it succeeded or failed.
    auto observe(const log_follower &follower) -> void;

    /// \brief Gives up at the deadline.
    auto tick(core::monotonic_time now) -> void;

    /// \brief The outcome once it is known.
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
