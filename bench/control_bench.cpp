// Compares the policies of fleet control at the sizes of both deployments, with fakes and a stepped clock, and measures
// one decision step from 50 workers upwards.
// Usage: control_bench [--seeds N] [--hours N] [--steps-only]

#include "fakes/control_world.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <future>
#include <iostream>
#include <malloc.h>
#include <numeric>

using namespace poplarpass;
using fakes::control_world;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{
enum class policy_kind {
    ours,
    fixed_spare_zone,
    first_fit,
    first_fit_minute,
};

struct deployment
{
    const char *name;
    int zones;
    double headroom;
    config::planning_weights weights;
};

constexpr std::array deployments{deployment{"Plata", 3, 0.15, {4.0, 1.0}}, deployment{"Adeyemi", 4, 0.15, {1.0, 8.0}}};
constexpr std::array policies{policy_kind::ours, policy_kind::fixed_spare_zone, policy_kind::first_fit,
                              policy_kind::first_fit_minute};
constexpr int poolCount = 5;
constexpr int hostsPerPool = 10;
constexpr int demandSlots = 28;

auto nameOf(policy_kind policy) -> const char *
{
    constexpr std::array names{"ours", "fixed_spare_zone", "first_fit", "first_fit, demand of the last minute"};
    return names[static_cast<std::size_t>(policy)];
}

/// \brief Generates the demand of each pool: 5 s surges to five times the mean, a twentieth of it in between, a slow
/// random drift of the mean, and random periods of 20 to 80 min with twice the mean.
class demand_source
{
public:
    explicit demand_source(std::uint64_t seed)
        : m_random{seed}
    {
        m_means.fill(demandSlots);
        m_surgeOffset.fill(core::duration::zero());
        for (auto &surgeOffset : m_surgeOffset) {
            surgeOffset = seconds{static_cast<std::int64_t>(m_random() % 26)};
        }
    }

    auto advance(core::duration now) -> void
    {
        for (std::size_t pool = 0; pool < poolCount; ++pool) {
            const bool isNewMinute = now % minutes{1} == core::duration::zero();
            if (isNewMinute) {
                const auto swing = static_cast<double>(m_random() % 2001) / 1000.0 - 1.0;
                m_means[pool] = std::clamp(m_means[pool] + swing, 0.85 * demandSlots, 1.15 * demandSlots);
            }
            if (isNewMinute && m_random() % 240 == 0) {
                m_highUntil[pool] = now + minutes{20 + static_cast<std::int64_t>(m_random() % 60)};
            }
        }
    }

    [[nodiscard]] auto mean(std::size_t pool, core::duration now) const -> double
    {
        return m_means[pool] * (now < m_highUntil[pool] ? 2.0 : 1.0);
    }

    [[nodiscard]] auto current(std::size_t pool, core::duration now) const -> double
    {
        const bool isSurge = (now + m_surgeOffset[pool]) % seconds{26} < seconds{5};
        return mean(pool, now) * (isSurge ? 5.0 : 0.05);
    }

private:
    std::mt19937_64 m_random;
    std::array<double, poolCount> m_means{};
    std::array<core::duration, poolCount> m_surgeOffset{};
    std::array<core::duration, poolCount> m_highUntil{};
};

struct run_result
{
    double bufferPercent = 0.0; ///< Slots reserved above the mean demand, as a share of all slots.
    double idlePercent = 0.0; ///< Idle slots, as a share of all slots.
    double waveMinutes = 0.0; ///< Time from the start of the wave to its completion.
    double movesPerHostDay = 0.0;
    double unservedPercent = 0.0; ///< Mean demand above the serving slots, as a share of all mean demand.
    int minSpareSlots = 0; ///< Minimum of the spare slots over time and pools.
    std::size_t breaches = 0;
};

auto configOf(const deployment &deployment) -> config::fleet_config
{
    auto result = fakes::makeConfig(poolCount, demandSlots, config::loss_domain::rack, 1, 2);
    result.weights = deployment.weights;
    for (auto &profile : result.profiles) {
        profile.headroom = deployment.headroom;
    }
    return result;
}

auto poolIndex(const core::pool_id &pool) -> std::size_t
{
    return static_cast<std::size_t>(pool.str().back() - '0');
}

auto largestZoneSlots(const control::pool_view &pool) -> int
{
    std::map<core::zone_id, int> slots;
    for (const auto &host : pool.hosts) {
        slots[host.description.zone] += host.description.slots;
    }
    return std::ranges::max_element(slots, {}, [](const auto &entry) { return entry.second; })->second;
}

/// \brief Returns the slots that the policy reserves for \p pool: the required slots plus the worst permitted loss, or
/// plus a whole zone; all slots of borrowed hosts count as reserved.
auto reservedSlots(const control::pool_view &pool, const replication::budget_view &budget, policy_kind policy) -> int
{
    int borrowed = 0;
    for (const auto &host : pool.hosts) {
        borrowed += host.description.pool != pool.pool.name ? host.description.slots : 0;
    }
    const auto guaranteed = budget.requiredSlots + budget.worstLossSlots;
    const auto zone = budget.requiredSlots + largestZoneSlots(pool);
    const auto reserved = policy == policy_kind::fixed_spare_zone ? std::max(guaranteed, zone) : guaranteed;
    return std::min(budget.servingSlots, reserved + borrowed);
}

/// \brief Accumulates the measures of one run over time.
class run_measurement
{
public:
    explicit run_measurement(policy_kind policy)
        : m_policy{policy}
    {
    }

    auto add(const control_world &world, const demand_source &demand, core::duration now) -> void
    {
        const auto view = control::makePlanningView(world.committedState.config(), world.committedState.hosts());
        for (const auto &pool : view.pools) {
            const auto budget = pool.budget();
            const auto index = poolIndex(pool.pool.name);
            const auto mean = demand.mean(index, now);
            m_slots += static_cast<double>(pool.hosts.size()) * 8.0;
            m_buffer += std::max(0.0, reservedSlots(pool, budget, m_policy) - mean);
            m_idle += std::max(0.0, budget.servingSlots - demand.current(index, now));
            m_unserved += std::max(0.0, mean - budget.servingSlots);
            m_demand += mean;
            m_minSpare = std::min(m_minSpare, budget.spareSlots());
        }
    }

    auto fill(run_result &result) const -> void
    {
        result.bufferPercent = 100.0 * m_buffer / m_slots;
        result.idlePercent = 100.0 * m_idle / m_slots;
        result.unservedPercent = 100.0 * m_unserved / m_demand;
        result.minSpareSlots = m_minSpare;
    }

private:
    policy_kind m_policy;
    double m_slots = 0.0;
    double m_buffer = 0.0;
    double m_idle = 0.0;
    double m_unserved = 0.0;
    double m_demand = 0.0;
    int m_minSpare = 1'000'000;
};

/// \brief Demand as observed by the policies.
struct demand_view
{
    control::demand_forecast forecast;
    control::demand_forecast lastMinute{{control::demandBucket, 1, 1, 1.0}};
    std::array<double, poolCount> current{};
};

auto movePolicyFor(policy_kind policy, demand_view &demand) -> std::function<control::move_policy()>
{
    if (policy == policy_kind::ours) {
        return [&demand] {
            control::move_hooks hooks;
            hooks.expectedSlots = [&demand](const core::pool_id &pool) {
                return demand.forecast.expectedSlots(pool);
            };
            hooks.calendarIsOpen = config::isOpen;
            auto planner = std::make_shared<control::move_planner>(hooks);
            return [planner](const control::move_query &query) {
                return planner->choose(query);
            };
        };
    }
    if (policy == policy_kind::first_fit) {
        return [&demand] {
            return control::firstFitMoves(
                [&demand](const core::pool_id &pool) { return std::optional{demand.current[poolIndex(pool)]}; });
        };
    }
    if (policy == policy_kind::first_fit_minute) {
        return [&demand] {
            return control::firstFitMoves(
                [&demand](const core::pool_id &pool) { return demand.lastMinute.expectedSlots(pool); });
        };
    }
    return {};
}

auto wavePolicyFor(policy_kind policy) -> control::wave_policy
{
    switch (policy) {
    case policy_kind::ours:
        return control::leastLossPolicy(config::isOpen);
    case policy_kind::fixed_spare_zone:
        return control::fixedSpareZonePolicy(config::isOpen);
    case policy_kind::first_fit:
    case policy_kind::first_fit_minute:
        break;
    }
    return control::firstFitPolicy(config::isOpen);
}

auto runSimulation(const deployment &deployment, policy_kind policy, std::uint64_t seed, int hourCount) -> run_result
{
    demand_view demandView;
    fakes::world_settings settings;
    settings.seed = seed;
    settings.controls = 1;
    settings.tick = seconds{1};
    settings.reboot = minutes{5};
    settings.longestJob = minutes{1};
    settings.hosts = fakes::makeHosts(poolCount, hostsPerPool, deployment.zones);
    settings.config = configOf(deployment);
    settings.drains = wavePolicyFor(policy);
    settings.moves = movePolicyFor(policy, demandView);
    control_world world{settings};
    world.run(seconds{10});
    demand_source demand{seed};
    run_measurement measured{policy};
    run_result result;
    constexpr core::duration waveStart = hours{1};
    for (core::duration now{}; now < hours{hourCount}; now += seconds{1}) {
        demand.advance(now);
        for (std::size_t pool = 0; pool < poolCount; ++pool) {
            demandView.current[pool] = demand.current(pool, now);
            const core::pool_id name{"p" + std::to_string(pool)};
            demandView.forecast.addDemand(name, demandView.current[pool], world.now);
            demandView.lastMinute.addDemand(name, demandView.current[pool], world.now);
        }
        if (now == waveStart) {
            world.startWave("w");
        }
        world.step();
        measured.add(world, demand, now);
        if (result.waveMinutes == 0.0 && world.isWaveFinished("w")) {
            result.waveMinutes = std::chrono::duration<double, std::ratio<60>>{now - waveStart}.count();
        }
    }
    measured.fill(result);
    result.movesPerHostDay = static_cast<double>(world.moves) * 24.0 / hourCount / (poolCount * hostsPerPool);
    result.breaches = world.breaches.size();
    return result;
}

/// \brief Formats the mean and the range of one measure over the seeds.
auto formatMeanAndRange(const std::vector<run_result> &runs, double run_result::*measure) -> std::string
{
    double sum = 0.0;
    double least = runs.front().*measure;
    double most = least;
    for (const auto &run : runs) {
        sum += run.*measure;
        least = std::min(least, run.*measure);
        most = std::max(most, run.*measure);
    }
    std::array<char, 80> text{};
    std::snprintf(text.data(), text.size(), "%.2f (%.2f to %.2f)", sum / static_cast<double>(runs.size()), least, most);
    return text.data();
}

auto comparePolicies(int seedCount, int hourCount) -> void
{
    std::cout << "| deployment | policy | buffer, % of slots | idle, % of slots | wave, min | moves per host and day | "
                 "unserved mean demand, % | least spare, slots | breaches |\n|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &deployment : deployments) {
        for (const auto policy : policies) {
            std::vector<std::future<run_result>> futures;
            for (int seed = 1; seed <= seedCount; ++seed) {
                futures.push_back(std::async(std::launch::async, runSimulation, deployment, policy, seed, hourCount));
            }
            std::vector<run_result> runs;
            std::ranges::transform(futures, std::back_inserter(runs), [](auto &future) { return future.get(); });
            const auto spare = std::ranges::min(runs, {}, &run_result::minSpareSlots).minSpareSlots;
            std::size_t breaches = 0;
            for (const auto &run : runs) {
                breaches += run.breaches;
            }
            std::cout << "| " << deployment.name << " | " << nameOf(policy) << " | "
                      << formatMeanAndRange(runs, &run_result::bufferPercent) << " | "
                      << formatMeanAndRange(runs, &run_result::idlePercent) << " | "
                      << formatMeanAndRange(runs, &run_result::waveMinutes) << " | "
                      << formatMeanAndRange(runs, &run_result::movesPerHostDay) << " | "
                      << formatMeanAndRange(runs, &run_result::unservedPercent) << " | " << spare << " | " << breaches
                      << " |\n"
                      << std::flush;
        }
    }
}

