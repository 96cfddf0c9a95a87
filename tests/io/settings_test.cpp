#include "test_seed.h"

#include <poplarpass/settings.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <set>
#include <unistd.h>

using namespace poplarpass;
using namespace std::chrono_literals;

namespace
{
const std::string validText = R"([process]
name = "entry-1"
region = "uruguay"
zone = "montevideo-a"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:7000"
admin = "[::1]:0"
[deployment]
name = "plata"
zones = ["montevideo-a", "montevideo-b"]
secret = "sixteen letters."
[platform]
log = "127.0.0.1:1"
host_list = "127.0.0.1:2"
[[peers]]
name = "entry-1"
address = "127.0.0.1:7000"
kind = "entry"
[[peers]]
name = "control-1"
address = "127.0.0.1:7001"
kind = "control"
[limits]
max_queue = 10
[timing]
heartbeat_ms = 500
[log]
level = "info"
)";

// Returns validText with the first occurrence of one line replaced.
auto changed(const std::string &line, const std::string &replacement) -> std::string
{
    auto text = validText;
    const auto position = text.find(line + "\n");
    REQUIRE(position != std::string::npos);
    return text.replace(position, line.size(), replacement);
}

auto examplePath(const std::string &site, const std::string &name) -> std::string
{
    std::string path = POPLARPASS_EXAMPLES_DIR;
    path.append("/").append(site).append("/").append(name).append(".toml");
    return path;
}

auto problemsOf(const std::string &text) -> std::vector<settings::settings_problem>
{
    const auto result = settings::parse(text, "test.toml");
    return result ? std::vector<settings::settings_problem>{} : result.error();
}

struct invalid_line
{
    std::string line;
    std::string replacement;
    std::string key;
    int number;
};

const std::vector<invalid_line> invalidLines{
    {"name = \"entry-1\"", "", "process.name", 0},
    {"name = \"entry-1\"", "name = \"two words\"", "process.name", 2},
    {"name = \"entry-1\"", "name = 7", "process.name", 2},
    {"region = \"uruguay\"", "region = \"\"", "process.region", 3},
    {"region = \"uruguay\"", "regoin = \"uruguay\"\nregion = \"uruguay\"", "process.regoin", 3},
    {"zone = \"montevideo-a\"", "zone = \"elsewhere\"", "process.zone", 4},
    {"[listen]", "[listen]\ncolour = 1", "listen.colour", 6},
    {"[listen]", "[other]\nkey = 1\n[listen]", "other.key", 6},
    {"callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1\"", "listen.callers", 6},
    {"callers = \"127.0.0.1:0\"", "callers = \"localhost:80\"", "listen.callers", 6},
    {"callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:65536\"", "listen.callers", 6},
    {"callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:\"", "listen.callers", 6},
    {"callers = \"127.0.0.1:0\"", "callers = \"::1:80\"", "listen.callers", 6},
    {"callers = \"127.0.0.1:0\"", "", "listen.callers", 0},
    {"callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:7000\"", "listen.peers", 7},
    {"admin = \"[::1]:0\"", "admin = \"127.0.0.1:7000\"", "listen.admin", 8},
    {"admin = \"[::1]:0\"", "admin = \"[::1]:0\"\nadvertise = \"127.0.0.1:9\"", "peers[0].address", 19},
    {"zones = [\"montevideo-a\", \"montevideo-b\"]", "zones = []", "deployment.zones", 11},
    {"zones = [\"montevideo-a\", \"montevideo-b\"]", "zones = [\"montevideo-a\", 1]", "deployment.zones", 11},
    {"zones = [\"montevideo-a\", \"montevideo-b\"]", "zones = [\"montevideo-a\", \"montevideo-a\"]", "deployment.zones",
     11},
    {"secret = \"sixteen letters.\"", "secret = \"fifteen letters\"", "deployment.secret", 12},
    {"secret = \"sixteen letters.\"", "", "deployment.secret", 0},
    {"secret = \"sixteen letters.\"", "secret = \"sixteen letters.\"\nsecret_file = \"x\"", "deployment.secret", 12},
    {"secret = \"sixteen letters.\"", "secret_file = \"no/such/file\"", "deployment.secret_file", 12},
    {"log = \"127.0.0.1:1\"", "", "platform.log", 0},
    {"[[peers]]", "[[peers]]\nport = 1", "peers[0].port", 17},
    {"kind = \"entry\"", "kind = \"worker\"", "peers[0].kind", 19},
    {"kind = \"entry\"", "", "peers[0].kind", 16},
    {"name = \"control-1\"", "name = \"entry-1\"", "peers[1].name", 21},
    {"address = \"127.0.0.1:7001\"", "address = \"127.0.0.1:7000\"", "peers[1].address", 22},
    {"address = \"127.0.0.1:7000\"", "address = \"127.0.0.1:7009\"", "peers[0].address", 18},
    {"max_queue = 10", "max_queue = 0", "limits.max_queue", 25},
    {"max_queue = 10", "max_queue = 1000001", "limits.max_queue", 25},
    {"max_queue = 10", "max_queue = 10.5", "limits.max_queue", 25},
    {"max_queue = 10", "max_queue = \"10\"", "limits.max_queue", 25},
    {"max_queue = 10", "max_queue = 99999999999999999999", "", 25},
    {"max_queue = 10", "max_queue = 10\nmax_queue = 11", "", 26},
    {"max_queue = 10", "key_retention_s = 60\nkey_clock_skew_s = 30", "limits.key_clock_skew_s", 26},
    {"heartbeat_ms = 500", "heartbeat_ms = 1000", "timing.heartbeat_ms", 27},
    {"heartbeat_ms = 500", "freshness_ms = 2001", "timing.removal_effect_ms", 0},
    {"heartbeat_ms = 500", "removal_effect_ms = 5999", "timing.removal_effect_ms", 27},
    {"heartbeat_ms = 500", "lease_renew_ms = 1500", "timing.lease_renew_ms", 27},
    {"level = \"info\"", "level = \"entry|control\"", "log.level", 29},
    {"level = \"info\"", "level = \"loud\"", "log.level", 29},
    {"level = \"info\"", "level = ", "", 29},
    {"level = \"info\"", "level = {,}", "", 29},
    {"[log]", "[=", "", 28},
};
} // namespace

