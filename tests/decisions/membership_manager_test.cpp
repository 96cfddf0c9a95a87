#include "test_seed.h"

#include <poplarpass/control.h>

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace poplarpass;
using std::chrono::seconds;

namespace
{
auto nameOf(std::size_t index) -> core::member_id
{
    return core::member_id{"m" + std::to_string(index)};
}

auto joinOf(std::size_t index) -> replication::member_join_record
{
    replication::member_join_record join;
    join.member = nameOf(index);
    join.incarnation = 1;
    return join;
}

auto stateOf(std::size_t members) -> replication::fleet_state
{
    replication::fleet_state state;
    for (std::size_t index = 0; index < members; ++index) {
        state.apply(index + 1, core::record_id{std::to_string(index)}, joinOf(index));
    }
    return state;
}

auto at(int second) -> core::monotonic_time
{
    return core::monotonic_time{seconds{second}};
}

/// \brief Returns the view of a member that hears \p heard for 30 s; each of those hears the same members and
/// \p alsoHeardByOthers.
auto viewOf(const std::vector<std::size_t> &heard, const std::vector<std::size_t> &alsoHeardByOthers)
    -> control::liveness_view
{
    control::liveness_view view;
    std::vector<core::member_id> names;
    for (const auto index : heard) {
        names.push_back(nameOf(index));
    }
    for (const auto index : alsoHeardByOthers) {
        names.push_back(nameOf(index));
    }
    for (std::size_t index = 0; index < 9; ++index) {
        view.registerMember(nameOf(index), at(0));
    }
    for (int second = 0; second <= 30; ++second) {
        for (const auto index : heard) {
            view.onHeartbeat(nameOf(index), 1, names, at(second));
        }
    }
    return view;
}
} // namespace

TEST_CASE("a holder in the minority of a network partition removes no member", "[control][members]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (int round = 0; round < 200; ++round) {
        std::vector<std::size_t> heard;
        for (std::size_t index = 1; index < 9; ++index) {
            if (random() % 2 == 0) {
                heard.push_back(index);
            }
        }
        auto view = viewOf(heard, {});
        control::membership_manager manager{joinOf(0)};
        const auto removed = manager.removals(stateOf(9), view, 5, at(30));
        const bool isMajority = 2 * (heard.size() + 1) > 9;
        CHECK(removed.size() == (isMajority ? std::min<std::size_t>(3, 8 - heard.size()) : 0));
    }
}

TEST_CASE("a silent member that another member hears is not removed", "[control][members]")
{
    auto view = viewOf({1, 2, 3, 4, 5, 6, 7}, {8});
    control::membership_manager manager{joinOf(0)};
    CHECK(manager.removals(stateOf(9), view, 5, at(30)).empty());
}

TEST_CASE("members known to have terminated are removed without a majority, with the epoch of the holder",
          "[control][members]")
{
    auto view = viewOf({1}, {});
    view.onTerminated(nameOf(2), 1, at(27));
    view.onTerminated(nameOf(3), 1, at(29));
    control::membership_manager manager{joinOf(0)};
    const auto removed = manager.removals(stateOf(9), view, 5, at(30));
    REQUIRE(removed.size() == 1);
    CHECK(removed.front() == replication::member_leave_record{nameOf(2), 1, 5});
}

TEST_CASE("a removed process rejoins with a greater incarnation", "[control][members]")
{
    auto state = stateOf(3);
    control::membership_manager manager{joinOf(0)};
    CHECK_FALSE(manager.ownJoin(state));
    CHECK(manager.ownLeave(state));
    state.apply(10, core::record_id{"leave"}, replication::member_leave_record{nameOf(0), 1, 0});
    CHECK(manager.ownJoin(state)->incarnation == 2);
    CHECK(manager.ownJoin(state)->incarnation == 2);
    CHECK_FALSE(manager.ownLeave(state));
}
