#include "fleet_fixture.h"
#include "test_seed.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace tests;

namespace
{
auto hostIn(const std::string &name, const std::string &rack, const std::string &zone, int slots)
    -> replication::host_state
{
    replication::host_state host;
    host.description = makeHost(0, 0);
    host.description.host = core::host_id{name};
    host.description.rack = core::rack_id{rack};
    host.description.zone = core::zone_id{zone};
    host.description.slots = slots;
    host.pool = core::pool_id{"p0"};
    return host;
}

auto randomHosts(std::mt19937_64 &random) -> std::vector<replication::host_state>
{
    std::vector<replication::host_state> hosts;
    const auto count = 1 + random() % 10;
    for (std::size_t index = 0; index < count; ++index) {
        const auto rack = random() % 4;
        auto host = hostIn("h" + std::to_string(index), "rack" + std::to_string(rack), "z" + std::to_string(rack % 2),
                           static_cast<int>(1 + random() % 8));
        host.down = random() % 6 == 0;
        host.phase = random() % 5 == 0 ? replication::host_phase::draining : replication::host_phase::serving;
        if (random() % 8 == 0) {
            host.pool = core::pool_id{"other"};
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

auto domainOf(const replication::host_state &host, config::loss_domain kind) -> std::string
{
    const auto &place = host.description;
    return kind == config::loss_domain::host ? place.host.str()
        : kind == config::loss_domain::rack  ? place.rack.str()
                                             : place.zone.str();
}

// Checks every set of at most maxLost domains that includes all domains already lost.
auto worstByBruteForce(const std::vector<replication::host_state> &hosts, const config::profile &profile) -> int
{
    std::map<std::string, int> serving;
    std::map<std::string, bool> lost;
    for (const auto &host : hosts) {
        if (host.pool == core::pool_id{"p0"}) {
            const auto domain = domainOf(host, profile.lossDomain);
            serving[domain] += host.serves() ? host.description.slots : 0;
            lost[domain] = lost[domain] || host.down;
        }
    }
    int lostCount = 0;
    for (const auto &[domain, isLost] : lost) {
        lostCount += isLost ? 1 : 0;
    }
    int worst = 0;
    for (unsigned set = 0; set < 1U << serving.size(); ++set) {
        int size = 0;
        int slots = 0;
        bool includesLost = true;
        unsigned bit = 0;
        for (const auto &[domain, domainSlots] : serving) {
            const bool chosen = (set >> bit++ & 1U) != 0;
            size += chosen ? 1 : 0;
            slots += chosen ? domainSlots : 0;
            includesLost = includesLost && (chosen || !lost[domain]);
        }
        if (includesLost && size <= std::max(profile.maxLost, lostCount)) {
            worst = std::max(worst, slots);
        }
    }
    return worst;
}
} // namespace

TEST_CASE("worst loss equals the maximum over all permitted sets of lost domains", "[budget]")
{
    std::mt19937_64 random{baseSeed()};
    const auto fleet = makeConfig(1, 10);
    for (int round = 0; round < 3000; ++round) {
        auto profile = fleet.profiles.front();
        profile.lossDomain = static_cast<config::loss_domain>(random() % 3);
        profile.maxLost = static_cast<int>(random() % 4);
        const auto hosts = randomHosts(random);
        const auto view = replication::evaluateBudget(fleet.pools.front(), profile, hosts);
        REQUIRE(view.worstLossSlots == worstByBruteForce(hosts, profile));
        int serving = 0;
        for (const auto &host : hosts) {
            serving += host.serves() && host.pool == core::pool_id{"p0"} ? host.description.slots : 0;
        }
        REQUIRE(view.servingSlots == serving);
    }
}

TEST_CASE("a planned outage is permitted exactly if the budget and limits hold afterwards", "[budget]")
{
    std::mt19937_64 random{baseSeed() + 1};
    const auto fleet = makeConfig(1, 6);
    int permitted = 0;
    for (int round = 0; round < 3000; ++round) {
        auto profile = fleet.profiles.front();
        profile.lossDomain = static_cast<config::loss_domain>(random() % 3);
        profile.maxLost = static_cast<int>(random() % 3);
        auto hosts = randomHosts(random);
        for (auto &host : hosts) {
            const bool candidate = host.serves() && host.pool == core::pool_id{"p0"};
            if (!candidate) {
                continue;
            }
            const auto limit = replication::limitForPlannedOutage(host, fleet.pools.front(), profile, hosts);
            const auto before = replication::evaluateBudget(fleet.pools.front(), profile, hosts);
            host.phase = replication::host_phase::draining;
            const auto after = replication::evaluateBudget(fleet.pools.front(), profile, hosts);
            const bool lossLimitReached = before.lostDomains > 0 && before.lostDomains >= profile.maxLost;
            const bool allowed = after.spareSlots() >= 0 && before.plannedOut < profile.maxOut && !lossLimitReached;
            REQUIRE((limit == replication::budget_limit::none) == allowed);
            permitted += allowed ? 1 : 0;
            host.phase = allowed ? host.phase : replication::host_phase::serving;
        }
    }
    CHECK(permitted > 100);
}

TEST_CASE("an unplanned loss counts towards the permitted losses", "[budget]")
{
    const auto fleet = makeConfig(1, 8);
    std::vector<replication::host_state> hosts;
    for (int index = 0; index < 12; ++index) {
        hosts.push_back(hostIn("h" + std::to_string(index), "rack" + std::to_string(index / 4), "z0", 8));
    }
    const auto &pool = fleet.pools.front();
    const auto &profile = fleet.profiles.front();
    CHECK(replication::evaluateBudget(pool, profile, hosts).worstLossSlots == 32);
    hosts[0].down = true;
    const auto view = replication::evaluateBudget(pool, profile, hosts);
    CHECK(view.lostDomains == 1);
    CHECK(view.servingSlots == 88);
    CHECK(view.worstLossSlots == 24);
    CHECK(replication::limitForPlannedOutage(hosts[5], pool, profile, hosts) == replication::budget_limit::lost_domain);
    auto twoLosses = profile;
    twoLosses.maxLost = 2;
    CHECK(replication::evaluateBudget(pool, twoLosses, hosts).worstLossSlots == 24 + 32);
    CHECK(replication::limitForPlannedOutage(hosts[5], pool, twoLosses, hosts) == replication::budget_limit::none);
}
