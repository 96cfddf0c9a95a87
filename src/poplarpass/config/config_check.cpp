#include <poplarpass/config/calendar.h>
#include <poplarpass/config/config_check.h>
#include <poplarpass/config/text_of_name.h>
#include <poplarpass/replication/budget.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace poplarpass::config
{
namespace
{
constexpr int maxUtcOffsetMinutes = 14 * 60;
constexpr double maxHeadroom = 100.0;
constexpr int maxCount = 1'000'000;

using problem_list = std::vector<config_problem>;

auto add(problem_list &problems, problem_kind kind, std::string item, std::string detail) -> void
{
    problems.push_back({kind, std::move(item), std::move(detail)});
}

template <class item>
auto checkNames(problem_list &problems, std::string_view kind, const std::vector<item> &items) -> void
{
    std::set<std::string_view> names;
    for (const auto &each : items) {
        const auto &name = internal::textOfName(each.name);
        if (name.empty()) {
            add(problems, problem_kind::out_of_range, std::string{kind}, "a name is empty");
        } else if (!names.insert(name).second) {
            add(problems, problem_kind::duplicate_name, std::string{kind} + " " + name, "stands twice");
        }
    }
}

template <class item, class name_type>
auto findNamed(const std::vector<item> &items, const name_type &name) -> const item *
{
    const auto found = std::ranges::find(items, name, &item::name);
    return found == items.end() ? nullptr : &*found;
}

auto checkRange(problem_list &problems, const std::string &item, std::string_view field, int value, int minValue,
                int maxValue) -> void
{
    if (value < minValue || value > maxValue) {
        add(problems, problem_kind::out_of_range, item,
            std::string{field} + "=" + std::to_string(value) + ", permitted " + std::to_string(minValue) + " to "
                + std::to_string(maxValue));
    }
}

auto checkWeight(problem_list &problems, const std::string &item, std::string_view field, double value) -> void
{
    if (!std::isfinite(value) || value < 0.0) {
        add(problems, problem_kind::out_of_range, item,
            std::string{field} + "=" + std::to_string(value) + ", permitted 0 and above");
    }
}

auto checkCalendar(problem_list &problems, const calendar &calendar) -> void
{
    const auto item = "calendar " + calendar.name;
    checkRange(problems, item, "utc_offset_minutes", calendar.utcOffsetMinutes, -maxUtcOffsetMinutes,
               maxUtcOffsetMinutes);
    for (const auto &window : calendar.windows) {
        checkRange(problems, item, "weekdays", window.weekdays, 1, 127);
        checkRange(problems, item, "start_minute", window.startMinute, 0, minutesPerDay - 1);
        checkRange(problems, item, "length_minutes", window.lengthMinutes, 1, minutesPerWeek);
    }
}

auto checkProfile(problem_list &problems, const fleet_config &config, const profile &profile) -> void
{
    const auto item = "profile " + profile.name.str();
    checkWeight(problems, item, "headroom", profile.headroom);
    if (profile.headroom > maxHeadroom) {
        add(problems, problem_kind::out_of_range, item, "headroom is above " + std::to_string(maxHeadroom));
    }
    checkRange(problems, item, "max_lost", profile.maxLost, 0, maxCount);
    checkRange(problems, item, "max_out", profile.maxOut, 0, maxCount);
    checkRange(problems, item, "max_lent", profile.maxLent, 0, maxCount);
    checkRange(problems, item, "max_borrowed", profile.maxBorrowed, 0, maxCount);
    if (findNamed(config.calendars, profile.calendar) == nullptr) {
        add(problems, problem_kind::unknown_reference, item, "no calendar \"" + profile.calendar + "\"");
    }
}

auto checkPool(problem_list &problems, const fleet_config &config, const pool &pool) -> void
{
    const auto item = "pool " + pool.name.str();
    checkRange(problems, item, "demand_slots", pool.demandSlots, 0, maxCount);
    if (findNamed(config.profiles, pool.profile) == nullptr) {
        add(problems, problem_kind::unknown_reference, item, "no profile \"" + pool.profile.str() + "\"");
    }
}

auto checkService(problem_list &problems, const fleet_config &config, const service &service) -> void
{
    const auto item = "service " + service.name.str();
    const auto *selectedProfile = findNamed(config.profiles, service.profile);
    if (selectedProfile == nullptr) {
        add(problems, problem_kind::unknown_reference, item, "no profile \"" + service.profile.str() + "\"");
    }
    const auto *pool = findNamed(config.pools, service.pool);
    if (pool == nullptr) {
        add(problems, problem_kind::unknown_reference, item, "no pool \"" + service.pool.str() + "\"");
        return;
    }
    const auto *poolProfile = findNamed(config.profiles, pool->profile);
    if (selectedProfile != nullptr && poolProfile != nullptr && !guaranteesAtLeast(*poolProfile, *selectedProfile)) {
        add(problems, problem_kind::weaker_pool, item,
            "picked profile " + selectedProfile->name.str() + ", but pool " + pool->name.str() + " keeps "
                + poolProfile->name.str());
    }
}

auto checkTeam(problem_list &problems, const team &team) -> void
{
    const auto item = "team " + team.name.str();
    checkRange(problems, item, "quota_slots", team.quotaSlots, 0, maxCount);
    checkWeight(problems, item, "weight", team.weight);
}

auto budgetOf(const fleet_config &config, const core::pool_id &name, std::span<const replication::host_state> hosts)
    -> std::optional<replication::budget_view>
{
    const auto *pool = findNamed(config.pools, name);
    const auto *profile = pool == nullptr ? nullptr : findNamed(config.profiles, pool->profile);
    if (profile == nullptr) {
        return std::nullopt;
    }
    return replication::evaluateBudget(*pool, *profile, hosts);
}

auto checkGuarantee(problem_list &problems, const pool &pool, const fleet_config &next, const fleet_config &previous,
                    std::span<const replication::host_state> hosts) -> void
{
    const auto after = budgetOf(next, pool.name, hosts);
    const auto before = budgetOf(previous, pool.name, hosts);
    const auto minSpare = before ? std::min(0, before->spareSlots()) : 0;
    if (after->spareSlots() >= minSpare) {
        return;
    }
    add(problems, problem_kind::promise_not_kept, "pool " + pool.name.str(),
        "profile " + pool.profile.str() + " needs required_slots=" + std::to_string(after->requiredSlots)
            + " after worst_loss_slots=" + std::to_string(after->worstLossSlots) + ", serving_slots="
            + std::to_string(after->servingSlots) + ", short_slots=" + std::to_string(-after->spareSlots()));
}

// Checks only pools that the previous revision declares, as hosts may be listed in a pool before it is declared.
auto checkPoolsInUse(problem_list &problems, const fleet_config &next, const fleet_config &previous,
                     std::span<const replication::host_state> hosts) -> void
{
    for (const auto &pool : previous.pools) {
        const auto uses = std::ranges::count_if(hosts, [&pool](const replication::host_state &host) {
            return host.pool == pool.name || host.movingTo == pool.name;
        });
        if (uses > 0 && findNamed(next.pools, pool.name) == nullptr) {
            add(problems, problem_kind::pool_in_use, "pool " + pool.name.str(), std::to_string(uses) + " hosts use it");
        }
    }
}
} // namespace

auto checkConfig(const fleet_config &config) -> std::vector<config_problem>
{
    problem_list problems;
    checkNames(problems, "calendar", config.calendars);
    checkNames(problems, "profile", config.profiles);
    checkNames(problems, "pool", config.pools);
    checkNames(problems, "service", config.services);
    checkNames(problems, "team", config.teams);
    for (const auto &calendar : config.calendars) {
        checkCalendar(problems, calendar);
    }
    for (const auto &profile : config.profiles) {
        checkProfile(problems, config, profile);
    }
    for (const auto &pool : config.pools) {
        checkPool(problems, config, pool);
    }
    for (const auto &service : config.services) {
        checkService(problems, config, service);
    }
    for (const auto &team : config.teams) {
        checkTeam(problems, team);
    }
    checkWeight(problems, "weights", "buffer_cost", config.weights.bufferCost);
    checkWeight(problems, "weights", "moves", config.weights.moves);
    return problems;
}

auto checkRevision(const fleet_config &next, const fleet_config &previous,
                   std::span<const replication::host_state> hosts) -> std::vector<config_problem>
{
    auto problems = checkConfig(next);
    if (!problems.empty()) {
        return problems;
    }
    checkPoolsInUse(problems, next, previous, hosts);
    if (hosts.empty()) {
        return problems;
    }
    for (const auto &pool : next.pools) {
        checkGuarantee(problems, pool, next, previous, hosts);
    }
    return problems;
}

auto guaranteesAtLeast(const profile &stronger, const profile &weaker) -> bool
{
    const bool sameDomain = stronger.lossDomain == weaker.lossDomain;
    const bool hasWiderDomain = stronger.lossDomain > weaker.lossDomain && stronger.maxLost >= 1;
    const bool toleratesAsMuch = weaker.maxLost == 0 || (sameDomain && stronger.maxLost >= weaker.maxLost)
        || (hasWiderDomain && stronger.maxLost >= weaker.maxLost);
    return stronger.headroom >= weaker.headroom && toleratesAsMuch;
}

auto nameOf(problem_kind kind) -> std::string_view
{
    switch (kind) {
    case problem_kind::duplicate_name:
        return "duplicate_name";
    case problem_kind::unknown_reference:
        return "unknown_reference";
    case problem_kind::out_of_range:
        return "out_of_range";
    case problem_kind::weaker_pool:
        return "weaker_pool";
    case problem_kind::pool_in_use:
        return "pool_in_use";
    case problem_kind::promise_not_kept:
        return "promise_not_kept";
    }
    return "unknown";
}

auto textOf(std::span<const config_problem> problems) -> std::string
{
    std::string text;
    for (const auto &problem : problems) {
        text += text.empty() ? "" : "; ";
        text += std::string{nameOf(problem.kind)} + " " + problem.item + ": " + problem.detail;
    }
    return text;
}
} // namespace poplarpass::config
