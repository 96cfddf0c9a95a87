#pragma once

#include <poplarpass/replication.h>

#include <string>
#include <vector>

/// Small fleets for the tests of the replicated state, the configuration and the codecs.
namespace tests
{
namespace config = poplarpass::config;
namespace core = poplarpass::core;
namespace replication = poplarpass::replication;
namespace platform = poplarpass::platform;

/// \brief Returns a configuration with pools p0, p1, ...; one rack may be lost, and two hosts of each pool may be lent
/// and borrowed.
inline auto makeConfig(int pools, int demandSlots) -> config::fleet_config
{
    config::fleet_config fleet;
    fleet.calendars.push_back({"always", 0, {{127, 0, 1440}}});
    fleet.profiles.push_back({core::profile_id{"rack-safe"}, 0.25, config::loss_domain::rack, 1, 3, "always", 2, 2});
    for (int pool = 0; pool < pools; ++pool) {
        const auto name = "p" + std::to_string(pool);
        fleet.pools.push_back({core::pool_id{name}, core::profile_id{"rack-safe"}, demandSlots, pool == 0});
        fleet.services.push_back({core::service_id{"s" + name}, core::pool_id{name}, core::profile_id{"rack-safe"}});
    }
    fleet.teams.push_back({core::team_id{"desk"}, 40, 2.0});
    return fleet;
}

/// \brief Returns host \p index of \p pool with 8 slots; four hosts per rack, racks rotate over three availability
/// zones.
inline auto makeHost(int pool, int index) -> platform::listed_host
{
    const auto poolName = "p" + std::to_string(pool);
    const auto rack = std::to_string(index / 4);
    platform::listed_host host;
    host.host = core::host_id{poolName + "-h" + std::to_string(index)};
    host.address = "10.0." + std::to_string(pool) + "." + std::to_string(index) + ":7000";
    host.region = core::region_id{"r"};
    host.zone = core::zone_id{"z" + std::to_string((index / 4 + pool) % 3)};
    host.rack = core::rack_id{poolName + "-rack" + rack};
    host.pool = core::pool_id{poolName};
    host.slots = 8;
    host.connections = 64;
    host.cores = 16;
    host.memoryMb = 32768;
    return host;
}

/// \brief Returns a record of \p event for \p host, written by the holder of \p epoch.
inline auto hostRecord(replication::host_event event, std::string host, std::uint64_t epoch = 1)
    -> replication::host_record
{
    replication::host_record record;
    record.event = event;
    record.host = core::host_id{std::move(host)};
    record.controlEpoch = epoch;
    return record;
}

/// \brief Returns a record that adds \p listed.
inline auto addRecord(const platform::listed_host &listed, std::uint64_t epoch = 1) -> replication::host_record
{
    auto record = hostRecord(replication::host_event::add, listed.host.str(), epoch);
    record.description = listed;
    record.bootId = 1;
    return record;
}

/// \brief Fleet state to which tests apply records one by one; offsets and record ids are assigned in order.
struct fleet_builder
{
    replication::fleet_state state;

    /// \brief Applies \p change at the next offset under a new record id.
    auto apply(const replication::record &change) -> replication::applied
    {
        const auto offset = state.offset() + 1;
        return state.apply(offset, core::record_id{"r" + std::to_string(offset)}, change);
    }

    /// \brief Claims the control role, adds \p hostsPerPool hosts to each of \p pools pools, and publishes a
    /// configuration.
    auto build(int pools, int hostsPerPool, int demandSlots) -> void
    {
        apply(replication::control_claim_record{core::member_id{"c0"}, 1, 1, 0});
        for (int pool = 0; pool < pools; ++pool) {
            for (int index = 0; index < hostsPerPool; ++index) {
                apply(addRecord(makeHost(pool, index)));
            }
        }
        apply(replication::config_record{0, "ana", "text", makeConfig(pools, demandSlots)});
    }

    /// \brief Applies \p event for \p host as the holder of epoch 1.
    auto host(replication::host_event event, const std::string &name, const std::string &pool = {},
              const std::string &wave = {}, std::uint64_t bootId = 0) -> replication::applied
    {
        auto record = hostRecord(event, name);
        record.pool = core::pool_id{pool};
        record.wave = core::wave_id{wave};
        record.bootId = bootId;
        return apply(record);
    }
};

/// \brief Returns the kind of the refusal in \p outcome; error_kind::internal when there is none.
inline auto refusalOf(const replication::applied &outcome) -> core::error_kind
{
    return outcome.refusal ? outcome.refusal->kind : core::error_kind::internal;
}
} // namespace tests
