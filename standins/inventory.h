#pragma once

#include <poplarpass/platform/host_list.h>

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace standins
{
/// \brief One worker as the inventory describes it.
struct inventory_host
{
    poplarpass::platform::listed_host listed; ///< What the host list shows of it; the address may be empty.
    std::string pool; ///< Pool that it serves at start, as generation 0.
};

/// \brief Reads a JSON or TOML inventory: a list `host` of objects, or in JSON the list alone.
/// \throws std::runtime_error when it cannot be read
auto loadInventory(const std::string &path) -> std::vector<inventory_host>;

/// \brief Makes \p count hosts of 16 cores and 32 GB, spread evenly over \p pools, in racks of 4 over 3 zones.
auto generateInventory(int count, std::span<const std::string> pools) -> std::vector<inventory_host>;

/// \brief Host as the host list and the inventory write it.
auto encodeHost(const poplarpass::platform::listed_host &host) -> nlohmann::json;

/// \brief Reads what encodeHost() wrote; members that are missing keep their defaults.
/// \throws nlohmann::json::exception when a member is of another type
auto decodeHost(const nlohmann::json &document) -> poplarpass::platform::listed_host;
} // namespace standins
