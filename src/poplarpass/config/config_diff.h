#pragma once

#include <poplarpass/config/fleet_config.h>

#include <span>
#include <string>
#include <vector>

namespace poplarpass::config
{
/// \brief Kind of an item of the configuration.
enum class item_kind {
    calendar,
    profile,
    pool,
    service,
    team,
    weights,
};

/// \brief How one field differs between two revisions.
struct field_change
{
    std::string field; ///< Key of the field in the configuration text.
    std::string before; ///< Previous value; empty for an added item.
    std::string after; ///< New value; empty for a removed item.

    auto operator==(const field_change &) const -> bool = default;
};

/// \brief Kind of change to an item.
enum class change_kind {
    added,
    removed,
    changed,
};

/// \brief How one item differs between two revisions.
struct item_change
{
    item_kind item = item_kind::pool; ///< Kind of the item.
    std::string name; ///< Name of the item; empty for weights.
    change_kind change = change_kind::changed; ///< Kind of change.
    std::vector<field_change> fields; ///< Fields that differ; for an added or removed item, all of them.

    auto operator==(const item_change &) const -> bool = default;
};

/// \brief Returns the differences from \p before to \p after, by kind of item and name.
auto diffOf(const fleet_config &before, const fleet_config &after) -> std::vector<item_change>;

/// \brief Formats one line per difference, such as "~ pool quotes: demand_slots 20 -> 24".
auto textOf(std::span<const item_change> changes) -> std::string;

/// \brief Returns the wire name of \p kind.
auto nameOf(item_kind kind) -> std::string_view;

/// \brief Returns the wire name of \p domain.
auto nameOf(loss_domain domain) -> std::string_view;
} // namespace poplarpass::config
