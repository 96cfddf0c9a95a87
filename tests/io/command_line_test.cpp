#include <poplarpass/app/command_line.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <stdexcept>

using namespace poplarpass::app;

namespace
{
struct outcome
{
    exit_code code;
    std::string out;
    std::string err;
};

auto run(const std::vector<std::string> &arguments, const std::vector<verb> &verbs = allVerbs()) -> outcome
{
    std::ostringstream out;
    std::ostringstream err;
    console streams{out, err};
    const auto code = runCommandLine(arguments, verbs, streams);
    return {code, out.str(), err.str()};
}

auto makeVerb(std::string name, std::string argumentNames = {}) -> verb
{
    auto print = [name](const parsed_options &options, console &streams) {
        streams.out << "ran " << name;
        for (const auto &argument : options.arguments()) {
            streams.out << ' ' << argument;
        }
        return exit_code::success;
    };
    return {std::move(name), "meaning", std::move(argumentNames), {}, std::move(print)};
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}
} // namespace

// Guards against a verb that hides the verbs of a group with the same first word, such as "host" and "host show".
TEST_CASE("The longest verb that the arguments start with is run, in any order of registration", "[app]")
{
    const auto inGroup = makeVerb("host show", "[HOST]");
    for (const auto &verbs : {std::vector{makeVerb("host"), inGroup}, std::vector{inGroup, makeVerb("host")}}) {
        CHECK(run({"host", "show", "a"}, verbs).out == "ran host show a");
        CHECK(run({"host"}, verbs).out == "ran host");
    }
    CHECK(contains(run({"host", "show", "--help"}).out, "Usage: poplarpass host show"));
}

// Guards against two meanings of one name, of which only the first can be reached.
TEST_CASE("Each verb is registered once", "[app]")
{
    std::set<std::string> names;
    for (const auto &registered : allVerbs()) {
        CAPTURE(registered.name);
        CHECK(names.insert(registered.name).second);
    }
}

TEST_CASE("A second registration of a verb fails at start", "[app]")
{
    const std::vector verbs{makeVerb("job show"), makeVerb("host"), makeVerb("job show")};
    for (const auto &arguments : {std::vector<std::string>{"host"}, {"--help"}, {}}) {
        const auto result = run(arguments, verbs);
        CHECK(result.code == exit_code::failure);
        CHECK(result.out.empty());
        CHECK(contains(result.err, "verb 'job show' is registered twice"));
    }
}

TEST_CASE("A group with --help lists exactly its verbs", "[app]")
{
    const auto result = run({"config", "--help"});
    CHECK(result.code == exit_code::success);
    CHECK(result.err.empty());
    for (const auto &registered : allVerbs()) {
        CAPTURE(registered.name);
        CHECK(contains(result.out, "\n  " + registered.name + ' ') == registered.name.starts_with("config "));
    }
    const auto host = run({"host", "--help"});
    CHECK(host.code == exit_code::success);
    CHECK(contains(host.out, "Usage: poplarpass host [OPTION...]"));
    CHECK(contains(host.out, "\n  host show "));
}

TEST_CASE("A group without a verb is a usage error that lists the verbs of the group", "[app]")
{
    for (const auto &arguments : {std::vector<std::string>{"config"}, {"config", "--format=json"}}) {
        const auto result = run(arguments);
        CHECK(result.code == exit_code::usage);
        CHECK(result.out.empty());
        CHECK(contains(result.err, "config check"));
        CHECK_FALSE(contains(result.err, "unknown verb"));
    }
}

TEST_CASE("For unknown words the error names the nearest verb", "[app]")
{
    struct example
    {
        std::vector<std::string> arguments;
        std::string unknown;
        std::string nearest;
    };
    const std::vector<example> examples{{{"hots", "--config", "a"}, "hots", "host"},
                                        {{"profile", "pubish", "--fleet", "a"}, "profile pubish", "profile publish"},
                                        {{"profil", "publish"}, "profil publish", "profile publish"},
                                        {{"wave", "strat", "name"}, "wave strat", "wave start"},
                                        {{"host", "shwo", "--config", "a"}, "host shwo", "host show"},
                                        {{"statsu"}, "statsu", "status"},
                                        {{"config", "event"}, "config event", "config events"}};
    for (const auto &[arguments, unknown, nearest] : examples) {
        const auto result = run(arguments);
        CAPTURE(result.err);
        CHECK(result.code == exit_code::usage);
        CHECK(result.out.empty());
        CHECK(contains(result.err, "unknown verb '" + unknown + "'"));
        CHECK(contains(result.err, "the nearest verb is '" + nearest + "'"));
    }
}

TEST_CASE("A verb that throws fails with the reason on standard error", "[app]")
{
    auto throwing = makeVerb("job show");
    throwing.run = [](const parsed_options &, console &) -> exit_code {
        throw std::runtime_error{"address in use"};
    };
    const auto result = run({"job", "show"}, {throwing});
    CHECK(result.code == exit_code::failure);
    CHECK(result.err == "poplarpass job show: address in use\n");
}

TEST_CASE("Every verb shows its help and rejects an unknown option", "[app]")
{
    for (const auto &registered : allVerbs()) {
        CAPTURE(registered.name);
        std::vector<std::string> arguments;
        std::istringstream words{registered.name};
        for (std::string word; words >> word;) {
            arguments.push_back(word);
        }
        arguments.emplace_back("--help");
        const auto help = run(arguments);
        CHECK(help.code == exit_code::success);
        CHECK(contains(help.out, "Usage: poplarpass " + registered.name + " [OPTION...]"));
        CHECK(contains(help.out, registered.meaning));
        arguments.back() = "--no-such-option";
        const auto rejected = run(arguments);
        CHECK(rejected.code == exit_code::usage);
        CHECK(rejected.out.empty());
        CHECK(contains(rejected.err, "poplarpass " + registered.name + ": "));
    }
}