TEST_CASE("valid settings are read, with defaults for missing keys", "[settings]")
{
    const auto result = settings::parse(validText, "test.toml");
    for (const auto &problem : problemsOf(validText)) {
        UNSCOPED_INFO(settings::describe(problem));
    }
    REQUIRE(result);
    CHECK(result->process.name == core::member_id{"entry-1"});
    CHECK(result->deployment.zones.size() == 2);
    CHECK(result->listen.advertise == "127.0.0.1:7000");
    CHECK(result->platform.collector.empty());
    CHECK(result->peers.at(1).kind == settings::peer_kind::control);
    CHECK(result->limits.maxQueue == 10);
    CHECK(result->limits.maxBodyBytes == 1 << 20);
    CHECK(result->limits.keyRetention == 900s);
    CHECK(result->timing.removalEffect == 6000ms);
}

TEST_CASE("each invalid line is reported with its key and line, and nothing else is", "[settings]")
{
    for (const auto &invalid : invalidLines) {
        const auto problems = problemsOf(changed(invalid.line, invalid.replacement));
        CAPTURE(invalid.line, invalid.replacement);
        for (const auto &problem : problems) {
            UNSCOPED_INFO(settings::describe(problem));
        }
        REQUIRE(problems.size() == 1);
        CHECK(problems[0].key == invalid.key);
        CHECK(problems[0].line == invalid.number);
        CHECK(problems[0].file == "test.toml");
        CHECK_FALSE(problems[0].expected.empty());
        CHECK_FALSE(problems[0].found.empty());
    }
}

TEST_CASE("all problems are reported at once, without the secret", "[settings]")
{
    const auto problems =
        problemsOf("[process]\nname = 1\nzone = 2\n[deployment]\nsecret = \"too short\"\n[log]\nx = 1\n");
    CHECK(problems.size() == 11);
    CHECK(std::ranges::is_sorted(problems, {}, &settings::settings_problem::line));
    for (const auto &problem : problems) {
        CHECK(settings::describe(problem).find("too short") == std::string::npos);
    }
    CHECK(settings::load("no/such/file").error().size() == 1);
}

TEST_CASE("the secret is read from a file", "[settings]")
{
    const std::string path = "settings_test_secret_" + std::to_string(getpid());
    std::ofstream{path} << "a secret in a file \n";
    const auto result =
        settings::parse(changed("secret = \"sixteen letters.\"", "secret_file = \"" + path + "\""), "t");
    std::remove(path.c_str());
    REQUIRE(result);
    CHECK(result->deployment.secret == "a secret in a file");
}

TEST_CASE("the key table is consistent and matches the configuration page", "[settings]")
{
    std::set<std::string_view> names;
    for (const auto &key : settings::keyTable()) {
        CHECK(names.insert(key.name).second);
        CHECK(settings::findKey(key.name) == &key);
        CHECK(key.minimum <= key.maximum);
        CHECK(key.store != nullptr);
        CHECK_FALSE((key.required && !key.defaultValue.empty()));
        CHECK(settings::describeKeys().find("`" + std::string{key.name} + "`") != std::string::npos);
    }
    std::ifstream file{std::string{POPLARPASS_EXAMPLES_DIR} + "/../docs/CONFIGURATION.md"};
    const std::string page{std::istreambuf_iterator<char>{file}, {}};
    CHECK(page.find(settings::describeKeys()) != std::string::npos);
}

TEST_CASE("the example settings are valid and share no address", "[settings]")
{
    for (const std::string site : {"plata", "adeyemi"}) {
        std::set<std::string> addresses;
        std::set<core::zone_id> zones;
        for (const std::string kind : {"entry", "control"}) {
            for (int number = 1; number <= 6; ++number) {
                const auto name = kind + "-" + std::to_string(number);
                const auto result = settings::load(examplePath(site, name));
                REQUIRE(result);
                CHECK(result->process.name.str() == name);
                CHECK(result->peers.size() == 12);
                zones.insert(result->process.zone);
                CHECK(addresses.insert(result->listen.peers).second);
                CHECK(addresses.insert(result->listen.admin).second);
                CHECK((kind == "control" || addresses.insert(result->listen.callers).second));
            }
        }
        CHECK(zones.size() == (site == "plata" ? 3 : 4));
    }
}

TEST_CASE("every mutated text either parses or yields problems", "[settings]")
{
    std::mt19937_64 random{tests::baseSeed()};
    const std::string alphabet = "[]=\"'.\n#0-9aztn+_:{},\\\x01\xff ";
    for (int round = 0; round < 3000; ++round) {
        auto text = validText;
        for (auto edits = random() % 8 + 1; edits > 0; --edits) {
            const auto position = random() % text.size();
            const auto length = random() % 12;
            const std::string piece(random() % 3, alphabet[random() % alphabet.size()]);
            text.replace(position, length, random() % 4 == 0 ? text.substr(random() % text.size(), 20) : piece);
        }
        const auto result = settings::parse(text, "test.toml");
        if (!result) {
            REQUIRE_FALSE(result.error().empty());
        }
    }
}
