#include <poplarpass/codec.h>
#include <poplarpass/replication.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

/// Size and speed of the replicated state, its snapshots and its records, by fleet size.
/// Run: build/release/bin/replication_bench
namespace
{
namespace codec = poplarpass::codec;
namespace config = poplarpass::config;
namespace core = poplarpass::core;
namespace replication = poplarpass::replication;
namespace platform = poplarpass::platform;

struct fleet_size
{
    int hosts;
    int pools;
};

constexpr int rackHosts = 4;
constexpr int zones = 4;
constexpr int slotsPerHost = 8;

auto listedHost(int index, int pools) -> platform::listed_host
{
    const int rack = index / rackHosts;
    platform::listed_host host;
    host.host = core::host_id{"worker-" + std::to_string(10000 + index)};
    host.address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000";
    host.region = core::region_id{"region-1"};
    host.zone = core::zone_id{"zone-" + std::to_string(rack / pools % zones)};
    host.rack = core::rack_id{"rack-" + std::to_string(rack)};
    host.pool = core::pool_id{"pool-" + std::to_string(rack % pools)};
    host.slots = slotsPerHost;
    host.connections = 64;
    host.cores = 16;
    host.memoryMb = 32768;
    return host;
}

auto fleetConfig(const fleet_size &size) -> config::fleet_config
{
    config::fleet_config fleet;
    fleet.calendars.push_back({"nights", -180, {{31, 21 * 60, 540}}});
    fleet.profiles.push_back({core::profile_id{"counter"}, 0.25, config::loss_domain::rack, 1, 100, "nights", 9, 9});
    const int demand = size.hosts / size.pools * slotsPerHost / 4;
    for (int pool = 0; pool < size.pools; ++pool) {
        const auto name = "pool-" + std::to_string(pool);
        fleet.pools.push_back({core::pool_id{name}, core::profile_id{"counter"}, demand, false});
        fleet.services.push_back(
            {core::service_id{"service-" + std::to_string(pool)}, core::pool_id{name}, core::profile_id{"counter"}});
        fleet.teams.push_back({core::team_id{"team-" + std::to_string(pool)}, 64, 1.0});
    }
    return fleet;
}

class bench_state
{
public:
    explicit bench_state(const fleet_size &size)
        : m_config{fleetConfig(size)}
    {
        apply(replication::control_claim_record{core::member_id{"control-1"}, 1, 1, 0});
        for (int index = 0; index < size.hosts; ++index) {
            replication::host_record record;
            record.description = listedHost(index, size.pools);
            record.host = record.description.host;
            record.controlEpoch = 1;
            apply(record);
        }
        for (int member = 0; member < 9; ++member) {
            apply(replication::member_join_record{core::member_id{"entry-" + std::to_string(member)},
                                                  replication::member_kind::entry,
                                                  1,
                                                  "10.0.0.1:7100",
                                                  {},
                                                  {}});
        }
        // 500 bytes of text for each pool, about as in the examples.
        apply(replication::config_record{0, "operator", std::string(static_cast<std::size_t>(size.pools) * 500, 't'),
                                         m_config});
        while (m_state.parts().recentIds.size() < replication::maxRecentIds) {
            apply(replication::control_renew_record{1});
        }
    }

    auto apply(const replication::record &change) -> bool
    {
        const auto offset = m_state.offset() + 1;
        return m_state.apply(offset, core::record_id{"0192f0c0-0000-7000-8000-" + std::to_string(offset)}, change)
            .accepted;
    }

    auto drainAndCancel(const core::host_id &host) -> void
    {
        replication::host_record record;
        record.host = host;
        record.controlEpoch = 1;
        record.event = replication::host_event::drain_start;
        const bool drained = apply(record);
        record.event = replication::host_event::drain_cancel;
        if (!drained || !apply(record)) {
            std::fprintf(stderr, "drain or its cancellation refused; stopping\n");
            std::exit(1);
        }
    }

    auto publish() -> void
    {
        apply(replication::config_record{m_state.revision(), "operator", m_state.configText(), m_config});
    }

    [[nodiscard]] auto state() const -> const replication::fleet_state &
    {
        return m_state;
    }

private:
    replication::fleet_state m_state;
    config::fleet_config m_config;
};

auto microsecondsPerCall(int rounds, const std::function<void()> &work) -> double
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

auto measure(const fleet_size &size) -> void
{
    bench_state fleet{size};
    const auto bytes = codec::encodeState(fleet.state());
    const replication::snapshot_policy policy;
    const auto parts = policy.split(fleet.state().offset(), fleet.state().digest(), bytes);
    const auto host = fleet.state().hosts().front().description.host;
    std::uint64_t sum = 0;
    const auto digest = microsecondsPerCall(10000, [&] { sum += fleet.state().digest(); });
    const auto renewal = microsecondsPerCall(20000, [&] { fleet.apply(replication::control_renew_record{1}); });
    const auto drain = microsecondsPerCall(200, [&] { fleet.drainAndCancel(host); });
    const auto publish = microsecondsPerCall(20, [&] { fleet.publish(); });
    const auto encode = microsecondsPerCall(10, [&] { sum += codec::encodeState(fleet.state()).size(); });
    const auto decode = microsecondsPerCall(10, [&] { sum += codec::decodeState(bytes)->offset(); });
    std::printf("| %d | %d | %zu | %zu | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f |\n", size.hosts, size.pools,
                bytes.size(), parts.size(), digest, renewal, drain, publish, encode / 1000, decode / 1000);
    if (sum == 0) {
        std::exit(1);
    }
}
} // namespace

auto main() -> int
{
    std::printf("| hosts | pools | state bytes | snapshot records | digest us | renewal us | drain and cancel us | "
                "revision us | encode ms | decode ms |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &size : {fleet_size{50, 5}, fleet_size{500, 10}, fleet_size{7600, 47}}) {
        measure(size);
    }
    return 0;
}
