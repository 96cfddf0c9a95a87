#include "fakes/control_world.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

using namespace poplarpass;
using fakes::control_world;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{
auto settingsOf() -> fakes::world_settings
{
    fakes::world_settings settings;
    settings.seed = tests::baseSeed();
    settings.hosts = fakes::makeHosts(3, 8, 3);
    settings.config = fakes::makeConfig(3, 24, config::loss_domain::rack, 1, 2);
    return settings;
}

auto countPhase(const control_world &world, replication::host_phase phase) -> std::ptrdiff_t
{
    return std::ranges::count(world.committedState.hosts(), phase, &replication::host_state::phase);
}

auto setRackDead(control_world &world, const std::string &rack, bool dead) -> void
{
    for (auto &[host, worker] : world.workers) {
        if (worker.listed.rack.str() == rack) {
            worker.dead = dead;
        }
    }
}
} // namespace

TEST_CASE("a wave starts no drain while a rack is down and resumes afterwards", "[control][hosts]")
{
    control_world world{settingsOf()};
    world.run(seconds{10});
    setRackDead(world, "r0", true);
    world.run(seconds{5});
    world.startWave("w");
    world.run(minutes{2});
    CHECK(countPhase(world, replication::host_phase::serving) == 24);
    CHECK(std::ranges::count_if(world.committedState.hosts(), &replication::host_state::down) == 4);
    setRackDead(world, "r0", false);
    world.run(minutes{5});
    CHECK(world.isWaveFinished("w"));
    CHECK(world.breaches.empty());
}

TEST_CASE("no drain starts while an operator has paused the wave", "[control][hosts]")
{
    control_world world{settingsOf()};
    world.run(seconds{10});
    world.startWave("w");
    world.run(seconds{3});
    world.pauseWave("w", true);
    world.run(minutes{2});
    CHECK(countPhase(world, replication::host_phase::serving) == 24);
    CHECK_FALSE(world.isWaveFinished("w"));
    world.pauseWave("w", false);
    world.run(minutes{5});
    CHECK(world.isWaveFinished("w"));
}

TEST_CASE("a drain that does not finish is never forced and is cancelled when its calendar closes", "[control][hosts]")
{
    auto settings = settingsOf();
    settings.entries = 0;
    settings.config.calendars.front().windows = {{127, 0, 60}};
    control_world world{settings};
    for (auto &[host, worker] : world.workers) {
        worker.jobs.push_back(core::monotonic_time{std::chrono::hours{100}});
    }
    world.run(seconds{10});
    world.startWave("w");
    world.run(minutes{30});
    CHECK(countPhase(world, replication::host_phase::draining) == 6);
    CHECK(countPhase(world, replication::host_phase::rebooting) == 0);
    world.run(minutes{40});
    CHECK(countPhase(world, replication::host_phase::serving) == 24);
    CHECK(world.isSettled());
}

TEST_CASE("a holder that cannot reach any worker records no host as down", "[control][hosts]")
{
    auto settings = settingsOf();
    settings.controls = 1;
    control_world world{settings};
    world.run(seconds{10});
    world.processes.front()->areWorkersUnreachable = true;
    world.run(minutes{2});
    CHECK(std::ranges::none_of(world.committedState.hosts(), &replication::host_state::down));
}

TEST_CASE("a host that the platform marks as leaving drains without a wave and is recorded as down once dead",
          "[control][hosts]")
{
    control_world world{settingsOf()};
    world.run(seconds{10});
    const core::host_id leaving{"w0005"};
    world.workers.at(leaving).listed.leaving = true;
    world.run(seconds{20});
    CHECK(world.committedState.findHost(leaving)->phase == replication::host_phase::draining);
    CHECK(world.workers.at(leaving).draining);
    world.workers.at(leaving).dead = true;
    world.workers.at(leaving).listed.leaving = false;
    world.run(seconds{20});
    CHECK(world.committedState.findHost(leaving)->down);
}

