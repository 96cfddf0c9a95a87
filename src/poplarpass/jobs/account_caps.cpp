#include <poplarpass/jobs/account_caps.h>
#include <poplarpass/jobs/constants.h>

#include <algorithm>
#include <cstddef>
#include <limits>

namespace poplarpass::jobs
{
namespace
{
struct resource_field
{
    std::string_view name;
    std::int64_t resources::*value;
    bool account_caps::scarcity::*flag;
};

using scarcity = account_caps::scarcity;

constexpr std::array<resource_field, 3> fields{resource_field{"cpu", &resources::cpu, &scarcity::cpu},
                                               resource_field{"memory", &resources::memoryMb, &scarcity::memory},
                                               resource_field{"gpu", &resources::gpu, &scarcity::gpu}};

/// \brief Room of an unlimited resource; small enough that sums of a few do not overflow.
constexpr auto unlimitedRoom = std::numeric_limits<std::int64_t>::max() / 4;

constexpr resources unlimitedNeed{unlimitedRoom, unlimitedRoom, unlimitedRoom};

auto smallerOf(const resources &one, const resources &other) -> resources
{
    return {std::min(one.cpu, other.cpu), std::min(one.memoryMb, other.memoryMb), std::min(one.gpu, other.gpu)};
}

} // namespace

auto resourcesToStart(const step_spec &step) -> resources
{
    auto need = step.perTask;
    if (step.gang) {
        need.cpu *= step.taskCount;
        need.memoryMb *= step.taskCount;
        need.gpu *= step.taskCount;
    }
    return need;
}

auto isLimited(const resources &cap) -> bool
{
    return cap != resources{};
}

auto exceedsCap(const resources &cap, const resources &need) -> bool
{
    return !roomUnder(cap, {}).holds(need);
}

auto roomUnder(const resources &cap, const resources &used) -> resources
{
    resources room;
    for (const auto &field : fields) {
        room.*field.value = cap.*field.value == 0 ? unlimitedRoom : cap.*field.value - used.*field.value;
    }
    return room;
}

auto account_caps::update(std::span<const account_limits> configured) -> bool
{
    bool added = false;
    for (const auto &limits : configured) {
        const auto [entry, isNew] = m_accounts.try_emplace(limits.name);
        entry->second.limits = limits;
        added = added || isNew;
    }
    return added;
}

auto account_caps::clear() -> void
{
    m_tracked.clear();
    m_accounts.clear();
}

auto account_caps::setConfirmed(bool confirmed) -> void
{
    m_confirmed = confirmed;
}

auto account_caps::find(const account_id &id) -> account *
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : &found->second;
}

auto account_caps::find(const account_id &id) const -> const account *
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : &found->second;
}

auto account_caps::beginPlan(core::monotonic_time now) -> void
{
    m_now = now;
    ++m_plan;
}

auto account_caps::beginPool() -> void
{
    ++m_pass;
}

auto account_caps::beginPass(account &entry) const -> void
{
    if (entry.pass != m_pass) {
        entry.pass = m_pass;
        entry.scarce = {};
        entry.leastNeed = unlimitedNeed;
        entry.isExhausted.reset();
    }
}

auto account_caps::mayOvertake(const account &entry, const resources &used) const -> bool
{
    const bool isLong =
        std::ranges::any_of(entry.held, [this](const auto &held) { return m_now - held.second.since > maxCapHold; });
    return isLong && std::ranges::all_of(fields, [&](const resource_field &field) {
               const auto cap = entry.limits.cap.*field.value;
               return cap == 0 || 2 * (used.*field.value) < cap;
           });
}

// Pools that began to wait earlier come first.
auto account_caps::roomInPool(const account &entry, const core::pool_id &pool, const resources &used) const -> resources
{
    auto room = roomUnder(entry.limits.cap, used);
    if (entry.held.empty() || mayOvertake(entry, used)) {
        return room;
    }
    const auto own = entry.held.find(pool);
    for (const auto &[other, start] : entry.held) {
        if (other != pool && (own == entry.held.end() || start.position < own->second.position)) {
            room -= start.need;
        }
    }
    return room;
}

auto account_caps::addCandidate(account &entry, const resources &need) const -> void
{
    beginPass(entry);
    entry.leastNeed = smallerOf(entry.leastNeed, need);
}

