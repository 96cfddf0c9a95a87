#include <poplarpass/control/constants.h>
#include <poplarpass/control/host_controller.h>
#include <poplarpass/control/host_controller_step.h>

#include <algorithm>
#include <cassert>
#include <unordered_set>
#include <utility>

namespace poplarpass::control
{
namespace
{
auto nameOfHost(const replication::host_state &host) -> const core::host_id &
{
    return host.description.host;
}

auto subjectOf(const replication::host_state &host) -> append_subject
{
    return {nameOfHost(host), {}};
}

auto removesCapacity(const replication::record *change) -> bool
{
    const auto *hostChange = change == nullptr ? nullptr : std::get_if<replication::host_record>(change);
    return hostChange != nullptr
        && (hostChange->event == replication::host_event::drain_start
            || hostChange->event == replication::host_event::leave);
}

auto blocksFinish(const replication::wave_state &wave, const replication::host_state &host) -> bool
{
    const bool isInMaintenance =
        host.phase == replication::host_phase::draining || host.phase == replication::host_phase::rebooting;
    const bool isLeavingPlatform = host.phase == replication::host_phase::draining && host.wave.empty();
    return !isLeavingPlatform && (needsMaintenance(wave, host) || (isInMaintenance && host.wave == wave.name));
}
} // namespace

host_controller::host_controller(const core::member_id &self, std::uint64_t incarnation, controller_hooks hooks)
    : m_hooks{std::move(hooks)}
    , m_pending{self.str() + "/" + std::to_string(incarnation) + "/host/"}
{
    assert(!self.empty());
}

auto host_controller::onApplied(const core::record_id &id) -> void
{
    m_pending.onApplied(id);
}

auto host_controller::onRoleLost() -> void
{
    m_pending.clear();
    m_trackers.clear();
}

auto host_controller::decide(const replication::fleet_state &state, const host_observations &observations,
                             core::wall_time wallNow, core::monotonic_time now) -> std::vector<control_action>
{
    assert(state.control().epoch > 0);
    step current{state, observations, wallNow, now};
    applyObservations(current);
    applyHostList(current);
    checkLossPlausibility(current);
    prepareView(current);
    for (const auto &host : state.hosts()) {
        if (!recordAvailability(current, host)) {
            reconcileHost(current, host);
        }
    }
    startDrains(current);
    startMoves(current);
    finishWaves(current);
    return std::move(current.actions);
}

auto host_controller::applyObservations(step &current) -> void
{
    for (const auto &host : current.state.hosts()) {
        m_trackers[nameOfHost(host)].onPhase(host, current.now);
    }
    for (const auto &outcome : current.observations.outcomes) {
        m_trackers[outcome.host].onOutcome(outcome, current.now);
    }
    for (const auto &contact : current.observations.sightings) {
        m_trackers[contact.host].onContact(contact);
    }
}

auto host_controller::applyHostList(step &current) -> void
{
    if (!current.observations.listed) {
        return;
    }
    std::unordered_set<core::host_id> listedNames;
    for (const auto &listed : *current.observations.listed) {
        listedNames.insert(listed.host);
        m_trackers[listed.host].onListed(true, listed.leaving, current.now);
        if (current.state.findHost(listed.host) == nullptr) {
            addHost(current, listed);
        }
    }
    for (const auto &host : current.state.hosts()) {
        if (!listedNames.contains(nameOfHost(host))) {
            m_trackers[nameOfHost(host)].onListed(false, false, current.now);
        }
    }
    std::erase_if(m_trackers, [&](const auto &entry) {
        return !listedNames.contains(entry.first) && current.state.findHost(entry.first) == nullptr;
    });
}

// A listed host that was never reached would count as capacity that does not exist, so it is added once it answers.
auto host_controller::addHost(step &current, const platform::listed_host &listed) -> void
{
    auto &tracker = m_trackers[listed.host];
    if (listed.leaving || !tracker.isReachable(current.now) || !tracker.status()) {
        return;
    }
    if (current.state.findPool(listed.pool) == nullptr) {
        if (tracker.tryReport(current.now)) {
            current.actions.emplace_back(report_action{report_kind::unknown_pool, listed.host, {}, listed.pool.str()});
        }
        return;
    }
    replication::host_record change;
    change.event = replication::host_event::add;
    change.host = listed.host;
    change.controlEpoch = current.state.control().epoch;
    change.description = listed;
    change.bootId = tracker.status()->bootId;
    appendFor(current, {listed.host, {}}, change);
}

// A holder that is itself partitioned reaches no worker; recording all of them as down would take the whole fleet out
// of service.
auto host_controller::checkLossPlausibility(step &current) -> void
{
    std::size_t upCount = 0;
    std::size_t lostCount = 0;
    for (const auto &host : current.state.hosts()) {
        if (host.down || host.phase == replication::host_phase::rebooting) {
            continue;
        }
        ++upCount;
        lostCount += m_trackers.at(nameOfHost(host)).isLost(current.now) ? 1U : 0U;
    }
    const auto plausible = std::max(minSuspiciousLoss, upCount * maxPlausibleLossPercent / 100);
    current.isLossPlausible = lostCount <= plausible;
    const bool isReportDue = !m_lastLossReport || current.now - *m_lastLossReport >= reportInterval;
    if (!current.isLossPlausible && isReportDue) {
        m_lastLossReport = current.now;
        const auto detail = "lost=" + std::to_string(lostCount) + " of=" + std::to_string(upCount);
        current.actions.emplace_back(report_action{report_kind::loss_not_plausible, {}, {}, detail});
    }
}

// The replicated state counts a host as serving from its join, return or cancelled drain until its loss is recorded.
// Steps that rely on this capacity must wait until the worker itself is known to accept work.
auto host_controller::prepareView(step &current) -> void
{
    current.view = makePlanningView(current.state.config(), current.state.hosts());
    for (auto &pool : current.view.pools) {
        current.spareSlots.push_back(pool.budget().spareSlots());
        for (auto &host : pool.hosts) {
            if (!host.serves()) {
                continue;
            }
            const bool isTakenOut = removesCapacity(m_pending.pendingRecord(subjectOf(host)));
            if (isTakenOut) {
                emit(current, m_pending.repeat(subjectOf(host), current.now));
            }
            const auto &tracker = m_trackers.at(nameOfHost(host));
            if (!tracker.isReachable(current.now)) {
                host.down = true;
            } else if (isTakenOut || !tracker.acceptsWorkAs(host)) {
                host.phase = replication::host_phase::draining;
            }
        }
    }
}

auto host_controller::startDrains(step &current) -> void
{
    if (!m_hooks.chooseDrains) {
        return;
    }
    const auto isUsableNow = [&](const replication::host_state &host) {
        return isUsable(current, host);
    };
    const wave_query query{current.view, current.state.waves(), current.wallNow, isUsableNow};
    for (const auto &choice : m_hooks.chooseDrains(query)) {
        const auto *host = current.state.findHost(choice.host);
        if (host == nullptr) {
            continue;
        }
        replication::host_record change;
        change.event = replication::host_event::drain_start;
        change.wave = choice.wave;
        append(current, *host, change);
    }
}

auto host_controller::startMoves(step &current) -> void
{
    if (!m_hooks.chooseMoves) {
        return;
    }
    const auto isUsableNow = [&](const replication::host_state &host) {
        return isUsable(current, host);
    };
    const move_query query{current.view, current.state.waves(), current.wallNow, current.now, isUsableNow};
    for (const auto &move : m_hooks.chooseMoves(query)) {
        const auto *host = current.state.findHost(move.host);
        if (host == nullptr || m_pending.pendingRecord(subjectOf(*host)) != nullptr) {
            continue;
        }
        replication::host_record change;
        change.event = replication::host_event::leave;
        change.pool = move.to;
        append(current, *host, change);
    }
}

auto host_controller::finishWaves(step &current) -> void
{
    for (const auto &wave : current.state.waves()) {
        const bool isOver = std::ranges::none_of(
            current.state.hosts(), [&wave](const replication::host_state &host) { return blocksFinish(wave, host); });
        if (wave.finished || !isOver || current.state.hosts().empty()) {
            continue;
        }
        replication::wave_record change;
        change.action = replication::wave_action::finish;
        change.wave = wave.name;
        change.controlEpoch = current.state.control().epoch;
        appendFor(current, {{}, wave.name}, change);
    }
}

auto host_controller::isUsable(const step &current, const replication::host_state &host) const -> bool
{
    const auto tracker = m_trackers.find(nameOfHost(host));
    const bool isReachable = tracker != m_trackers.end() && tracker->second.isReachable(current.now);
    return host.serves() && isReachable && !tracker->second.isLeaving() && current.isLossPlausible;
}

auto host_controller::append(step &current, const replication::host_state &host, replication::host_record change)
    -> void
{
    change.host = nameOfHost(host);
    change.controlEpoch = current.state.control().epoch;
    appendFor(current, subjectOf(host), change);
}

auto host_controller::appendFor(step &current, const append_subject &subject, const replication::record &change) -> void
{
    if (current.appends >= maxAppendsPerStep) {
        return;
    }
    emit(current, m_pending.request(subject, change, current.now));
}

auto host_controller::emit(step &current, std::optional<append_request> request) -> void
{
    if (request) {
        ++current.appends;
        current.actions.emplace_back(std::move(*request));
    }
}
} // namespace poplarpass::control
