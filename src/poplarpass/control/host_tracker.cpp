#include <poplarpass/control/constants.h>
#include <poplarpass/control/host_tracker.h>

namespace poplarpass::control
{
// A status that overlaps a pending order may predate or follow the order's effect. Such a contact shows only that the
// worker is reachable.
auto host_tracker::onContact(const host_contact &contact) -> void
{
    if (!contact.reached) {
        const bool isOlder = m_lastContact && contact.at < *m_lastContact;
        if (isOlder) {
            return;
        }
        if (!m_failedSince) {
            m_failedSince = contact.at;
        }
        ++m_failures;
        m_contactSince.reset();
        return;
    }
    applyContact(contact.at);
    const bool mayOverlapOrder = m_pendingOrder || (m_lastOrderEnd && contact.at < *m_lastOrderEnd);
    if (!mayOverlapOrder) {
        applyStatus({contact.bootId, contact.draining, contact.pool, contact.generation, contact.at});
    }
}

// An answer to a drain order confirms only the phase in which the order was sent: an earlier order may have been
// overtaken by an undrain.
auto host_tracker::onOutcome(const order_outcome &outcome, core::monotonic_time now) -> void
{
    const auto &request = outcome.request;
    const bool isPendingOrder = m_pendingOrder && m_pendingOrder->order == request.order
        && m_pendingOrder->controlEpoch == request.controlEpoch && m_pendingOrder->generation == request.generation;
    if (!isPendingOrder) {
        return;
    }
    m_pendingOrder.reset();
    m_lastOrderEnd = now;
    if (!outcome.answer) {
        return;
    }
    const auto &answer = *outcome.answer;
    if (request.order == platform::worker_order::reboot) {
        // The worker answers while shutting down, so the answer does not count as a contact.
        m_rebootAccepted = true;
        return;
    }
    applyContact(*m_lastOrder);
    applyStatus({answer.bootId, answer.draining, answer.pool, answer.generation, *m_lastOrder});
    if (request.order == platform::worker_order::drain && *m_lastOrder >= m_phaseSince) {
        m_confirmedIdle = answer.draining && answer.runningJobs == 0;
    }
    if (request.order == platform::worker_order::undrain) {
        m_confirmedIdle = false;
    }
    const bool isAssigned = answer.pool == request.pool && answer.generation == request.generation;
    if (request.order == platform::worker_order::assign && *m_lastOrder >= m_phaseSince && isAssigned) {
        m_assigned = request.pool;
    }
}

auto host_tracker::onPhase(const replication::host_state &host, core::monotonic_time now) -> void
{
    if (m_phase == host.phase && m_phaseGeneration == host.generation) {
        return;
    }
    m_phase = host.phase;
    m_phaseGeneration = host.generation;
    m_phaseSince = now;
    m_confirmedIdle = false;
    m_assigned = {};
    m_lastReboot.reset();
    m_rebootAccepted = false;
    m_lastReport.reset();
}

auto host_tracker::onListed(bool listed, bool leaving, core::monotonic_time now) -> void
{
    m_leaving = listed && leaving;
    if (listed) {
        m_missingSince.reset();
    } else if (!m_missingSince) {
        m_missingSince = now;
    }
}

auto host_tracker::onOrder(const platform::order_request &request, core::monotonic_time now) -> void
{
    m_pendingOrder = request;
    m_lastOrder = now;
    if (request.order == platform::worker_order::reboot) {
        m_lastReboot = now;
        m_rebootAccepted = false;
    }
}

auto host_tracker::mayOrder(core::monotonic_time now, core::duration interval) const -> bool
{
    if (!m_lastOrder) {
        return true;
    }
    return now - *m_lastOrder >= (m_pendingOrder ? orderOutcomeTimeout : interval);
}

auto host_tracker::isLost(core::monotonic_time now) const -> bool
{
    return m_failures >= minFailedContacts && m_failedSince && now - *m_failedSince >= downAfter;
}

auto host_tracker::isStable(core::monotonic_time now) const -> bool
{
    return isReachable(now) && m_contactSince && now - *m_contactSince >= upAfter;
}

auto host_tracker::isReachable(core::monotonic_time now) const -> bool
{
    return m_lastContact && m_failures == 0 && now - *m_lastContact < contactTimeout;
}

auto host_tracker::confirmedIdle() const -> bool
{
    return m_confirmedIdle;
}

auto host_tracker::confirmedAssign(const core::pool_id &pool) const -> bool
{
    return m_assigned == pool;
}

auto host_tracker::isCurrent() const -> bool
{
    return m_status && !m_pendingOrder && (!m_lastOrder || m_status->at >= *m_lastOrder);
}

auto host_tracker::isAssignedAs(const replication::host_state &host) const -> bool
{
    return m_status && m_status->pool == host.pool && m_status->generation == host.generation;
}

auto host_tracker::acceptsWorkAs(const replication::host_state &host) const -> bool
{
    return isCurrent() && isAssignedAs(host) && !m_status->draining;
}

auto host_tracker::status() const -> const std::optional<worker_status> &
{
    return m_status;
}

auto host_tracker::isLeaving() const -> bool
{
    return m_leaving;
}

auto host_tracker::isRemovable(core::monotonic_time now) const -> bool
{
    return m_missingSince && now - *m_missingSince >= removeHostAfter && isLost(now);
}

auto host_tracker::phaseAge(core::monotonic_time now) const -> core::duration
{
    return now - m_phaseSince;
}

auto host_tracker::tryReport(core::monotonic_time now) -> bool
{
    if (m_lastReport && now - *m_lastReport < reportInterval) {
        return false;
    }
    m_lastReport = now;
    return true;
}

auto host_tracker::mayReboot(core::monotonic_time now) const -> bool
{
    return !m_lastReboot || now - *m_lastReboot >= (m_rebootAccepted ? rebootTimeout : rebootRetryInterval);
}

auto host_tracker::applyContact(core::monotonic_time at) -> void
{
    const bool isOlder = m_lastContact && at < *m_lastContact;
    if (isOlder) {
        return;
    }
    m_lastContact = at;
    if (!m_contactSince) {
        m_contactSince = at;
    }
    m_failures = 0;
    m_failedSince.reset();
}

auto host_tracker::applyStatus(const worker_status &status) -> void
{
    if (m_status && status.at < m_status->at) {
        return;
    }
    if (m_status && m_status->bootId != status.bootId) {
        m_confirmedIdle = false;
        m_assigned = {};
    }
    m_status = status;
}
} // namespace poplarpass::control