// During a flood, most jobs of an account wait for its cap. They are left out together, at the cost of one test each.
auto account_caps::isExhausted(account &entry, const core::pool_id &pool, const account_usage &usage) -> bool
{
    beginPass(entry);
    if (!entry.isExhausted) {
        entry.isExhausted = isLimited(entry.limits.cap)
            && (!m_confirmed || exceedsCap(entry.limits.cap, entry.leastNeed)
                || isHeld(entry, pool, entry.leastNeed, usage.usageOf(entry.limits.name)));
    }
    return *entry.isExhausted;
}

// A task that exceeds the cap by itself, because the cap was lowered after its submission, never fits: it holds back no
// other task.
auto account_caps::permits(account &entry, const core::pool_id &pool, const resources &need, const resources &used)
    -> bool
{
    if (!isLimited(entry.limits.cap)) {
        return true;
    }
    if (!m_confirmed || exceedsCap(entry.limits.cap, need)) {
        return false;
    }
    beginPass(entry);
    const bool waitsForEarlier = std::ranges::any_of(
        fields, [&](const auto &field) { return need.*field.value > 0 && entry.scarce.*field.flag; });
    if (waitsForEarlier && !mayOvertake(entry, used)) {
        return false;
    }
    return !isHeld(entry, pool, need, used);
}

auto account_caps::isHeldBack(const account &entry, const core::pool_id &pool, const resources &need,
                              const resources &used) const -> bool
{
    return isLimited(entry.limits.cap)
        && (!m_confirmed || entry.held.contains(pool) || !roomUnder(entry.limits.cap, used).holds(need));
}

auto account_caps::isHeld(account &entry, const core::pool_id &pool, const resources &need, const resources &used)
    -> bool
{
    const auto room = roomUnder(entry.limits.cap, used);
    const auto inPool = roomInPool(entry, pool, used);
    const resource_field *lacking = nullptr;
    for (const auto &field : fields) {
        const auto value = need.*field.value;
        if (value > room.*field.value || (value > 0 && value > inPool.*field.value)) {
            entry.scarce.*field.flag = true;
            lacking = lacking == nullptr ? &field : lacking;
        }
    }
    if (lacking != nullptr) {
        hold(entry, pool, need, lacking->name);
    }
    return lacking != nullptr;
}

auto account_caps::hold(account &entry, const core::pool_id &pool, const resources &need, std::string_view resource)
    -> void
{
    const auto [held, isNew] = entry.held.try_emplace(pool);
    if (isNew) {
        held->second.position = ++m_positions;
        held->second.since = m_now;
    }
    // Of several tasks of a pool that lack different resources, the first one in the order counts.
    if (held->second.plan != m_plan) {
        held->second.plan = m_plan;
        held->second.need = need;
    }
    entry.atCapNeed = need;
    if (!entry.atCapSince) {
        entry.atCapResource = resource;
    }
    if (!entry.isTracked) {
        entry.isTracked = true;
        m_tracked.push_back(&entry);
    }
}

// A start that was held back in this plan still waits: the one placed overtook it, or needs other resources.
auto account_caps::onStart(account &entry, const core::pool_id &pool) const -> void
{
    const auto held = entry.held.find(pool);
    if (held != entry.held.end() && held->second.plan != m_plan) {
        entry.held.erase(held);
    }
}

auto account_caps::mayRestart(const account &entry, const resources &used) const -> bool
{
    return !isLimited(entry.limits.cap) || (m_confirmed && roomUnder(entry.limits.cap, used).holds({}));
}

auto account_caps::endPlan(const account_usage &usage, const change_observer &onChange) -> void
{
    for (auto *entry : m_tracked) {
        // A pool that is full, or has no more tasks of the account, does not keep room for them.
        std::erase_if(entry->held, [this](const auto &held) { return held.second.plan != m_plan; });
        const auto &name = entry->limits.name;
        if (!entry->held.empty() && !entry->atCapSince) {
            entry->atCapSince = m_now;
            onChange(name, true, entry->atCapResource);
        } else if (entry->held.empty() && entry->atCapSince
                   && roomUnder(entry->limits.cap, usage.usageOf(name)).holds(entry->atCapNeed)) {
            entry->atCapSince.reset();
            onChange(name, false, entry->atCapResource);
        }
    }
    std::erase_if(m_tracked, [](account *entry) {
        entry->isTracked = !entry->held.empty() || entry->atCapSince;
        return !entry->isTracked;
    });
}
} // namespace poplarpass::jobs
