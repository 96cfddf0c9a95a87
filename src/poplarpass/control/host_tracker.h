#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/control/host_observations.h>
#include <poplarpass/core/time.h>
#include <poplarpass/replication/host_state.h>

#include <cstdint>
#include <optional>

namespace poplarpass::control
{
/// \brief Status that a worker last reported.
struct worker_status
{
    std::uint64_t bootId = 0;
    bool draining = false; ///< Whether it rejects new work.
    core::pool_id pool; ///< Pool that it is assigned to.
    std::uint64_t generation = 0; ///< Generation of the assignment.
    core::monotonic_time at; ///< Start of the contact that returned the status.
};

/// \brief Observations and pending order of one host, held only by the holder of the control role.
///
/// None of this is replicated: a new holder starts without it.
class host_tracker
{
public:
    /// \brief Applies a successful or failed contact.
    auto onContact(const host_contact &contact) -> void;

    /// \brief Applies the outcome of the pending order; outcomes of other orders are ignored.
    auto onOutcome(const order_outcome &outcome, core::monotonic_time now) -> void;

    /// \brief Applies the phase of the host in the replicated state; a new phase discards earlier confirmations.
    auto onPhase(const replication::host_state &host, core::monotonic_time now) -> void;

    /// \brief Applies whether the host list contains the host and marks it as leaving.
    auto onListed(bool listed, bool leaving, core::monotonic_time now) -> void;

    /// \brief Records \p request as pending from \p now on.
    auto onOrder(const platform::order_request &request, core::monotonic_time now) -> void;

    /// \brief Returns whether an order may be sent: \p interval after the last one, or after orderOutcomeTimeout while
    /// one is pending.
    [[nodiscard]] auto mayOrder(core::monotonic_time now, core::duration interval) const -> bool;

    /// \brief Returns whether the worker has been unreachable for long enough to record it as down.
    [[nodiscard]] auto isLost(core::monotonic_time now) const -> bool;

    /// \brief Returns whether the worker has answered without a failure for long enough to record it as up.
    [[nodiscard]] auto isStable(core::monotonic_time now) const -> bool;

    /// \brief Returns whether the latest contact succeeded and is not older than contactTimeout.
    [[nodiscard]] auto isReachable(core::monotonic_time now) const -> bool;

    /// \brief Returns whether the worker confirmed in the current phase that it is draining and runs no jobs.
    [[nodiscard]] auto confirmedIdle() const -> bool;

    /// \brief Returns whether the worker confirmed in the current phase that it is assigned to \p pool.
    [[nodiscard]] auto confirmedAssign(const core::pool_id &pool) const -> bool;

    /// \brief Returns whether the status reflects the effect of the latest order.
    [[nodiscard]] auto isCurrent() const -> bool;

    /// \brief Returns whether the worker last reported the pool and generation of \p host.
    [[nodiscard]] auto isAssignedAs(const replication::host_state &host) const -> bool;

    /// \brief Returns whether the worker currently accepts work for the pool and generation of \p host.
    [[nodiscard]] auto acceptsWorkAs(const replication::host_state &host) const -> bool;

    /// \brief Returns the last reported status, if any.
    [[nodiscard]] auto status() const -> const std::optional<worker_status> &;

    /// \brief Returns whether the platform marks the host as leaving.
    [[nodiscard]] auto isLeaving() const -> bool;

    /// \brief Returns whether the host has been missing from the list and unreachable for long enough to remove it.
    [[nodiscard]] auto isRemovable(core::monotonic_time now) const -> bool;

    /// \brief Returns the time since this process first read the current phase.
    [[nodiscard]] auto phaseAge(core::monotonic_time now) const -> core::duration;

    /// \brief Returns whether a report on the host is due at \p now and, if so, starts a new reportInterval.
    auto tryReport(core::monotonic_time now) -> bool;

    /// \brief Returns whether a reboot order may be sent at \p now to a worker that still reports its old boot id.
    [[nodiscard]] auto mayReboot(core::monotonic_time now) const -> bool;

private:
    auto applyContact(core::monotonic_time at) -> void;
    auto applyStatus(const worker_status &status) -> void;

    std::optional<worker_status> m_status;
    std::optional<core::monotonic_time> m_lastContact; ///< Latest successful contact.
    std::optional<core::monotonic_time> m_contactSince; ///< First contact of the current run of successes.
    std::optional<core::monotonic_time> m_failedSince; ///< First failure after the latest success.
    int m_failures = 0; ///< Failures after the latest success.

    std::optional<platform::order_request> m_pendingOrder;
    std::optional<core::monotonic_time> m_lastOrder;
    std::optional<core::monotonic_time> m_lastOrderEnd; ///< When the outcome of the latest order was received.
    std::optional<core::monotonic_time> m_lastReboot;
    bool m_rebootAccepted = false;

    std::optional<replication::host_phase> m_phase;
    std::uint64_t m_phaseGeneration = 0;
    core::monotonic_time m_phaseSince{};
    bool m_confirmedIdle = false;
    core::pool_id m_assigned; ///< Pool that the worker confirmed in the current phase.
    std::optional<core::monotonic_time> m_lastReport;

    bool m_leaving = false;
    std::optional<core::monotonic_time> m_missingSince;
};
} // namespace poplarpass::control
