#include <poplarpass/route/route_table.h>

#include <catch2/catch.hpp>

namespace route = poplarpass::route;

namespace
{
auto entry(const std::string &host, const std::string &prefix, const std::string &queue) -> route::route
{
    route::route result;
    result.hostName = host;
    result.pathPrefix = prefix;
    result.queue.name = poplarpass::jobs::queue_id{queue};
    return result;
}
} // namespace

TEST_CASE("The longest path prefix of the requested host name selects the route", "[route]")
{
    route::route_table table;
    route::route_config config;
    config.version = 3;
    config.routes = {entry("One.Example", "/a/", "short"), entry("one.example", "/a/b/", "long"),
                     entry("two.example", "/a/", "other")};
    REQUIRE(table.update(config));
    CHECK(table.match("ONE.example:80", "/a/b/77").matched->queue.name.str() == "long");
    CHECK(table.match("one.example", "/a/b/77").rest == "77");
    CHECK(table.match("one.example", "/a/c").matched->queue.name.str() == "short");
    CHECK(table.match("two.example", "/a/").rest.empty());
    CHECK(table.match("two.example", "/b/").matched == nullptr);
    CHECK(table.match("three.example", "/a/").matched == nullptr);
}

TEST_CASE("A configuration is applied only if its version is newer", "[route]")
{
    route::route_table table;
    route::route_config config;
    config.version = 5;
    CHECK(table.update(config));
    CHECK_FALSE(table.update(config));
    config.version = 4;
    CHECK_FALSE(table.update(config));
    CHECK(table.config().version == 5);
}
