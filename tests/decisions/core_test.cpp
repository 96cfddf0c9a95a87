#include "test_seed.h"

#include <poplarpass/core.h>

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace poplarpass;

TEST_CASE("each error kind has exactly one row with a unique name", "[core]")
{
    std::set<std::string_view> names;
    for (const auto &row : core::errorTable()) {
        CHECK(names.insert(row.name).second);
        CHECK(core::errorKindFromName(row.name) == row.kind);
        CHECK(&core::errorSpecOf(row.kind) == &row);
    }
    CHECK_FALSE(core::errorKindFromName("no_such_kind"));
}

TEST_CASE("removing a member reassigns only the keys that it coordinates", "[core]")
{
    std::mt19937_64 random{tests::baseSeed()};
    std::vector<core::member_id> members;
    for (int index = 0; index < 9; ++index) {
        members.emplace_back("entry-" + std::to_string(index));
    }
    for (int round = 0; round < 500; ++round) {
        const auto key = std::to_string(random());
        const auto coordinator = core::rendezvousCoordinator(key, members);
        const auto order = core::rendezvousOrder(key, members);
        CHECK(order.front() == coordinator);
        auto fewer = members;
        const auto removed = fewer[random() % fewer.size()];
        std::erase(fewer, removed);
        const auto expected = removed == coordinator ? order[1] : coordinator;
        CHECK(core::rendezvousCoordinator(key, fewer) == expected);
    }
}
