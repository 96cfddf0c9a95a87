#include "fakes/control_world.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace poplarpass;
using fakes::control_world;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{
/// \brief Collects invariant violations that the production code reports during one test.
class breach_collector
{
public:
    breach_collector()
        : m_before{core::setBreachHandler([this](core::invariant_kind kind, std::string_view evidence) {
            reported.push_back(std::string{core::nameOf(kind)} + ": " + std::string{evidence});
        })}
    {
    }

    ~breach_collector()
    {
        core::setBreachHandler(m_before);
    }

    breach_collector(const breach_collector &) = delete;
    auto operator=(const breach_collector &) -> breach_collector & = delete;

    std::vector<std::string> reported;

private:
    core::breach_handler m_before;
};

auto checkNone(const std::vector<std::string> &breaches) -> void
{
    CHECK(breaches.empty());
    if (!breaches.empty()) {
        FAIL_CHECK(breaches.size() << " violations, the first: " << breaches.front());
    }
}

auto settingsOf(std::uint64_t seed) -> fakes::world_settings
{
    constexpr std::array domains{config::loss_domain::host, config::loss_domain::rack, config::loss_domain::zone};
    fakes::world_settings settings;
    settings.seed = seed;
    settings.hosts = fakes::makeHosts(3, 8, 3);
    settings.config = fakes::makeConfig(3, 24, domains[seed % domains.size()], 1, 2);
    settings.controls = 3;
    settings.latency = std::chrono::milliseconds{seed % 2 == 0 ? 20 : 400};
    return settings;
}

/// \brief Moves hosts between pools at random, far more often than a forecast would.
auto randomMoves(control_world *&world) -> control::move_policy
{
    return [&world](const control::move_query &query) -> std::vector<control::host_move> {
        if (world->random(20) != 0) {
            return {};
        }
        const auto &from = query.view.pools[static_cast<std::size_t>(world->random(3))];
        const auto &to = query.view.pools[static_cast<std::size_t>(world->random(3))];
        for (const auto &host : from.hosts) {
            if (&from != &to && query.isUsable(host) && from.limitOf(host) == replication::budget_limit::none) {
                return {{host.description.host, from.pool.name, to.pool.name}};
            }
        }
        return {};
    };
}

/// \brief Moves host w0000 from pool p0 to pool p1 and never back.
auto moveFirstHost(const control::move_query &query) -> std::vector<control::host_move>
{
    const auto &hosts = query.view.pools.front().hosts;
    const bool isInPool = !hosts.empty() && hosts.front().description.host.str() == "w0000";
    if (!isInPool || !query.isUsable(hosts.front())) {
        return {};
    }
    return {{hosts.front().description.host, core::pool_id{"p0"}, core::pool_id{"p1"}}};
}

auto randomProcess(control_world &world) -> fakes::sim_control_process &
{
    auto *holder = world.holder();
    if (holder != nullptr && world.random(2) == 0) {
        return *holder;
    }
    return *world.processes[static_cast<std::size_t>(world.random(static_cast<std::int64_t>(world.processes.size())))];
}

auto restart(const control_world &world, fakes::fake_worker &worker) -> void
{
    worker.restartedAt = world.now;
    ++worker.bootId;
    worker.draining = false;
    worker.jobs.clear();
    worker.grants.clear();
}

auto toggleDomainLoss(control_world &world) -> void
{
    const auto name = "r" + std::to_string(world.random(6));
    const auto zone = "z" + std::to_string(world.random(3));
    const bool isZone = world.random(3) == 0;
    const bool isLoss = world.random(2) == 0;
    for (auto &[host, worker] : world.workers) {
        const bool isHit = isZone ? worker.listed.zone.str() == zone : worker.listed.rack.str() == name;
        if (isHit && worker.dead != isLoss) {
            worker.dead = isLoss;
            restart(world, worker);
        }
    }
}

/// \brief Restarts every worker whose host is in a planned change, so that it accepts work again.
auto restartPlanned(control_world &world) -> void
{
    for (const auto &host : world.committedState.hosts()) {
        if (host.phase != replication::host_phase::serving) {
            restart(world, world.workers.at(host.description.host));
        }
    }
}

auto injectFault(control_world &world) -> void
{
    auto &process = randomProcess(world);
    auto &entry = world.entries[static_cast<std::size_t>(world.random(2))];
    switch (world.random(13)) {
    case 0:
        for (std::size_t index = 0; index < world.processes.size(); ++index) {
            if (world.processes[index].get() == &process) {
                world.kill(index);
                break;
            }
        }
        break;
    case 1:
        process.frozenUntil = world.now + seconds{1 + world.random(15)};
        break;
    case 2:
        process.isLogUnreachable = !process.isLogUnreachable;
        break;
    case 3:
        process.areWorkersUnreachable = !process.areWorkersUnreachable;
        break;
    case 4:
        process.wallOffset += seconds{world.random(7200) - 3600};
        break;
    case 5:
        world.logDown = !world.logDown;
        break;
    case 6:
        world.logDelay = seconds{world.random(4)};
        break;
    case 7:
        world.lostAnswerPercent = static_cast<int>(world.random(60));
        break;
    case 8:
        entry.frozenUntil = world.now + seconds{1 + world.random(30)};
        break;
    case 9:
        entry.isLogUnreachable = !entry.isLogUnreachable;
        break;
    case 10:
    case 11:
        restartPlanned(world);
        break;
    default:
        toggleDomainLoss(world);
        break;
    }
}

auto clearFaults(control_world &world) -> void
{
    for (auto &process : world.processes) {
        process->isLogUnreachable = false;
        process->areWorkersUnreachable = false;
    }
    for (auto &entry : world.entries) {
        entry.isLogUnreachable = false;
    }
    for (auto &[host, worker] : world.workers) {
        worker.dead = false;
    }
    world.logDown = false;
    world.logDelay = {};
    world.lostAnswerPercent = 0;
}

auto runUntilSettled(control_world &world, const std::string &wave, core::duration limit) -> bool
{
    const auto end = world.now + limit;
    while (world.now < end && !(world.isWaveFinished(wave) && world.isSettled())) {
        world.step();
    }
    return world.isWaveFinished(wave) && world.isSettled();
}

auto runHistory(std::uint64_t seed) -> void
{
    INFO("seed " << seed);
    breach_collector collector;
    control_world *current = nullptr;
    auto settings = settingsOf(seed);
    bool faultsEnabled = true;
    settings.moves = [&] {
        auto planner = std::make_shared<control::move_planner>(control::move_hooks{{}, config::isOpen});
        return [&, planner, policy = randomMoves(current)](const control::move_query &query) {
            return faultsEnabled ? policy(query) : planner->choose(query);
        };
    };
    control_world world{settings};
    current = &world;
    world.run(seconds{20});
    world.startWave("w");
    const auto end = world.now + minutes{4};
    while (world.now < end) {
        world.run(std::chrono::milliseconds{100 * (1 + world.random(80))});
        injectFault(world);
    }
    clearFaults(world);
    faultsEnabled = false;
    const bool isDone = runUntilSettled(world, "w", minutes{60});
    CHECK(isDone);
    CHECK(world.starts > 0);
    checkNone(world.breaches);
    checkNone(collector.reported);
}

auto historyCount() -> std::uint64_t
{
    const char *text = std::getenv("POPLARPASS_HISTORIES");
    return text == nullptr ? 40 : std::stoull(text);
}
} // namespace

