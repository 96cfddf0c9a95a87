#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>
#include <poplarpass/fold/fleet_state.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarpass::control
{
/// \brief Decides when this process claims and renews the control role, and whether it may act.
///
/// It reads no clock; every time is the process's monotonic time, so that steps of the wall clock have no effect.
/// \sa member_keeper, host_controller
class role_keeper
{
public:
    /// \param self name of this process
    /// \param incarnation its incarnation, part of every record id
    role_keeper(core::member_id self, std::uint64_t incarnation);

    /// \brief Takes in the state of the role after the record \p id was applied at \p now.
    auto onApplied(const core::record_id &id, const fold::control_state &control, core::monotonic_time now) -> void;

    /// \brief Takes in that this process joined again with \p incarnation, after it had been removed.
    auto onIncarnation(std::uint64_t incarnation) -> void;

    /// \brief Takes in that a read which was begun at \p begun reached the end of the log.
    auto onReadToEnd(core::monotonic_time readStart) -> void;

    /// \brief Takes in that the append of \p id was answered; a failure leaves open whether it took effect.
    auto onAppendAnswered(const core::record_id &id, bool succeeded) -> void;

    /// \brief Record to append at \p now, if any: a claim of a standby or a renewal of the holder.
    /// \param candidates control processes that are thought to live, this one included; they claim in turn
    auto next(std::span<const core::member_id> candidates, core::monotonic_time now) -> std::optional<append_request>;

    /// \brief Whether this process may write records and give orders as the holder at \p now.
    [[nodiscard]] auto mayAct(core::monotonic_time now) const -> bool;

    /// \brief Whether the agreed state names this process as the holder, whether or not it may still act.
    [[nodiscard]] auto isHolder() const -> bool;

    /// \brief Epoch of the role as last read.
    [[nodiscard]] auto epoch() const -> std::uint64_t;

private:
    struct sent_record
    {
        core::record_id id;
        fold::record change;
        core::monotonic_time firstSent;
        core::monotonic_time lastSent;
        bool inFlight = true;
    };

    auto renewal(core::monotonic_time now) -> std::optional<append_request>;
    auto claim(std::span<const core::member_id> candidates, core::monotonic_time now) -> std::optional<append_request>;
    auto send(fold::record change) -> append_request;
    auto repeatClaim(core::monotonic_time now) -> std::optional<append_request>;
    [[nodiscard]] auto claimDue(std::span<const core::member_id> candidates) const -> bool;
    [[nodiscard]] auto rankAmong(std::span<const core::member_id> candidates) const -> std::size_t;

    core::member_id m_self;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    fold::control_state m_control;
    std::optional<core::monotonic_time> m_lastRenewalRead; ///< When the latest renewal was read.
    std::optional<core::monotonic_time> m_readStart; ///< Start of the latest read that reached the end.
    std::optional<core::monotonic_time> m_leaseExpiry; ///< End of the right to act.
    std::optional<core::monotonic_time> m_lastSend; ///< When the latest claim or renewal was sent.
    std::optional<sent_record> m_claim; ///< Claim that was neither read back nor overtaken.
    std::vector<sent_record> m_renewals; ///< Renewals that were not read back yet.
};
} // namespace poplarpass::control
