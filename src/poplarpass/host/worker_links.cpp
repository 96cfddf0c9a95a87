#include <poplarpass/host/constants.h>
#include <poplarpass/host/worker_links.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
worker_links::worker_links(const core::time_source &time, const worker_calls &calls, jobs::job_engine &engine,
                           observe::logger &log, std::uint64_t fencingToken, worker_link_hooks hooks)
    : m_time{time}
    , m_calls{calls}
    , m_engine{engine}
    , m_log{log}
    , m_fences{fencingToken}
    , m_hooks{std::move(hooks)}
{
}

auto worker_links::refresh() -> void
{
    for (const auto &[id, worker] : m_engine.workers().all()) {
        if (!worker.entry.address.empty() && !m_links[id].busy && !isExpectedGone(worker)) {
            renew(id);
        }
    }
    std::erase_if(m_links, [this](const auto &entry) {
        return !entry.second.busy && m_engine.workers().find(entry.first) == nullptr;
    });
}

// The worker of a host that was moved or put into maintenance has ended, but stays listed until its entry expires. One
// without an entry is remembered only for its leases.
auto worker_links::isExpectedGone(const jobs::worker_slot &worker) -> bool
{
    return worker.isIdleAndUnlisted() || (worker.leaving && !worker.responsive && worker.placed.empty());
}

auto worker_links::targetOf(const jobs::worker_slot &worker) -> worker_target
{
    return {worker.entry.id, worker.entry.address, m_fences.tokenForCall(worker.entry.id, m_hooks.greatestToken())};
}

// A call that was overtaken by one with a greater token of this owner is refused as well.
auto worker_links::isDeposed(const worker_target &target) const -> bool
{
    return !m_fences.isOutdated(target.id, target.fencingToken);
}

// A worker that does not answer gets no new lease: if the renewal were delivered late, its runs would continue until an
// unknown time.
auto worker_links::renew(const jobs::worker_id &id) -> void
{
    auto *worker = m_engine.workers().find(id);
    auto &state = m_links[id];
    state.busy = false;
    if (worker == nullptr || worker->entry.address.empty() || worker->isIdleAndUnlisted() || !m_hooks.mayOrder()) {
        return;
    }
    if (state.incarnation != worker->entry.incarnation) {
        state.incarnation = worker->entry.incarnation;
        state.acknowledgedEnd = 0;
    }
    const auto now = m_time.now();
    renewal_call call;
    call.target = targetOf(*worker);
    call.acknowledgedEnd = state.acknowledgedEnd;
    if (worker->responsive) {
        call.deadlineMs = m_engine.workers().extendLease(*worker, now);
        call.wait = renewalPollTimeout;
    }
    state.busy = true;
    m_calls.renew(call, m_lifetime.guard([this, target = call.target, now](const renewal_answer &answer) {
        onRenewed(target, answer, now);
    }));
}

auto worker_links::onRenewed(const worker_target &target, const renewal_answer &answer, core::monotonic_time sentAt)
    -> void
{
    const auto &id = target.id;
    const auto now = m_time.now();
    auto *worker = m_engine.workers().find(id);
    switch (answer.outcome) {
    case renewal_outcome::fenced:
        onRenewalFenced(target);
        return;
    case renewal_outcome::other_instance:
        m_log.log(observe::log_level::info, "worker_replaced", {{"worker", id.str()}});
        m_engine.onOtherInstance(id, now);
        m_links[id].busy = false;
        m_hooks.onChange();
        return;
    case renewal_outcome::failed:
        if (worker != nullptr && worker->responsive) {
            m_log.log(worker->leaving ? observe::log_level::debug : observe::log_level::warning, "worker_lost",
                      {{"worker", id.str()}, {"address", worker->entry.address}, {"placed", worker->placed.size()}});
        }
        // The next answer may come from a new incarnation, whose numbers of ends start again from 1.
        m_links[id].acknowledgedEnd = 0;
        m_engine.onNoReport(id, now);
        m_hooks.onChange();
        if (worker != nullptr && isExpectedGone(*worker)) {
            m_links[id].busy = false;
        } else {
            renewAfter(id, renewalRetryDelay);
        }
        return;
    case renewal_outcome::reported:
        onReported(id, answer.report, sentAt);
        return;
    }
}

auto worker_links::onRenewalFenced(const worker_target &target) -> void
{
    if (isDeposed(target)) {
        m_hooks.onFenced();
    } else {
        renewAfter(target.id, core::duration{0});
    }
}

