#include "control_world.h"

namespace fakes
{
auto makeHosts(int pools, int perPool, int zones) -> std::vector<platform::listed_host>
{
    std::vector<platform::listed_host> hosts;
    for (int index = 0; index < pools * perPool; ++index) {
        platform::listed_host host;
        const auto number = std::to_string(10000 + index);
        const int rack = index / 4;
        host.host = core::host_id{"w" + number.substr(1)};
        host.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250) + ":7000";
        host.zone = core::zone_id{"z" + std::to_string(rack % zones)};
        host.rack = core::rack_id{"r" + std::to_string(rack)};
        host.pool = core::pool_id{"p" + std::to_string(index % pools)};
        host.slots = 8;
        hosts.push_back(std::move(host));
    }
    return hosts;
}

auto makeConfig(int pools, int demandSlots, config::loss_domain domain, int maxLost, int maxOut) -> config::fleet_config
{
    config::fleet_config result;
    result.calendars = {{"always", 0, {{127, 0, 24 * 60}}}};
    for (int index = 0; index < pools; ++index) {
        const auto number = std::to_string(index);
        config::profile profile;
        profile.name = core::profile_id{"f" + number};
        profile.lossDomain = domain;
        profile.maxLost = maxLost;
        profile.maxOut = maxOut;
        profile.calendar = "always";
        profile.maxLent = 3;
        profile.maxBorrowed = 3;
        result.profiles.push_back(profile);
        result.pools.push_back({core::pool_id{"p" + number}, profile.name, demandSlots, index + 1 == pools});
    }
    return result;
}
} // namespace fakes
