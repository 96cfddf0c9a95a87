#include <poplarpass/codec/wire_fields.h>

namespace poplarpass::codec::internal
{
using nlohmann::json;

auto fieldsOf(const config::calendar_window &window) -> json
{
    return json::array({window.weekdays, window.startMinute, window.lengthMinutes});
}

auto readFields(field_reader &in, config::calendar_window &window) -> void
{
    in.read(window.weekdays).read(window.startMinute).read(window.lengthMinutes);
}

auto fieldsOf(const config::calendar &calendar) -> json
{
    return json::array({calendar.name, calendar.utcOffsetMinutes, fieldsOfAll(calendar.windows)});
}

auto readFields(field_reader &in, config::calendar &calendar) -> void
{
    in.read(calendar.name).read(calendar.utcOffsetMinutes);
    in.readItems(calendar.windows, readNested);
}

auto fieldsOf(const config::profile &profile) -> json
{
    return json::array({profile.name.str(), profile.headroom, static_cast<std::uint32_t>(profile.lossDomain),
                        profile.maxLost, profile.maxOut, profile.calendar, profile.maxLent, profile.maxBorrowed});
}

auto readFields(field_reader &in, config::profile &profile) -> void
{
    in.read(profile.name).read(profile.headroom).readEnum(profile.lossDomain, config::loss_domain::zone);
    in.read(profile.maxLost).read(profile.maxOut).read(profile.calendar).read(profile.maxLent);
    in.read(profile.maxBorrowed);
}

auto fieldsOf(const config::pool &pool) -> json
{
    return json::array({pool.name.str(), pool.profile.str(), pool.demandSlots, pool.spare});
}

auto readFields(field_reader &in, config::pool &pool) -> void
{
    in.read(pool.name).read(pool.profile).read(pool.demandSlots).read(pool.spare);
}

auto fieldsOf(const config::service &service) -> json
{
    return json::array({service.name.str(), service.pool.str(), service.profile.str()});
}

auto readFields(field_reader &in, config::service &service) -> void
{
    in.read(service.name).read(service.pool).read(service.profile);
}

auto fieldsOf(const config::team &team) -> json
{
    return json::array({team.name.str(), team.quotaSlots, team.weight});
}

auto readFields(field_reader &in, config::team &team) -> void
{
    in.read(team.name).read(team.quotaSlots).read(team.weight);
}

auto fieldsOf(const config::fleet_config &config) -> json
{
    return json::array({fieldsOfAll(config.calendars), fieldsOfAll(config.profiles), fieldsOfAll(config.pools),
                        fieldsOfAll(config.services), fieldsOfAll(config.teams), config.weights.bufferCost,
                        config.weights.moves});
}

auto readFields(field_reader &in, config::fleet_config &config) -> void
{
    in.readItems(config.calendars, readNested).readItems(config.profiles, readNested);
    in.readItems(config.pools, readNested).readItems(config.services, readNested);
    in.readItems(config.teams, readNested).read(config.weights.bufferCost).read(config.weights.moves);
}

auto fieldsOf(const platform::listed_host &host) -> json
{
    return json::array({host.host.str(), host.address, host.region.str(), host.zone.str(), host.rack.str(),
                        host.pool.str(), host.slots, host.connections, host.cores, host.memoryMb, host.accelerators,
                        host.leaving});
}

auto readFields(field_reader &in, platform::listed_host &host) -> void
{
    in.read(host.host).read(host.address).read(host.region).read(host.zone).read(host.rack).read(host.pool);
    in.read(host.slots).read(host.connections).read(host.cores).read(host.memoryMb).read(host.accelerators);
    in.read(host.leaving);
}

auto fieldsOf(const replication::member_join_record &join) -> json
{
    return json::array({join.member.str(), static_cast<std::uint32_t>(join.kind), join.incarnation, join.address,
                        join.region.str(), join.zone.str(), join.atUnixMs});
}

auto readFields(field_reader &in, replication::member_join_record &join) -> void
{
    in.read(join.member)
        .readEnum(join.kind, replication::member_kind::control)
        .read(join.incarnation)
        .read(join.address);
    in.read(join.region).read(join.zone).read(join.atUnixMs);
}

auto fieldsOf(const std::vector<core::pool_id> &pools) -> json
{
    auto all = json::array();
    for (const auto &pool : pools) {
        all.push_back(pool.str());
    }
    return all;
}

auto readFields(field_reader &in, std::vector<core::pool_id> &pools) -> void
{
    while (!in.isComplete() && !in.hasFailed()) {
        in.read(pools.emplace_back());
    }
}
} // namespace poplarpass::codec::internal
