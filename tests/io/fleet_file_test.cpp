#include "test_seed.h"

#include <poplarpass/codec.h>
#include <poplarpass/config.h>
#include <poplarpass/settings/fleet_file.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <random>
#include <sstream>

namespace config = poplarpass::config;
namespace codec = poplarpass::codec;
namespace replication = poplarpass::replication;
namespace settings = poplarpass::settings;

namespace
{
auto readExample(const std::string &name) -> std::string
{
    std::ifstream file{std::string{POPLARPASS_EXAMPLES_DIR} + "/" + name};
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
} // namespace

TEST_CASE("the example fleet files parse and pass the configuration check", "[settings]")
{
    for (const std::string site : {"plata", "adeyemi"}) {
        const auto parsed = settings::parseFleet(readExample(site + "/fleet.toml"), site);
        REQUIRE(parsed);
        CHECK(parsed->pools.size() == 5);
        CHECK(parsed->services.size() >= 5);
        CHECK(std::ranges::count_if(parsed->pools, &config::pool::spare) == 1);
        const auto problems = config::checkConfig(*parsed);
        INFO(config::textOf(problems));
        CHECK(problems.empty());
    }
}

TEST_CASE("all problems are reported at once with line, key, expected and found", "[settings]")
{
    constexpr std::string_view text = R"([weights]
buffer_cost = "much"
moves = 1

[[calendar]]
name = "nights"
utc_offset_minutes = 9000
[[calendar.window]]
days = ["mon", "moon"]
start = "25:00"
length_minutes = 60

[[pool]]
name = "quotes"
profile = 7
demand = 3
)";
    const auto parsed = settings::parseFleet(text, "fleet.toml");
    REQUIRE_FALSE(parsed);
    const auto report = settings::textOf(parsed.error());
    INFO(report);
    CHECK(parsed.error().size() == 7);
    CHECK(report.find("fleet.toml:2: weights.buffer_cost: expected a number from 0 to 1e+09, found 'much'")
          != std::string::npos);
    CHECK(report.find("fleet.toml:7: calendar[1].utc_offset_minutes: expected an integer from -840 to 840, "
                      "found 9000")
          != std::string::npos);
    CHECK(report.find("fleet.toml:9: calendar[1].window[1].days: expected mon, tue") != std::string::npos);
    CHECK(report.find("fleet.toml:10: calendar[1].window[1].start: expected a time such as 22:30, found 25:00")
          != std::string::npos);
    CHECK(report.find("fleet.toml:15: pool[1].profile: expected a non-empty string, found 7") != std::string::npos);
    CHECK(report.find("pool[1].demand_slots: expected an integer from 0 to 1000000, found nothing")
          != std::string::npos);
    CHECK(report.find("fleet.toml:16: pool[1].demand: expected a known key, found 3") != std::string::npos);
}

TEST_CASE("a fleet file of the maximum size fits into one log record", "[settings]")
{
    std::string text;
    while (text.size() < settings::maxFleetTextBytes - 100) {
        text += "[[team]]\nname=\"t" + std::to_string(text.size()) + "\"\nquota_slots=1\nweight=1\n";
    }
    const auto parsed = settings::parseFleet(text, "f");
    REQUIRE(parsed);
    const auto record = codec::encodeRecord(replication::config_record{0, "ana", text, *parsed});
    CHECK(record.size() <= codec::maxRecordBytes);
    CHECK(codec::decodeRecord(record));
    CHECK_FALSE(settings::parseFleet(text + std::string(200, ' '), "f"));
}

TEST_CASE("a TOML syntax error is reported with its line", "[settings]")
{
    const auto parsed = settings::parseFleet("[weights]\nmoves = = 2\n", "f");
    REQUIRE_FALSE(parsed);
    REQUIRE(parsed.error().size() == 1);
    CHECK(parsed.error().front().line == 2);
}

TEST_CASE("mutated texts never crash the parser", "[settings]")
{
    std::mt19937_64 random{tests::baseSeed()};
    const auto original = readExample("plata/fleet.toml");
    for (int round = 0; round < 1500; ++round) {
        auto text = original.substr(0, 400 + random() % 1200);
        for (std::size_t edit = 0; edit < 1 + random() % 4; ++edit) {
            const auto position = random() % text.size();
            if (random() % 2 == 0) {
                text[position] = static_cast<char>(random());
            } else {
                text.erase(position, 1 + random() % 20);
            }
        }
        const auto parsed = settings::parseFleet(text, "f");
        CHECK((parsed || !parsed.error().empty()));
    }
}

TEST_CASE("a table header without a key is an error", "[settings]")
{
    for (const std::string_view text : {"[\n", "[= 1", "[[\nx", "[", "[["}) {
        INFO(text);
        CHECK_FALSE(settings::parseFleet(text, "f"));
    }
}