TEST_CASE("required capacity holds under random faults, and the wave finishes after they end", "[control][sim]")
{
    for (std::uint64_t index = 0; index < historyCount(); ++index) {
        runHistory(tests::baseSeed() + index);
    }
}

TEST_CASE("a new holder continues from the log alone when the holder is killed after any host record", "[control][sim]")
{
    breach_collector collector;
    int recordCount = 1;
    for (int killAfter = 1; killAfter <= recordCount; ++killAfter) {
        INFO("killed after host record " << killAfter);
        auto settings = settingsOf(tests::baseSeed() + static_cast<std::uint64_t>(killAfter));
        settings.hosts = fakes::makeHosts(2, 4, 4);
        settings.config = fakes::makeConfig(2, 8, config::loss_domain::host, 1, 1);
        settings.latency = std::chrono::milliseconds{20};
        settings.moves = [] {
            return moveFirstHost;
        };
        control_world world{settings};
        int records = 0;
        bool isDue = false;
        world.onAccepted = [&](const replication::record &change) {
            if (std::holds_alternative<replication::host_record>(change)) {
                isDue = isDue || ++records == killAfter;
            }
        };
        world.startWave("w");
        while (world.now < core::monotonic_time{minutes{40}} && !world.isWaveFinished("w")) {
            world.step();
            for (std::size_t index = 0; isDue && index < world.processes.size(); ++index) {
                if (world.processes[index]->mayAct()) {
                    world.kill(index);
                    isDue = false;
                }
            }
        }
        recordCount = records;
        CHECK(world.isWaveFinished("w"));
        CHECK(runUntilSettled(world, "w", minutes{1}));
        CHECK(world.moves == 1);
        checkNone(world.breaches);
    }
    CHECK(recordCount > 20);
    checkNone(collector.reported);
}

TEST_CASE("failover of the control role completes within ten seconds of the holder's termination", "[control][sim]")
{
    breach_collector collector;
    for (std::uint64_t round = 0; round < 30; ++round) {
        INFO("round " << round);
        auto settings = settingsOf(tests::baseSeed() + round);
        settings.controls = 9;
        settings.entries = 0;
        settings.latency = std::chrono::milliseconds{20};
        control_world world{settings};
        world.run(seconds{5} + std::chrono::milliseconds{100} * static_cast<int>(round));
        REQUIRE(world.holder() != nullptr);
        for (std::size_t index = 0; index < world.processes.size(); ++index) {
            if (world.processes[index]->mayAct()) {
                world.kill(index);
                break;
            }
        }
        REQUIRE(world.holder() == nullptr);
        const auto killed = world.now;
        while (world.holder() == nullptr && world.now - killed < seconds{20}) {
            world.step();
        }
        CHECK(world.now - killed < seconds{10});
        checkNone(world.breaches);
    }
    checkNone(collector.reported);
}