auto worker_links::onReported(const jobs::worker_id &id, const jobs::renewal_report &report,
                              core::monotonic_time sentAt) -> void
{
    const auto *worker = m_engine.workers().find(id);
    const bool responsiveAgain = worker != nullptr && !worker->responsive;
    if (responsiveAgain) {
        m_log.log(observe::log_level::info, "worker_regained",
                  {{"worker", id.str()},
                   {"address", worker->entry.address},
                   {"born", report.incarnation},
                   {"running", report.running.size()}});
    }
    // The next renewal has the greater token, so it is sent at once after a restart.
    const bool hasRestarted = m_fences.onReport(id, report.incarnation);
    const bool isUrgent = responsiveAgain || hasRestarted;
    const auto handled = m_engine.onReport(id, report, sentAt, m_time.now());
    m_hooks.onChange();
    m_hooks.whenStored(m_lifetime.guard([this, id, incarnation = report.incarnation, handled, isUrgent] {
        auto &state = m_links[id];
        state.incarnation = incarnation;
        state.acknowledgedEnd = handled;
        renewAfter(id, isUrgent ? core::duration{0} : renewalDelayOf(id));
    }));
}

auto worker_links::renewalDelayOf(const jobs::worker_id &id) const -> core::duration
{
    const auto *worker = m_engine.workers().find(id);
    const bool hasHeldEnds = worker != nullptr && !worker->heldEnds.empty();
    return hasHeldEnds ? std::max(m_hooks.renewalDelay(), heldEndsRenewalDelay) : m_hooks.renewalDelay();
}

auto worker_links::renewAfter(const jobs::worker_id &id, core::duration delay) -> void
{
    m_time.callAfter(delay, m_lifetime.guard([this, id] { renew(id); }));
}

auto worker_links::send(const jobs::order_batch &orders) -> void
{
    for (const auto &order : orders.stops) {
        sendStop(order);
    }
    for (const auto &order : orders.starts) {
        sendStart(order);
    }
    for (const auto &order : orders.paces) {
        sendPace(order);
    }
}

auto worker_links::sendStart(const jobs::start_order &order) -> void
{
    const auto now = m_time.now();
    auto *worker = m_engine.workers().find(order.worker);
    if (worker == nullptr || !m_hooks.mayOrder()) {
        m_engine.onStartAnswer(order, jobs::run_start_answer::unreachable, now);
        return;
    }
    const auto deadline = m_engine.workers().extendLease(*worker, now);
    const auto target = targetOf(*worker);
    m_calls.start(target, order, deadline,
                  m_lifetime.guard([this, order, target, clock = worker->clockMs](const start_result &result) {
                      onStartResult(order, target, clock, result);
                  }));
}

auto worker_links::onStartResult(const jobs::start_order &order, const worker_target &target,
                                 std::int64_t clockAtSending, const start_result &result) -> void
{
    const auto now = m_time.now();
    if (result.answer == jobs::run_start_answer::fenced) {
        if (isDeposed(target)) {
            m_hooks.onFenced();
        } else {
            m_engine.onStartAnswer(order, jobs::run_start_answer::unreachable, now);
            m_hooks.onChange();
        }
        return;
    }
    if (result.clockMs && m_engine.onClockRead(order.worker, *result.clockMs, clockAtSending, now)) {
        // The ends of the new incarnation are numbered from 1: the former number would acknowledge them unseen.
        m_links[order.worker].acknowledgedEnd = 0;
        m_fences.onRestart(order.worker);
    }
    m_engine.onStartAnswer(order, result.answer, now);
    if (result.answer != jobs::run_start_answer::started) {
        m_hooks.onChange();
    }
}

auto worker_links::sendStop(const jobs::stop_order &order) -> void
{
    auto *worker = m_engine.workers().find(order.worker);
    if (worker == nullptr || worker->entry.address.empty() || !m_hooks.mayOrder()) {
        return;
    }
    const auto target = targetOf(*worker);
    m_calls.stop(target, order, m_lifetime.guard([this, order, target](jobs::stop_answer answer) {
        if (answer != jobs::stop_answer::fenced) {
            m_engine.onStopAnswer(order, answer, m_time.now());
        } else if (isDeposed(target)) {
            m_hooks.onFenced();
        } else {
            m_engine.onStopAnswer(order, jobs::stop_answer::unknown, m_time.now());
        }
    }));
}

auto worker_links::sendPace(const jobs::pace_order &order) -> void
{
    auto *worker = m_engine.workers().find(order.worker);
    if (worker == nullptr || !m_hooks.mayOrder()) {
        return;
    }
    m_calls.pace(targetOf(*worker), order, m_lifetime.guard([this, order](bool paced) {
        if (!paced) {
            m_log.log(observe::log_level::info, "pace_refused", {{"task", order.task}, {"worker", order.worker.str()}});
        }
    }));
}
} // namespace poplarpass::host
