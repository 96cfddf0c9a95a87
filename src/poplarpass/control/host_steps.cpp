#include <poplarpass/control/constants.h>
#include <poplarpass/control/host_controller.h>
#include <poplarpass/control/host_controller_step.h>

#include <algorithm>
#include <utility>

// The part of host_controller that advances one host through its phases.
namespace poplarpass::control
{
using platform::worker_order;
using replication::host_event;
using replication::host_phase;

namespace
{
auto eventOf(host_event event) -> replication::host_record
{
    replication::host_record change;
    change.event = event;
    return change;
}

auto bootEventOf(host_event event, const host_tracker &tracker) -> replication::host_record
{
    auto change = eventOf(event);
    change.bootId = tracker.status() ? tracker.status()->bootId : 0;
    return change;
}

auto indexIn(const planning_view &view, const pool_view &pool) -> std::size_t
{
    return static_cast<std::size_t>(&pool - view.pools.data());
}
} // namespace

// The absence of a host that reboots for maintenance is planned: it is not recorded as down; a late return is reported
// instead.
auto host_controller::recordAvailability(step &current, const replication::host_state &host) -> bool
{
    const auto &tracker = m_trackers.at(host.description.host);
    if (tracker.isRemovable(current.now) && !host.serves()) {
        append(current, host, eventOf(host_event::remove));
        return true;
    }
    if (host.phase == host_phase::rebooting) {
        return false;
    }
    if (!host.down && tracker.isLost(current.now) && current.isLossPlausible) {
        append(current, host, eventOf(host_event::down));
        return true;
    }
    if (host.down && tracker.isStable(current.now) && !tracker.isLeaving()) {
        append(current, host, bootEventOf(host_event::up, tracker));
        return true;
    }
    return false;
}

auto host_controller::reconcileHost(step &current, const replication::host_state &host) -> void
{
    if (host.down && host.phase != host_phase::rebooting) {
        return;
    }
    switch (host.phase) {
    case host_phase::serving:
        reconcileServing(current, host);
        break;
    case host_phase::draining:
        reconcileDraining(current, host);
        break;
    case host_phase::rebooting:
        reconcileRebooting(current, host);
        break;
    case host_phase::moving_out:
    case host_phase::drained:
        reconcileMove(current, host);
        break;
    }
}

// The worker of a serving host may still be in the state that an earlier holder, a cancelled drain or a move left
// behind.
auto host_controller::reconcileServing(step &current, const replication::host_state &host) -> void
{
    const auto &tracker = m_trackers.at(host.description.host);
    if (tracker.isLeaving()) {
        reconcileLeaving(current, host);
        return;
    }
    const bool isKnown = tracker.status() && tracker.isReachable(current.now);
    if (!isKnown || m_pending.pendingRecord({host.description.host, {}}) != nullptr) {
        return;
    }
    if (!tracker.isAssignedAs(host)) {
        orderAssign(current, host, host.pool, host.generation);
    } else if (tracker.status()->draining) {
        order(current, host, worker_order::undrain);
    }
}

// The platform removes the host in any case. If the budget does not permit a drain, the host is recorded as down.
auto host_controller::reconcileLeaving(step &current, const replication::host_state &host) -> void
{
    const auto *pool = std::as_const(current.view).findPool(host.pool);
    const bool mayDrain = pool == nullptr || pool->limitOf(host) == replication::budget_limit::none;
    append(current, host, eventOf(mayDrain ? host_event::drain_start : host_event::down));
}

auto host_controller::reconcileDraining(step &current, const replication::host_state &host) -> void
{
    const auto &tracker = m_trackers.at(host.description.host);
    const bool isLeavingPlatform = host.wave.empty();
    const bool isRetained = isLeavingPlatform && !tracker.isLeaving() && tracker.isReachable(current.now);
    if (isRetained || (!isLeavingPlatform && mustCancel(current, host))) {
        cancel(current, host);
        return;
    }
    if (!tracker.confirmedIdle()) {
        order(current, host, worker_order::drain);
        reportOverdue(current, host, report_kind::drain_overdue, drainOverdueAfter);
    } else if (!isLeavingPlatform) {
        append(current, host, bootEventOf(host_event::reboot_start, tracker));
    }
}

// The replicated state holds the boot id from before the reboot: any other one proves that the worker restarted.
auto host_controller::reconcileRebooting(step &current, const replication::host_state &host) -> void
{
    const auto &tracker = m_trackers.at(host.description.host);
    const auto &status = tracker.status();
    reportOverdue(current, host, report_kind::reboot_overdue, rebootOverdueAfter);
    if (!tracker.isReachable(current.now) || !tracker.isCurrent()) {
        return;
    }
    if (status->bootId == host.bootId) {
        if (!status->draining) {
            order(current, host, worker_order::drain);
        } else if (tracker.mayReboot(current.now)) {
            order(current, host, worker_order::reboot);
        }
        return;
    }
    if (!tracker.isAssignedAs(host)) {
        orderAssign(current, host, host.pool, host.generation);
    } else if (status->draining) {
        order(current, host, worker_order::undrain);
    } else {
        append(current, host, bootEventOf(host_event::returned, tracker));
    }
}

// The worker is assigned before the join is appended: from its answer on it rejects leases for the old pool, so that no
// process with a stale state can start work for the old pool once the join is applied. The generation in this order is
// provisional, as the offset of the join is not known yet. It is not published, and reconcileServing() assigns the
// final one.
auto host_controller::reconcileMove(step &current, const replication::host_state &host) -> void
{
    const auto &tracker = m_trackers.at(host.description.host);
    const bool isTargetKnown = current.state.findPool(host.movingTo) != nullptr;
    if (host.phase == host_phase::moving_out) {
        if (!isTargetKnown || mustCancel(current, host)) {
            cancel(current, host);
        } else if (tracker.confirmedIdle()) {
            append(current, host, eventOf(host_event::drained));
        } else {
            order(current, host, worker_order::drain);
            reportOverdue(current, host, report_kind::drain_overdue, drainOverdueAfter);
        }
        return;
    }
    if (!isTargetKnown) {
        cancel(current, host);
    } else if (tracker.confirmedAssign(host.movingTo)) {
        auto change = eventOf(host_event::join);
        change.pool = host.movingTo;
        append(current, host, change);
    } else if (tracker.status() && !tracker.status()->draining) {
        order(current, host, worker_order::drain);
    } else {
        orderAssign(current, host, host.movingTo, current.state.offset());
    }
}

// A drain is cancelled before its reboot or move if the pool has fallen below its required capacity, and a drain for a
// wave also if the calendar has closed.
auto host_controller::mustCancel(const step &current, const replication::host_state &host) const -> bool
{
    const auto *pool = current.view.findPool(host.pool);
    if (pool == nullptr) {
        return false;
    }
    const bool isForWave = host.phase == host_phase::draining;
    const bool isClosed = isForWave && m_hooks.calendarIsOpen && !pool->isOpen(m_hooks.calendarIsOpen, current.wallNow);
    return isClosed || current.spareSlots[indexIn(current.view, *pool)] < 0;
}

auto host_controller::cancel(step &current, const replication::host_state &host) -> void
{
    append(current, host, eventOf(host_event::drain_cancel));
    if (const auto *pool = std::as_const(current.view).findPool(host.pool)) {
        current.spareSlots[indexIn(current.view, *pool)] += host.description.slots;
    }
}

auto host_controller::order(step &current, const replication::host_state &host, platform::worker_order kind) -> void
{
    platform::order_request request;
    request.order = kind;
    sendOrder(current, host, std::move(request));
}

auto host_controller::orderAssign(step &current, const replication::host_state &host, const core::pool_id &pool,
                                  std::uint64_t generation) -> void
{
    platform::order_request request;
    request.order = worker_order::assign;
    request.pool = pool;
    request.generation = generation;
    sendOrder(current, host, std::move(request));
}

auto host_controller::sendOrder(step &current, const replication::host_state &host, platform::order_request request)
    -> void
{
    auto &tracker = m_trackers.at(host.description.host);
    if (!tracker.mayOrder(current.now, orderInterval)) {
        return;
    }
    request.controlEpoch = current.state.control().epoch;
    tracker.onOrder(request, current.now);
    current.actions.emplace_back(order_action{host.description.host, host.description.address, std::move(request)});
}

auto host_controller::reportOverdue(step &current, const replication::host_state &host, report_kind kind,
                                    core::duration limit) -> void
{
    auto &tracker = m_trackers.at(host.description.host);
    const auto age = tracker.phaseAge(current.now);
    if (age < limit || !tracker.tryReport(current.now)) {
        return;
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
    const auto detail = "pool=" + host.pool.str() + " for_s=" + std::to_string(seconds);
    current.actions.emplace_back(report_action{kind, host.description.host, host.wave, detail});
}
} // namespace poplarpass::control
