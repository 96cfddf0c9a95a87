#pragma once

#include <poplarpass/platform/host_list.h>

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace standins
{
/// \brief Inventory entry of one worker.
struct inventory_host
{
    poplarpass::platform::listed_host listed; ///< Entry for the host list; the address may be empty.
    std::string pool; ///< Pool that it initially serves, as generation 0.
};

/// \brief Reads a JSON or TOML inventory: an array `host` of objects, or in JSON just the array.
/// \throws std::runtime_error if the file cannot be read or is not valid TOML
/// \throws nlohmann::json::exception if it is not valid JSON or a member has the wrong type
auto loadInventory(const std::string &path) -> std::vector<inventory_host>;

/// \brief Generates \p count hosts with 16 cores and 32 GB, spread evenly over \p pools, in racks of 4 over 3 zones.
auto generateInventory(int count, std::span<const std::string> pools) -> std::vector<inventory_host>;

/// \brief Encodes a host in the format of the host list and the inventory.
auto encodeHost(const poplarpass::platform::listed_host &host) -> nlohmann::json;

/// \brief Decodes the output of encodeHost(); missing members get their defaults.
/// \throws nlohmann::json::exception if a member has the wrong type
auto decodeHost(const nlohmann::json &document) -> poplarpass::platform::listed_host;
} // namespace standins