/// \brief Returns the CPU time of this thread, which is independent of other load on the machine.
auto threadCpuTime() -> std::chrono::nanoseconds
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec};
}

/// \brief Measures decision steps of the active controller during a wave, with all workers of the fleet responding.
auto measureStep(int workers, int pools) -> void
{
    constexpr int stepCount = 30;
    const auto hosts = fakes::makeHosts(pools, workers / pools, 4);
    auto config = fakes::makeConfig(pools, 4 * static_cast<int>(hosts.size()) / pools, config::loss_domain::rack, 1, 4);
    replication::fleet_state state;
    std::uint64_t offset = 0;
    const auto apply = [&](const replication::record &change) {
        ++offset;
        return state.apply(offset, core::record_id{"x" + std::to_string(offset)}, change).accepted;
    };
    apply(replication::config_record{0, {}, {}, config});
    apply(replication::control_claim_record{core::member_id{"c"}, 1, 1, 0});
    for (const auto &listed : hosts) {
        replication::host_record add;
        add.host = listed.host;
        add.controlEpoch = 1;
        add.description = listed;
        apply(add);
    }
    replication::wave_record wave;
    wave.wave = core::wave_id{"w"};
    apply(wave);
    const auto before = mallinfo2().uordblks;
    control::move_planner planner{{{}, config::isOpen}};
    control::host_controller controller{core::member_id{"c"},
                                        1,
                                        {control::leastLossPolicy(config::isOpen),
                                         [&planner](const control::move_query &query) { return planner.choose(query); },
                                         config::isOpen}};
    std::vector<double> times;
    std::size_t recordCount = 0;
    for (int step = 0; step < stepCount; ++step) {
        const core::monotonic_time now{seconds{step}};
        std::vector<control::host_contact> sightings;
        for (const auto &host : state.hosts()) {
            const auto &name = host.description.host;
            sightings.push_back({name, true, 1, !host.serves(), host.pool, host.generation, now});
        }
        const auto start = threadCpuTime();
        const auto actions = controller.decide(state, {hosts, sightings, {}}, core::wall_time{}, now);
        const std::chrono::duration<double, std::milli> elapsed = threadCpuTime() - start;
        times.push_back(elapsed.count());
        for (const auto &action : actions) {
            if (const auto *request = std::get_if<control::append_request>(&action)) {
                recordCount += apply(request->change) ? 1U : 0U;
                controller.onApplied(request->id);
            }
        }
    }
    const auto allocatedBytes = mallinfo2().uordblks - before;
    std::ranges::sort(times);
    std::printf("| %d | %d | %.2f | %.2f | %.1f | %.2f | %zu |\n", static_cast<int>(hosts.size()), pools,
                times[times.size() / 2], times.back(),
                1000.0 * times[times.size() / 2] / static_cast<double>(hosts.size()),
                static_cast<double>(allocatedBytes) / 1e6, recordCount);
}
} // namespace

auto main(int argc, char *argv[]) -> int
{
    namespace po = boost::program_options;
    int seedCount = 5;
    int hourCount = 8;
    po::options_description options;
    options.add_options()("seeds", po::value(&seedCount))("hours", po::value(&hourCount))("steps-only", "");
    po::variables_map arguments;
    po::store(po::parse_command_line(argc, argv, options), arguments);
    po::notify(arguments);
    if (arguments.count("steps-only") == 0) {
        comparePolicies(seedCount, hourCount);
    }
    std::cout << "\n| workers | pools | step, median CPU ms | step, maximum CPU ms | median per "
                 "worker, us | memory of the controller, MB "
                 "| records accepted |\n|---|---|---|---|---|---|---|\n"
              << std::flush;
    for (const auto &[workers, pools] : {std::pair{50, 5}, {500, 5}, {2000, 13}, {7600, 47}}) {
        measureStep(workers, pools);
    }
    return 0;
}
