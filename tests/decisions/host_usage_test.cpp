#include "jobs_fixture.h"

#include <poplarpass/capacity/capacity_planner.h>

#include <catch2/catch.hpp>

using namespace tests::jobs_fixture;

namespace
{
namespace capacity = poplarpass::capacity;
namespace route = poplarpass::route;

auto hostOf(const std::string &name, const std::string &pool) -> capacity::host_entry
{
    capacity::host_entry entry;
    entry.id = core::host_id{"h-" + name};
    entry.pool = core::pool_id{pool};
    entry.worker = jobs::worker_id{name};
    entry.capacity = {hostCpu, 32'000, 0};
    return entry;
}
} // namespace

TEST_CASE("The usage of a pool counts idle, drained, arriving and maintained hosts, each in one place", "[capacity]")
{
    const std::vector entries{worker("a", 1, "pool"), worker("b", 1, "pool"), worker("c", 1, "pool")};
    const std::vector hosts{hostOf("a", "pool"), hostOf("b", "pool"), hostOf("c", "pool")};
    const std::vector<route::pool_config> pools{{core::pool_id{"pool"}, true, false}};
    auto engine = engineWith(entries);
    engine.submit(jobs::job_id{"job"}, queue(), jobOf({step(1, 1000)}), wallAt(0));
    engine.plan(at(0), wallAt(0));
    std::size_t busy = 0;
    for (const auto &[id, slot] : engine.workers().all()) {
        busy += slot.placed.empty() ? 0 : 1;
    }
    REQUIRE(busy == 1);
    capacity::capacity_planner planner;
    planner.updateHosts(hosts, at(0), at(0));
    const core::pool_id pool{"pool"};
    CHECK(planner.usageByPool(engine).at(pool).idle == 2);

    planner.addWave({1, {hosts[0].id, hosts[1].id, hosts[2].id}, std::chrono::milliseconds{4000}, 3}, at(10));
    const auto orders = planner.plan(engine, pools, at(20));
    REQUIRE(orders.size() == 2);
    auto usage = planner.usageByPool(engine).at(pool);
    CHECK(usage.idle == 0);
    CHECK(usage.draining == 1);
    CHECK(usage.inMaintenance == 2);
    CHECK(usage.arriving == 0);
}
