#include <poplarpass/host/events.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace
{
namespace host = poplarpass::host;

const std::filesystem::path root = std::filesystem::path{POPLARPASS_EXAMPLES_DIR}.parent_path();

auto readFile(const std::filesystem::path &file) -> std::string
{
    std::ostringstream text;
    text << std::ifstream{file}.rdbuf();
    return text.str();
}

auto collectMatches(const std::string &text, const std::regex &pattern, std::set<std::string> &found) -> void
{
    for (std::sregex_iterator match{text.begin(), text.end(), pattern}; match != std::sregex_iterator{}; ++match) {
        for (std::size_t group = 1; group < match->size(); ++group) {
            if ((*match)[group].matched) {
                found.insert((*match)[group].str());
            }
        }
    }
}

/// \brief Returns the event names found in the sources of \p module.
auto eventsIn(const std::string &module) -> std::set<std::string>
{
    const std::regex logged{R"re(log_level::\w+,\s*"(\w+)")re"};
    const std::regex chosen{R"re(log\([^;"]*\?\s*"(\w+)"\s*:\s*"(\w+)")re"};
    const std::regex named{R"re(logEvent\("(\w+)")re"};
    std::set<std::string> found;
    for (const auto &entry : std::filesystem::directory_iterator{root / "src/poplarpass" / module}) {
        const auto text = entry.path().extension() == ".cpp" ? readFile(entry.path()) : std::string{};
        for (const auto &pattern : {logged, chosen, named}) {
            collectMatches(text, pattern, found);
        }
    }
    return found;
}
} // namespace

TEST_CASE("The list of events contains exactly the events that a host can log", "[events]")
{
    auto inSources = eventsIn("host");
    inSources.merge(eventsIn("jobs"));
    std::set<std::string> listed;
    for (const auto &event : host::allEvents()) {
        CHECK_FALSE(event.meaning.empty());
        listed.insert(std::string{event.name});
    }
    for (const auto &name : inSources) {
        CAPTURE(name);
        CHECK(listed.contains(name));
    }
    for (const auto &name : listed) {
        CAPTURE(name);
        CHECK(inSources.contains(name));
    }
}

TEST_CASE("The operations page contains the list of events as printed by the program", "[events]")
{
    CHECK(std::ranges::is_sorted(host::allEvents(), {}, &host::event_description::name));
    CHECK(readFile(root / "docs/OPERATIONS.md").find(host::describeEvents()) != std::string::npos);
}
