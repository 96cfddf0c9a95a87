#include <poplarpass/settings/host_settings.h>

#include <catch2/catch.hpp>

namespace settings = poplarpass::settings;

namespace
{
const std::string validSettings = R"(name = "edge-1"
zone = "z"
log_level = "info"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
peers = "10.0.0.1:3"
metrics = "10.0.0.1:4"
[platform]
store = "10.0.0.2:1"
host_service = "10.0.0.2:2"
advice = []
[timing]
stop_grace_s = 6.5
holder_term_ms = 3000
)";
} // namespace

TEST_CASE("Settings of a host are read", "[settings]")
{
    const auto read = settings::parseHostSettings(validSettings, "host.toml");
    REQUIRE(read);
    CHECK(read->name == "edge-1");
    CHECK(read->advice.empty());
    CHECK(read->holderTerm == std::chrono::milliseconds{3000});
    CHECK(read->stopGrace == std::chrono::milliseconds{6500});
    CHECK(read->cores == 1);
}

TEST_CASE("The capacity of a host is read if it is given, and only as a whole", "[settings]")
{
    const auto read = settings::parseHostSettings(
        validSettings + "[size]\nprocessor_share = 0.12\nprocessor_speed = 2\nlink_mbps = 10.0\n", "host.toml");
    REQUIRE(read);
    CHECK(read->cores == Approx(0.24));
    CHECK(read->linkMbps == 10);
    CHECK_FALSE(settings::parseHostSettings(validSettings + "[size]\nprocessor_share = 0.12\n", "host.toml"));
}

TEST_CASE("Memory and descriptors of a host are optional, and less than a host needs is refused", "[settings]")
{
    const std::string size = "[size]\nprocessor_share = 0.12\nprocessor_speed = 2\nlink_mbps = 10.0\n";
    const auto defaults = settings::parseHostSettings(validSettings + size, "host.toml");
    REQUIRE(defaults);
    CHECK_FALSE(defaults->memoryMb);
    CHECK(defaults->maxDescriptors == 4096);
    const auto read =
        settings::parseHostSettings(validSettings + size + "memory_mb = 64\nmax_descriptors = 256\n", "host.toml");
    REQUIRE(read);
    CHECK(read->memoryMb == 64);
    CHECK(read->maxDescriptors == 256);
    CHECK_FALSE(settings::parseHostSettings(validSettings + size + "memory_mb = 63\n", "host.toml"));
    CHECK_FALSE(settings::parseHostSettings(validSettings + size + "max_descriptors = 255\n", "host.toml"));
}

TEST_CASE("The bound on the withdrawal of keys is read if it is given, and 0 is invalid as it would refuse all keys",
          "[settings]")
{
    CHECK_FALSE(settings::parseHostSettings(validSettings, "host.toml")->keyWithdrawal);
    const auto read =
        settings::parseHostSettings(validSettings + "[accounts]\nkey_withdrawal_ms = 5000\n", "host.toml");
    REQUIRE(read);
    CHECK(read->keyWithdrawal == std::chrono::milliseconds{5000});
    CHECK_FALSE(settings::parseHostSettings(validSettings + "[accounts]\n", "host.toml"));
    CHECK_FALSE(settings::parseHostSettings(validSettings + "[accounts]\nkey_withdrawal_ms = 0\n", "host.toml"));
}

TEST_CASE("Each problem in the settings of a host is reported with its key and line", "[settings]")
{
    auto invalidSettings = validSettings;
    invalidSettings.replace(invalidSettings.find("holder_term_ms = 3000"), 21, "holder_term_ms = \"x\"");
    invalidSettings += "odd = 1\n";
    const auto read = settings::parseHostSettings(invalidSettings, "host.toml");
    REQUIRE_FALSE(read);
    for (const auto &problem : read.error()) {
        UNSCOPED_INFO(problem.key << " line " << problem.line);
    }
    REQUIRE(read.error().size() == 2);
    CHECK(read.error()[0].key == "timing.holder_term_ms");
    CHECK(read.error()[0].line == 15);
    CHECK(read.error()[1].key == "timing.odd");
    CHECK_FALSE(settings::parseHostSettings("[=", "host.toml"));
    CHECK_FALSE(settings::loadHostSettings("/nowhere/host.toml"));
}
