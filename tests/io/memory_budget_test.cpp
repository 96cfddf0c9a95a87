#include <poplarpass/net/memory_budget.h>

#include <catch2/catch.hpp>

using poplarpass::net::internal::memory_budget;
using release_order = memory_budget::release_order;

namespace
{
using namespace std::chrono_literals;

auto holdingOf(std::size_t bytes, std::chrono::milliseconds since, release_order order = release_order::by_size)
    -> memory_budget::holding
{
    return {bytes, order, memory_budget::time_point{since}};
}
} // namespace

// Guards against a sum that drifts from what is held, which would refuse callers for ever or bound nothing.
TEST_CASE("A budget holds the sum of what its holders hold now", "[http]")
{
    memory_budget budget{1000};
    budget.set(1, holdingOf(400, 1ms));
    budget.set(2, holdingOf(600, 2ms));
    CHECK(budget.heldBytes() == 1000);
    CHECK_FALSE(budget.isExceeded());
    budget.set(1, holdingOf(401, 1ms));
    CHECK(budget.isExceeded());
    budget.set(1, holdingOf(10, 1ms));
    CHECK(budget.heldBytes() == 610);
    budget.remove(2);
    budget.remove(2);
    CHECK(budget.heldBytes() == 10);
    budget.remove(1);
    CHECK(budget.heldBytes() == 0);
    CHECK_FALSE(budget.nextToRelease());
}

// Guards against a crowd that makes an ordinary caller give way.
TEST_CASE("The largest holder gives way, and of about equal ones the slowest", "[http]")
{
    memory_budget budget{1};
    budget.set(1, holdingOf(2'000, 1ms));
    CHECK(budget.nextToRelease() == 1);
    SECTION("a larger one first, though it came later")
    {
        budget.set(2, holdingOf(200'000, 5ms));
        CHECK(budget.nextToRelease() == 2);
    }
    SECTION("of about equal sizes the one that began first")
    {
        budget.set(2, holdingOf(250'000, 5ms));
        budget.set(3, holdingOf(200'000, 4ms));
        budget.set(4, holdingOf(260'000, 6ms));
        CHECK(budget.nextToRelease() == 3);
    }
    SECTION("before them one that only waits for its caller to close")
    {
        budget.set(2, holdingOf(900'000, 5ms));
        budget.set(3, holdingOf(10, 6ms, release_order::first));
        budget.set(4, holdingOf(20, 7ms, release_order::first));
        CHECK(budget.nextToRelease() == 3);
    }
    SECTION("not one whose request is being carried out")
    {
        budget.set(2, holdingOf(900'000, 5ms, release_order::never));
        CHECK(budget.nextToRelease() == 1);
        budget.set(1, holdingOf(2'000, 1ms, release_order::never));
        CHECK_FALSE(budget.nextToRelease());
    }
}
