#include <poplarpass/accounts.h>
#include <poplarpass/route/route_table.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace accounts = poplarpass::accounts;
namespace jobs = poplarpass::jobs;
namespace route = poplarpass::route;

namespace
{
auto parse(const std::vector<std::string_view> &values)
{
    return accounts::parseCredential(values);
}

auto account(const std::string &name, const std::vector<std::string> &keys) -> accounts::account
{
    accounts::account result;
    result.limits.name = jobs::account_id{name};
    for (const auto &key : keys) {
        result.keys.push_back(accounts::digestOf(key));
    }
    return result;
}
} // namespace

TEST_CASE("A bearer key is read whatever the case of its scheme", "[accounts]")
{
    REQUIRE(parse({}));
    CHECK_FALSE(parse({})->has_value());
    for (const auto *value : {"Bearer k1", "bearer k1", "BEARER k1", "Bearer   k1"}) {
        CAPTURE(value);
        const auto key = parse({value});
        REQUIRE(key);
        CHECK(*key == accounts::digestOf("k1"));
    }
}

TEST_CASE("An ambiguous, malformed or overlong credential is an error, not an anonymous request", "[accounts]")
{
    for (const auto *value : {"", "Bearer", "Bearer ", "Bearer   ", "Basic k1", "Bearerk1", "Bearer k1 k2",
                              "Bearer k1 ", " Bearer k1", "Bearer k\t1", "Bearer \x7f", "Bearer k\xc3\xa9", "k1"}) {
        CAPTURE(value);
        const auto key = parse({value});
        REQUIRE_FALSE(key);
        CHECK(key.error() == accounts::credential_error::malformed);
    }
    // Proxies and servers differ in which of two headers they use.
    CHECK(parse({"Bearer k1", "Bearer k1"}).error() == accounts::credential_error::duplicated);
    const auto longest = "Bearer " + std::string(accounts::maxKeyLength, 'k');
    CHECK(parse({longest}).has_value());
    const auto tooLong = longest + "k";
    CHECK(parse({tooLong}).error() == accounts::credential_error::too_long);
}

TEST_CASE("An account is found by each of its keys and by its name", "[accounts]")
{
    const std::vector<accounts::account> configured{account("first", {"a", "shared"}),
                                                    account("second", {"shared", "b"}), account("keyless", {})};
    const accounts::account_table table{configured};
    const auto nameOf = [&](const std::string &key) {
        const auto *found = table.find(accounts::digestOf(key));
        return found == nullptr ? std::string{} : found->limits.name.str();
    };
    CHECK(nameOf("a") == "first");
    CHECK(nameOf("b") == "second");
    CHECK(nameOf("shared") == "first");
    CHECK(nameOf("c").empty());
    CHECK(table.account(jobs::account_id{"keyless"})->keys.empty());
    CHECK(table.account(jobs::account_id{"other"}) == nullptr);
    CHECK(table.all().size() == 3);
    CHECK(table.limits()[1].name.str() == "second");
    // Copies must not refer to the accounts of the original.
    const auto copy = table;
    CHECK(copy.find(accounts::digestOf("a")) == copy.all().data());
}

TEST_CASE("A newer configuration replaces the accounts as a whole, so that removed keys are unknown", "[accounts]")
{
    route::route_table routes;
    CHECK(routes.accounts() == nullptr);
    route::route_config config;
    config.version = 1;
    config.accounts = {account("first", {"a", "b"})};
    REQUIRE(routes.update(config));
    REQUIRE(routes.accounts() != nullptr);
    CHECK(routes.accounts()->find(accounts::digestOf("a")) != nullptr);
    config.version = 2;
    config.accounts = {account("first", {"b"})};
    REQUIRE(routes.update(config));
    CHECK(routes.accounts()->find(accounts::digestOf("a")) == nullptr);
    CHECK(routes.accounts()->find(accounts::digestOf("b")) != nullptr);
    config.version = 3;
    config.accounts.reset();
    REQUIRE(routes.update(config));
    CHECK(routes.accounts() == nullptr);
}
