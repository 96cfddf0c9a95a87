#include <poplarpass/core/invariant.h>
#include <poplarpass/replication/budget.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/refusal.h>
#include <poplarpass/replication/state_digest.h>

#include <algorithm>
#include <cassert>

namespace poplarpass::replication
{
using core::error_kind;
using internal::accepted;
using internal::refused;

namespace
{
auto hostNameOf(const host_state &host) -> const core::host_id &
{
    return host.description.host;
}

auto nameOf(host_phase phase) -> std::string_view
{
    switch (phase) {
    case host_phase::serving:
        return "serving";
    case host_phase::moving_out:
        return "moving_out";
    case host_phase::drained:
        return "drained";
    case host_phase::draining:
        return "draining";
    case host_phase::rebooting:
        return "rebooting";
    }
    return "unknown";
}

auto wrongPhase(const host_state &host) -> applied
{
    return refused(error_kind::invalid_request,
                   hostNameOf(host).str() + " is " + std::string{nameOf(host.phase)} + (host.down ? " and down" : ""));
}

auto isLent(const host_state &host) -> bool
{
    return host.pool != host.description.pool;
}

auto isBeingLent(const host_state &host) -> bool
{
    return !host.movingTo.empty() && host.movingTo != host.description.pool;
}
} // namespace

auto fleet_state::applyChange(log_offset offset, const host_record &change) -> applied
{
    if (change.controlEpoch == 0 || change.controlEpoch != m_control.epoch) {
        return refused(error_kind::stale_epoch, "control epoch in force is " + std::to_string(m_control.epoch));
    }
    if (change.event == host_event::add) {
        return addHost(offset, change);
    }
    const auto position = std::ranges::lower_bound(m_hosts, change.host, {}, hostNameOf);
    if (position == m_hosts.end() || hostNameOf(*position) != change.host) {
        return refused(error_kind::invalid_request, "no host " + change.host.str());
    }
    if (change.event == host_event::remove) {
        return removeHost(*position);
    }
    const auto before = core::pool_id{position->pool};
    const auto drained = position->phase == host_phase::drained;
    auto outcome = changeHost(offset, change, *position);
    core::requireInvariant(position->pool == before || (change.event == host_event::join && drained),
                           core::invariant_kind::one_pool_per_host, [&] {
                               return change.host.str() + " moved from pool " + before.str() + " to "
                                   + position->pool.str() + " without being drained";
                           });
    return outcome;
}

auto fleet_state::addHost(log_offset /*offset*/, const host_record &change) -> applied
{
    const auto &listed = change.description;
    if (change.host.empty() || listed.host != change.host || listed.pool.empty() || listed.slots <= 0) {
        return refused(error_kind::invalid_request, "a host needs a name, a pool and slots");
    }
    const auto position = std::ranges::lower_bound(m_hosts, change.host, {}, hostNameOf);
    if (position != m_hosts.end() && hostNameOf(*position) == change.host) {
        return refused(error_kind::invalid_request, change.host.str() + " is in pool " + position->pool.str());
    }
    host_state host;
    host.description = listed;
    host.pool = listed.pool;
    host.bootId = change.bootId;
    m_hostDigest += internal::digestOf(host);
    m_hosts.insert(position, std::move(host));
    return accepted();
}

// A serving host can't be removed directly: it must drain or be marked down first, so that the budget of its pool is
// checked.
auto fleet_state::removeHost(host_state &host) -> applied
{
    if (host.serves()) {
        return wrongPhase(host);
    }
    m_hostDigest -= internal::digestOf(host);
    m_hosts.erase(m_hosts.begin() + (&host - m_hosts.data()));
    return accepted();
}

auto fleet_state::changeHost(log_offset offset, const host_record &change, host_state &host) -> applied
{
    switch (change.event) {
    case host_event::leave:
        return startMove(change, host);
    case host_event::join:
        return finishMove(offset, change, host);
    case host_event::drain_start:
        return startDrain(change, host);
    case host_event::returned:
        return finishMaintenance(offset, change, host);
    case host_event::up:
        return markUp(change, host);
    case host_event::drained:
    case host_event::drain_cancel:
    case host_event::reboot_start:
    case host_event::down:
        return setPhase(change, host);
    case host_event::add:
    case host_event::remove:
        break;
    }
    return refused(error_kind::invalid_request, "no such event");
}

auto fleet_state::startMove(const host_record &change, host_state &host) -> applied
{
    if (!host.serves()) {
        return wrongPhase(host);
    }
    const auto *target = findPool(change.pool);
    if (target == nullptr || change.pool == host.pool) {
        return refused(error_kind::unknown_pool, "no other pool " + change.pool.str());
    }
    if (auto problem = checkLendingLimits(host, *target)) {
        return refused(std::move(*problem));
    }
    if (auto problem = checkBudget(host)) {
        return refused(std::move(*problem));
    }
    auto next = host;
    next.phase = host_phase::moving_out;
    next.movingTo = change.pool;
    replaceHost(host, std::move(next));
    requireBudget(host.pool);
    return accepted();
}

auto fleet_state::finishMove(log_offset offset, const host_record &change, host_state &host) -> applied
{
    if (host.phase != host_phase::drained || host.down || change.pool != host.movingTo) {
        return wrongPhase(host);
    }
    if (findPool(change.pool) == nullptr) {
        return refused(error_kind::unknown_pool, "no pool " + change.pool.str());
    }
    auto next = host;
    next.pool = change.pool;
    next.generation = offset;
    next.phase = host_phase::serving;
    next.movingTo = {};
    replaceHost(host, std::move(next));
    return accepted();
}

auto fleet_state::startDrain(const host_record &change, host_state &host) -> applied
{
    if (!host.serves()) {
        return wrongPhase(host);
    }
    if (auto problem = checkMaintenance(change, host)) {
        return refused(std::move(*problem));
    }
    if (auto problem = checkBudget(host)) {
        return refused(std::move(*problem));
    }
    auto next = host;
    next.phase = host_phase::draining;
    next.wave = change.wave;
    replaceHost(host, std::move(next));
    requireBudget(host.pool);
    return accepted();
}

auto fleet_state::finishMaintenance(log_offset offset, const host_record &change, host_state &host) -> applied
{
    if (host.phase != host_phase::rebooting) {
        return wrongPhase(host);
    }
    if (change.bootId != 0 && change.bootId == host.bootId) {
        return refused(error_kind::invalid_request, hostNameOf(host).str() + " has not rebooted");
    }
    auto next = host;
    next.phase = host_phase::serving;
    next.down = false;
    next.maintainedAt = offset;
    next.bootId = change.bootId;
    replaceHost(host, std::move(next));
    return accepted();
}

auto fleet_state::markUp(const host_record &change, host_state &host) -> applied
{
    if (!host.down) {
        return wrongPhase(host);
    }
    auto next = host;
    next.down = false;
    if (change.bootId != 0 && host.phase != host_phase::rebooting) {
        next.bootId = change.bootId;
    }
    replaceHost(host, std::move(next));
    return accepted();
}

auto fleet_state::setPhase(const host_record &change, host_state &host) -> applied
{
    auto next = host;
    switch (change.event) {
    case host_event::drained:
        if (host.phase != host_phase::moving_out) {
            return wrongPhase(host);
        }
        next.phase = host_phase::drained;
        break;
    case host_event::drain_cancel:
        if (host.phase == host_phase::serving || host.phase == host_phase::rebooting) {
            return wrongPhase(host);
        }
        next.phase = host_phase::serving;
        next.movingTo = {};
        break;
    case host_event::reboot_start:
        if (host.phase != host_phase::draining) {
            return wrongPhase(host);
        }
        next.phase = host_phase::rebooting;
        next.bootId = change.bootId;
        break;
    default:
        if (host.down) {
            return wrongPhase(host);
        }
        next.down = true;
        break;
    }
    replaceHost(host, std::move(next));
    return accepted();
}

auto fleet_state::checkMaintenance(const host_record &change, const host_state &host) const
    -> std::optional<core::error>
{
    // A host that the platform withdraws drains without a wave.
    if (change.wave.empty()) {
        return std::nullopt;
    }
    const auto wave = std::ranges::find(m_waves, change.wave, &wave_state::name);
    if (wave == m_waves.end() || wave->finished || wave->paused) {
        return core::error{error_kind::invalid_request, "wave " + change.wave.str() + " starts no drains", {}};
    }
    if (!wave->pools.empty() && std::ranges::find(wave->pools, host.pool) == wave->pools.end()) {
        return core::error{error_kind::invalid_request, "the wave leaves out pool " + host.pool.str(), {}};
    }
    if (host.maintainedAt > wave->startedAt) {
        return core::error{error_kind::invalid_request, hostNameOf(host).str() + " is done", {}};
    }
    return std::nullopt;
}

// A pool that is not in the configuration has no required slots, so its hosts may always be taken out.
auto fleet_state::checkBudget(const host_state &host) const -> std::optional<core::error>
{
    const auto *pool = findPool(host.pool);
    if (pool == nullptr) {
        return std::nullopt;
    }
    const auto *profile = findProfile(pool->profile);
    assert(profile != nullptr);
    const pool_budget budget{*pool, *profile, m_hosts};
    const auto limit = budget.limitForPlannedOutage(host);
    if (limit == budget_limit::none) {
        return std::nullopt;
    }
    const auto &view = budget.view();
    return core::error{error_kind::budget_exceeded,
                       "pool=" + pool->name.str() + " limit=" + replication::nameOf(limit)
                           + " serving_slots=" + std::to_string(view.servingSlots)
                           + " worst_loss_slots=" + std::to_string(view.worstLossSlots) + " required_slots="
                           + std::to_string(view.requiredSlots) + " planned_out=" + std::to_string(view.plannedOut)
                           + " lost_domains=" + std::to_string(view.lostDomains),
                       {}};
}

auto fleet_state::checkLendingLimits(const host_state &host, const config::pool &target) const
    -> std::optional<core::error>
{
    if (target.name == host.description.pool) {
        return std::nullopt;
    }
    int lent = 0;
    int borrowed = 0;
    for (const auto &other : m_hosts) {
        const bool isOutside = isLent(other) || isBeingLent(other);
        if (&other == &host || !isOutside) {
            continue;
        }
        const auto &targetPool = other.movingTo.empty() ? other.pool : other.movingTo;
        lent += other.description.pool == host.description.pool ? 1 : 0;
        borrowed += targetPool == target.name ? 1 : 0;
    }
    const auto *originPool = findPool(host.description.pool);
    const auto *lender = originPool == nullptr ? nullptr : findProfile(originPool->profile);
    if (lender != nullptr && lent >= lender->maxLent) {
        return core::error{error_kind::budget_exceeded, originPool->name.str() + " lends " + std::to_string(lent), {}};
    }
    const auto *borrower = findProfile(target.profile);
    assert(borrower != nullptr);
    if (borrowed >= borrower->maxBorrowed) {
        return core::error{error_kind::budget_exceeded, target.name.str() + " borrows " + std::to_string(borrowed), {}};
    }
    return std::nullopt;
}

auto fleet_state::replaceHost(host_state &host, host_state next) -> void
{
    m_hostDigest -= internal::digestOf(host);
    host = std::move(next);
    m_hostDigest += internal::digestOf(host);
}

auto fleet_state::requireBudget(const core::pool_id &pool) const -> void
{
    const auto *declared = findPool(pool);
    if (declared == nullptr) {
        return;
    }
    const auto view = evaluateBudget(*declared, *findProfile(declared->profile), m_hosts);
    core::requireInvariant(view.spareSlots() >= 0, core::invariant_kind::availability_budget, [&] {
        return "pool " + pool.str() + " lacks " + std::to_string(-view.spareSlots())
            + " slots required after the worst permitted loss";
    });
}
} // namespace poplarpass::replication
