#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>
#include <poplarpass/replication/fleet_state.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::control
{
/// \brief Decides when this process claims and renews the control role, and whether it may act.
///
/// It reads no clock; all times are monotonic times of the process, so that steps of the wall clock have no effect.
/// \sa membership_manager, host_controller
class role_manager
{
public:
    /// \param self name of this process
    /// \param incarnation its incarnation, part of every record id
    role_manager(core::member_id self, std::uint64_t incarnation);

    /// \brief Applies the state of the role after the record \p id, read back at \p now.
    auto onApplied(const core::record_id &id, const replication::control_state &control, core::monotonic_time now)
        -> void;

    /// \brief Handles that this process rejoined with \p incarnation after a removal.
    auto onRejoined(std::uint64_t incarnation) -> void;

    /// \brief Handles that a read started at \p readStart reached the end of the log.
    auto onReadToEnd(core::monotonic_time readStart) -> void;

    /// \brief Handles the answer to the append of \p id; after a failure it is unknown whether it took effect.
    auto onAppendAnswered(const core::record_id &id, bool succeeded) -> void;

    /// \brief Returns the record to append at \p now, if any: a claim by a standby or a renewal by the holder.
    /// \param candidates control processes considered alive, including this one; they claim in rank order
    auto next(std::span<const core::member_id> candidates, core::monotonic_time now) -> std::optional<append_request>;

    /// \brief Returns whether this process may append records and send orders as the holder at \p now.
    [[nodiscard]] auto mayAct(core::monotonic_time now) const -> bool;

    /// \brief Returns whether the replicated state names this process as the holder, even if it may no longer act.
    [[nodiscard]] auto isHolder() const -> bool;

    /// \brief Returns the epoch of the role as last read.
    [[nodiscard]] auto epoch() const -> std::uint64_t;

private:
    struct sent_record
    {
        core::record_id id;
        replication::record change;
        core::monotonic_time firstSent;
        core::monotonic_time lastSent;
        bool inFlight = true;
    };

    auto renewal(core::monotonic_time now) -> std::optional<append_request>;
    auto claim(std::span<const core::member_id> candidates, core::monotonic_time now) -> std::optional<append_request>;
    auto send(replication::record change) -> append_request;
    auto repeatClaim(core::monotonic_time now) -> std::optional<append_request>;
    [[nodiscard]] auto claimDue(std::span<const core::member_id> candidates) const -> bool;
    [[nodiscard]] auto rankAmong(std::span<const core::member_id> candidates) const -> std::size_t;

    core::member_id m_self;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    replication::control_state m_control;
    std::optional<core::monotonic_time> m_lastRenewalRead; ///< When the latest claim or renewal was read.
    std::optional<core::monotonic_time> m_readStart; ///< Start of the latest read that reached the end of the log.
    std::optional<core::monotonic_time> m_leaseExpiry; ///< End of the right to act as the holder.
    std::optional<core::monotonic_time> m_lastSend; ///< Latest send of a claim or renewal; reset on failure.
    std::optional<sent_record> m_claim; ///< Claim neither read back nor superseded.
    std::vector<sent_record> m_renewals; ///< Renewals not yet read back.
};
} // namespace poplarpass::control
