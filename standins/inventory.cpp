#include "inventory.h"

#include "json_http.h"

#include <poplarpass/settings/toml_document.h>

#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace standins
{
using nlohmann::json;
using poplarpass::platform::listed_host;
namespace core = poplarpass::core;

namespace
{
constexpr int hostsPerRack = 4;
constexpr int zoneCount = 3;
constexpr int defaultSlots = 8;
constexpr int defaultConnections = 64;
constexpr int defaultCores = 16;
constexpr int defaultMemoryMb = 32 * 1024;

template <class id_type>
auto readId(const json &document, std::string_view name, id_type &target) -> void
{
    std::string text = target.str();
    readMember(document, name, text);
    target = id_type{std::move(text)};
}

auto readFile(const std::string &path) -> std::string
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        throw std::runtime_error{"cannot read " + path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto tomlToJson(const std::string &text, const std::string &path) -> json
{
    const auto table = poplarpass::settings::internal::parseToml(text, path);
    if (!table) {
        const auto &problem = table.error();
        throw std::runtime_error{path + ":" + std::to_string(problem.line) + ": " + problem.description};
    }
    std::ostringstream converted;
    converted << toml::json_formatter{*table};
    return json::parse(converted.str());
}

auto decodeInventoryHost(const json &document) -> inventory_host
{
    inventory_host host{decodeHost(document), {}};
    readMember(document, "pool", host.pool);
    host.listed.pool = poplarpass::core::pool_id{host.pool};
    return host;
}
} // namespace

auto decodeHost(const json &document) -> listed_host
{
    listed_host host;
    host.slots = defaultSlots;
    host.connections = defaultConnections;
    host.cores = defaultCores;
    host.memoryMb = defaultMemoryMb;
    readId(document, "host", host.host);
    readId(document, "region", host.region);
    readId(document, "zone", host.zone);
    readId(document, "rack", host.rack);
    readId(document, "pool", host.pool);
    readMember(document, "address", host.address);
    readMember(document, "slots", host.slots);
    readMember(document, "connections", host.connections);
    readMember(document, "cores", host.cores);
    readMember(document, "memory_mb", host.memoryMb);
    readMember(document, "accelerators", host.accelerators);
    readMember(document, "leaving", host.leaving);
    return host;
}

auto encodeHost(const listed_host &host) -> json
{
    return {{"host", host.host.str()},           {"address", host.address}, {"region", host.region.str()},
            {"zone", host.zone.str()},           {"rack", host.rack.str()}, {"slots", host.slots},
            {"connections", host.connections},   {"cores", host.cores},     {"memory_mb", host.memoryMb},
            {"accelerators", host.accelerators}, {"leaving", host.leaving}, {"pool", host.pool.str()}};
}

auto loadInventory(const std::string &path) -> std::vector<inventory_host>
{
    const auto text = readFile(path);
    const auto document = path.ends_with(".toml") ? tomlToJson(text, path) : json::parse(text);
    std::vector<inventory_host> hosts;
    for (const auto &item : document.is_array() ? document : document.at("host")) {
        hosts.push_back(decodeInventoryHost(item));
    }
    return hosts;
}

// Racks are not shared between pools; the racks of a pool are assigned to the zones in turn.
auto generateInventory(int count, std::span<const std::string> pools) -> std::vector<inventory_host>
{
    std::vector<inventory_host> hosts;
    const auto poolCount = static_cast<int>(pools.size());
    for (int index = 0; index < count; ++index) {
        const int poolIndex = index % poolCount;
        const int rackOfPool = index / poolCount / hostsPerRack;
        const auto zone = "zone-" + std::to_string((rackOfPool + poolIndex) % zoneCount + 1);
        inventory_host host{decodeHost(json::object()), pools[static_cast<std::size_t>(poolIndex)]};
        host.listed.pool = poplarpass::core::pool_id{host.pool};
        host.listed.host = core::host_id{"worker-" + std::to_string(index + 1)};
        host.listed.region = core::region_id{"region-1"};
        host.listed.zone = core::zone_id{zone};
        host.listed.rack = core::rack_id{zone + "-" + host.pool + "-" + std::to_string(rackOfPool + 1)};
        hosts.push_back(std::move(host));
    }
    return hosts;
}
} // namespace standins
