#include <poplarpass/config/config_diff.h>
#include <poplarpass/config/text_of_name.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace poplarpass::config
{
namespace
{
struct field_value
{
    std::string field;
    std::string value;
};

using field_list = std::vector<field_value>;
using item_map = std::map<std::string, field_list>;

auto textOfNumber(double value) -> std::string
{
    std::array<char, 32> buffer{};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), written.ptr};
}

auto textOfBool(bool value) -> std::string
{
    return value ? "true" : "false";
}

auto textOfWindow(const calendar_window &window) -> std::string
{
    return "days=" + std::to_string(window.weekdays) + " start=" + std::to_string(window.startMinute)
        + " length=" + std::to_string(window.lengthMinutes);
}

auto fieldsOf(const calendar &calendar) -> field_list
{
    std::string windows;
    for (const auto &window : calendar.windows) {
        windows += (windows.empty() ? "" : ", ") + textOfWindow(window);
    }
    return {{"utc_offset_minutes", std::to_string(calendar.utcOffsetMinutes)}, {"windows", windows}};
}

auto fieldsOf(const profile &profile) -> field_list
{
    return {{"headroom", textOfNumber(profile.headroom)},
            {"loss_domain", std::string{nameOf(profile.lossDomain)}},
            {"max_lost", std::to_string(profile.maxLost)},
            {"max_out", std::to_string(profile.maxOut)},
            {"calendar", profile.calendar},
            {"max_lent", std::to_string(profile.maxLent)},
            {"max_borrowed", std::to_string(profile.maxBorrowed)}};
}

auto fieldsOf(const pool &pool) -> field_list
{
    return {{"profile", pool.profile.str()},
            {"demand_slots", std::to_string(pool.demandSlots)},
            {"spare", textOfBool(pool.spare)}};
}

auto fieldsOf(const service &service) -> field_list
{
    return {{"pool", service.pool.str()}, {"profile", service.profile.str()}};
}

auto fieldsOf(const team &team) -> field_list
{
    return {{"quota_slots", std::to_string(team.quotaSlots)}, {"weight", textOfNumber(team.weight)}};
}

auto fieldsOf(const planning_weights &weights) -> field_list
{
    return {{"buffer_cost", textOfNumber(weights.bufferCost)}, {"moves", textOfNumber(weights.moves)}};
}

template <class item>
auto itemsOf(const std::vector<item> &items) -> item_map
{
    item_map result;
    for (const auto &each : items) {
        result.emplace(internal::textOfName(each.name), fieldsOf(each));
    }
    return result;
}

auto changedFields(const field_list &before, const field_list &after) -> std::vector<field_change>
{
    std::vector<field_change> changes;
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (before[index].value != after[index].value) {
            changes.push_back({before[index].field, before[index].value, after[index].value});
        }
    }
    return changes;
}

auto allFields(const field_list &fields, change_kind kind) -> std::vector<field_change>
{
    std::vector<field_change> changes;
    for (const auto &field : fields) {
        const bool added = kind == change_kind::added;
        changes.push_back({field.field, added ? "" : field.value, added ? field.value : ""});
    }
    return changes;
}

auto addDiff(std::vector<item_change> &changes, item_kind kind, const item_map &before, const item_map &after) -> void
{
    for (const auto &[name, fields] : before) {
        const auto counterpart = after.find(name);
        if (counterpart == after.end()) {
            changes.push_back({kind, name, change_kind::removed, allFields(fields, change_kind::removed)});
            continue;
        }
        auto differences = changedFields(fields, counterpart->second);
        if (!differences.empty()) {
            changes.push_back({kind, name, change_kind::changed, std::move(differences)});
        }
    }
    for (const auto &[name, fields] : after) {
        if (!before.contains(name)) {
            changes.push_back({kind, name, change_kind::added, allFields(fields, change_kind::added)});
        }
    }
}

auto signOf(change_kind kind) -> std::string_view
{
    switch (kind) {
    case change_kind::added:
        return "+";
    case change_kind::removed:
        return "-";
    case change_kind::changed:
        break;
    }
    return "~";
}

auto textOfField(const field_change &field, change_kind kind) -> std::string
{
    switch (kind) {
    case change_kind::added:
        return field.field + " " + field.after;
    case change_kind::removed:
        return field.field + " " + field.before;
    case change_kind::changed:
        break;
    }
    return field.field + " " + field.before + " -> " + field.after;
}
} // namespace

auto diffOf(const fleet_config &before, const fleet_config &after) -> std::vector<item_change>
{
    std::vector<item_change> changes;
    addDiff(changes, item_kind::calendar, itemsOf(before.calendars), itemsOf(after.calendars));
    addDiff(changes, item_kind::profile, itemsOf(before.profiles), itemsOf(after.profiles));
    addDiff(changes, item_kind::pool, itemsOf(before.pools), itemsOf(after.pools));
    addDiff(changes, item_kind::service, itemsOf(before.services), itemsOf(after.services));
    addDiff(changes, item_kind::team, itemsOf(before.teams), itemsOf(after.teams));
    addDiff(changes, item_kind::weights, {{"", fieldsOf(before.weights)}}, {{"", fieldsOf(after.weights)}});
    return changes;
}

auto textOf(std::span<const item_change> changes) -> std::string
{
    std::string text;
    for (const auto &change : changes) {
        text += std::string{signOf(change.change)} + " " + std::string{nameOf(change.item)};
        text += change.name.empty() ? ":" : " " + change.name + ":";
        for (std::size_t index = 0; index < change.fields.size(); ++index) {
            text += (index == 0 ? " " : ", ") + textOfField(change.fields[index], change.change);
        }
        text += "\n";
    }
    return text;
}

auto nameOf(item_kind kind) -> std::string_view
{
    static constexpr std::array<std::string_view, 6> names{"calendar", "profile", "pool", "service", "team", "weights"};
    return names[static_cast<std::size_t>(kind)];
}

auto nameOf(loss_domain domain) -> std::string_view
{
    static constexpr std::array<std::string_view, 3> names{"host", "rack", "zone"};
    return names[static_cast<std::size_t>(domain)];
}
} // namespace poplarpass::config