TEST_CASE("a drain waits until the workers it relies on accept work, and its record is retried with the same id",
          "[control][hosts]")
{
    const auto listed = fakes::makeHosts(1, 4, 4);
    replication::fleet_state state;
    std::uint64_t offset = 0;
    const auto apply = [&](const replication::record &change) {
        ++offset;
        REQUIRE(state.apply(offset, core::record_id{std::to_string(offset)}, change).accepted);
    };
    apply(replication::config_record{0, {}, {}, fakes::makeConfig(1, 16, config::loss_domain::host, 1, 2)});
    apply(replication::control_claim_record{core::member_id{"c"}, 1, 1, 0});
    for (const auto &host : listed) {
        replication::host_record add;
        add.host = host.host;
        add.controlEpoch = 1;
        add.description = host;
        apply(add);
    }
    replication::wave_record wave;
    wave.wave = core::wave_id{"w"};
    apply(wave);
    control::host_controller controller{
        core::member_id{"c"}, 1, {control::leastLossPolicy(config::isOpen), {}, config::isOpen}};
    const auto contactsAt = [&listed](core::monotonic_time now, bool isFirstDraining) {
        std::vector<control::host_contact> contacts;
        for (const auto &host : listed) {
            const bool isFirst = host.host == listed.front().host;
            contacts.push_back({host.host, true, 1, isFirst && isFirstDraining, host.pool, 0, now});
        }
        return contacts;
    };
    const auto recordsAt = [&](int second, bool isFirstDraining, std::span<const control::order_outcome> outcomes) {
        const core::monotonic_time now{seconds{second}};
        std::vector<core::record_id> ids;
        for (const auto &action : controller.decide(state, {{}, contactsAt(now, isFirstDraining), outcomes}, {}, now)) {
            if (const auto *request = std::get_if<control::append_request>(&action)) {
                ids.push_back(request->id);
            }
        }
        return ids;
    };
    const platform::order_request undrain{platform::worker_order::undrain, 1, {}, 0};
    const platform::order_response answer{0, 1, false, listed.front().pool, 0};
    const std::vector<control::order_outcome> outcomes{{listed.front().host, undrain, answer}};
    CHECK(recordsAt(10, true, {}).empty());
    CHECK(recordsAt(11, true, {}).empty());
    const auto first = recordsAt(12, false, outcomes);
    REQUIRE(first.size() == 1);
    CHECK(recordsAt(13, false, {}) == first);
    controller.onApplied(first.front());
    CHECK(recordsAt(14, false, {}) != first);
}

TEST_CASE("a status received while an order is pending is ignored", "[control][hosts]")
{
    const core::host_id host{"w"};
    const auto at = [](int second) {
        return core::monotonic_time{seconds{second}};
    };
    const platform::order_request drain{platform::worker_order::drain, 1, {}, 0};
    control::host_tracker tracker;
    tracker.onPhase({}, at(0));
    tracker.onContact({host, true, 1, false, {}, 0, at(9)});
    CHECK(tracker.isCurrent());
    tracker.onOrder(drain, at(10));
    tracker.onContact({host, true, 1, false, {}, 0, at(11)});
    CHECK_FALSE(tracker.isCurrent());
    tracker.onOutcome({host, drain, platform::order_response{0, 1, true, {}, 0}}, at(13));
    tracker.onContact({host, true, 1, false, {}, 0, at(12)});
    CHECK(tracker.status()->draining);
    CHECK(tracker.isCurrent());
    CHECK(tracker.confirmedIdle());
    tracker.onOrder(drain, at(14));
    tracker.onOutcome({host, drain, core::failure(core::error_kind::peer_unreachable)}, at(15));
    CHECK_FALSE(tracker.isCurrent());
    tracker.onContact({host, true, 2, false, {}, 0, at(16)});
    CHECK(tracker.isCurrent());
    CHECK_FALSE(tracker.confirmedIdle());
}
