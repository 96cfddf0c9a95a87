#pragma once

#include <poplarpass/control/control_action.h>
#include <poplarpass/control/host_observations.h>
#include <poplarpass/core/time.h>
#include <poplarpass/fold/host_state.h>

#include <cstdint>
#include <optional>

namespace poplarpass::control
{
/// \brief What a worker last said of itself.
struct worker_status
{
    std::uint64_t bootId = 0; ///< Its boot.
    bool draining = false; ///< Whether it takes no new work.
    core::pool_id pool; ///< Pool that it serves.
    std::uint64_t generation = 0; ///< Generation of that assignment.
    core::monotonic_time at; ///< When the contact that said so was begun.
};

/// \brief What the holder of the role knows of one host beyond the agreed state; a new holder starts without it.
class host_tracker
{
public:
    /// \brief Takes in a contact or failed contact.
    auto onContact(const host_sighting &contact) -> void;

    /// \brief Takes in the outcome of the order that was under way.
    auto onOutcome(const order_outcome &outcome, core::monotonic_time now) -> void;

    /// \brief Takes in the phase of the host in the agreed state; a new phase forgets what the last one confirmed.
    auto onPhase(const fold::host_state &host, core::monotonic_time now) -> void;

    /// \brief Takes in whether the host list shows the host.
    auto onListed(bool listed, bool leaving, core::monotonic_time now) -> void;

    /// \brief Notes that \p request is given now.
    auto onOrder(const platform::order_request &request, core::monotonic_time now) -> void;

    /// \brief Whether an order may be given: none is under way, and the last one is \p interval ago.
    [[nodiscard]] auto mayOrder(core::monotonic_time now, core::duration interval) const -> bool;

    /// \brief Whether nobody has reached the worker for long enough to record a loss.
    [[nodiscard]] auto isLost(core::monotonic_time now) const -> bool;

    /// \brief Whether the worker has answered without a gap for long enough to record its return.
    [[nodiscard]] auto isStable(core::monotonic_time now) const -> bool;

    /// \brief Whether the worker answered lately.
    [[nodiscard]] auto isReachable(core::monotonic_time now) const -> bool;

    /// \brief Whether the worker, since the phase began, confirmed that it drains and nothing runs.
    [[nodiscard]] auto confirmedIdle() const -> bool;

    /// \brief Whether the worker, since the phase began, confirmed that it was assigned to \p pool.
    [[nodiscard]] auto confirmedAssign(const core::pool_id &pool) const -> bool;

    /// \brief Whether the worker said what it is after the effect of the latest order that it may have got.
    [[nodiscard]] auto isCurrent() const -> bool;

    /// \brief Whether the worker said last that it serves the pool and generation of \p host.
    [[nodiscard]] auto isAssignedAs(const fold::host_state &host) const -> bool;

    /// \brief Whether the worker said last that it takes work for the pool and generation of \p host.
    [[nodiscard]] auto acceptsWorkAs(const fold::host_state &host) const -> bool;

    /// \brief What the worker said last, if it said anything.
    [[nodiscard]] auto status() const -> const std::optional<worker_status> &;

    /// \brief Whether the platform says that the host is leaving.
    [[nodiscard]] auto isLeaving() const -> bool;

    /// \brief Whether the host has been missing from the list and unreachable for long enough to remove it.
    [[nodiscard]] auto isRemovable(core::monotonic_time now) const -> bool;

    /// \brief Time since this process first saw the present phase.
    [[nodiscard]] auto phaseAge(core::monotonic_time now) const -> core::duration;

    /// \brief Whether a report on the host is due at \p now; true at most once in a reportInterval.
    auto tryReport(core::monotonic_time now) -> bool;

    /// \brief Whether a reboot order may be given at \p now to a worker that still has its old boot.
    [[nodiscard]] auto mayReboot(core::monotonic_time now) const -> bool;

private:
    auto applyContact(core::monotonic_time at) -> void;
    auto applyStatus(const worker_status &status) -> void;

    std::optional<worker_status> m_status;
    std::optional<core::monotonic_time> m_lastContact; ///< Latest contact.
    std::optional<core::monotonic_time> m_contactSince; ///< Start of the unbroken run of contacts.
    std::optional<core::monotonic_time> m_failedSince; ///< First failure after the latest contact.
    int m_failures = 0; ///< Failures after the latest contact.

    std::optional<platform::order_request> m_pendingOrder;
    std::optional<core::monotonic_time> m_lastOrder;
    std::optional<core::monotonic_time> m_lastOrderEnd; ///< When the latest order ended.
    std::optional<core::monotonic_time> m_lastReboot;
    bool m_rebootAccepted = false;

    std::optional<fold::host_phase> m_phase;
    std::uint64_t m_phaseGeneration = 0;
    core::monotonic_time m_phaseSince{};
    bool m_confirmedIdle = false;
    core::pool_id m_assigned; ///< Pool that the worker confirmed in this phase.
    std::optional<core::monotonic_time> m_lastReport;

    bool m_leaving = false;
    std::optional<core::monotonic_time> m_missingSince;
};
} // namespace poplarpass::control
