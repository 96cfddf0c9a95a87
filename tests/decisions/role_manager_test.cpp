#include <poplarpass/control.h>

#include <catch2/catch.hpp>

#include <set>
#include <vector>

using namespace poplarpass;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const std::vector<core::member_id> names{core::member_id{"a"}, core::member_id{"b"}, core::member_id{"c"}};

auto at(std::int64_t ms) -> core::monotonic_time
{
    return core::monotonic_time{milliseconds{ms}};
}

/// \brief Returns a holder that sent its claim at 0 ms and read it back at \p readBack.
auto makeHolder(replication::fleet_state &state, core::monotonic_time readBack) -> control::role_manager
{
    control::role_manager manager{names[0], 7};
    manager.onReadToEnd(at(0));
    const auto claim = manager.next({names.data(), 1}, at(0));
    REQUIRE(claim);
    REQUIRE(state.apply(1, claim->id, claim->change).accepted);
    manager.onApplied(claim->id, state.control(), readBack);
    return manager;
}
} // namespace

TEST_CASE("the right to act ends four seconds after the claim was sent, not after it was read back", "[control][role]")
{
    replication::fleet_state state;
    const auto manager = makeHolder(state, at(3900));
    CHECK(manager.mayAct(at(3999)));
    CHECK_FALSE(manager.mayAct(at(4000)));
    CHECK(manager.isHolder());
}

TEST_CASE("a renewal read back after its lease expired does not extend the right to act", "[control][role]")
{
    replication::fleet_state state;
    auto manager = makeHolder(state, at(10));
    const auto renewal = manager.next(names, at(2000));
    REQUIRE(renewal);
    manager.onAppendAnswered(renewal->id, false);
    REQUIRE(state.apply(2, renewal->id, renewal->change).accepted);
    manager.onApplied(renewal->id, state.control(), at(9000));
    CHECK_FALSE(manager.mayAct(at(9000)));
    const auto next = manager.next(names, at(9000));
    REQUIRE(next);
    CHECK(next->id != renewal->id);
}

TEST_CASE("a standby claims only after a read that started after the wait found no renewal", "[control][role]")
{
    replication::fleet_state state;
    const auto holder = makeHolder(state, at(0));
    control::role_manager standby{names[1], 1};
    standby.onApplied(core::record_id{"x"}, state.control(), at(1000));
    standby.onReadToEnd(at(1000));
    CHECK_FALSE(standby.next({&names[1], 1}, at(60000)));
    standby.onReadToEnd(at(6999));
    CHECK_FALSE(standby.next({&names[1], 1}, at(7000)));
    standby.onReadToEnd(at(7000));
    const auto claim = standby.next({&names[1], 1}, at(7000));
    REQUIRE(claim);
    standby.onAppendAnswered(claim->id, false);
    CHECK_FALSE(standby.next({&names[1], 1}, at(7500)));
    CHECK(standby.next({&names[1], 1}, at(8000))->id == claim->id);
}

TEST_CASE("standbys claim one after another in rank order", "[control][role]")
{
    std::set<std::int64_t> claimTimes;
    for (const auto &name : names) {
        control::role_manager standby{name, 1};
        standby.onReadToEnd(at(0));
        std::int64_t claimTime = 0;
        while (!standby.next(names, at(claimTime))) {
            claimTime += 100;
            standby.onReadToEnd(at(claimTime));
        }
        claimTimes.insert(claimTime);
    }
    CHECK(claimTimes == std::set<std::int64_t>{0, 200, 400});
}

TEST_CASE("another incarnation of the holder may not act", "[control][role]")
{
    replication::fleet_state state;
    const auto manager = makeHolder(state, at(0));
    control::role_manager restarted{names[0], 8};
    restarted.onApplied(core::record_id{"x"}, state.control(), at(1));
    CHECK_FALSE(restarted.isHolder());
    CHECK_FALSE(restarted.mayAct(at(1)));
}
