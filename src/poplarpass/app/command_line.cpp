#include <poplarpass/app/command_line.h>
#include <poplarpass/app/verb_matcher.h>
#include <poplarpass/app/version.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <exception>
#include <ostream>
#include <utility>

namespace poplarpass::app
{
namespace
{
namespace options = boost::program_options;

constexpr auto positionalName = "argument";

auto describeOptions(const verb &chosen) -> options::options_description
{
    options::options_description description{"Options"};
    description.add_options()("help", "show this help");
    description.add_options()("version", "show the version");
    for (const auto &option : chosen.options) {
        if (!option.takesValue) {
            description.add_options()(option.name.c_str(), option.meaning.c_str());
            continue;
        }
        auto *value = options::value<std::string>();
        if (!option.defaultValue.empty()) {
            value->default_value(option.defaultValue);
        }
        description.add_options()(option.name.c_str(), value, option.meaning.c_str());
    }
    return description;
}

auto printVerbs(std::span<const verb> verbs, std::ostream &out) -> void
{
    constexpr std::size_t nameWidth = 18;
    for (const auto &listed : verbs) {
        const auto padding = listed.name.size() < nameWidth ? nameWidth - listed.name.size() : 1;
        out << "  " << listed.name << std::string(padding, ' ') << listed.meaning << '\n';
    }
    out << "\n'poplarpass VERB --help' shows the options of one verb.\n";
}

auto printOverview(std::span<const verb> verbs, std::ostream &out) -> void
{
    out << "poplarpass " << version() << ": fleet capacity and maintenance manager\n\n"
        << "Usage: poplarpass VERB [OPTION...]\n\nVerbs:\n";
    printVerbs(verbs, out);
}

auto printGroup(std::string_view group, std::span<const verb> members, std::ostream &out) -> void
{
    out << "Usage: poplarpass " << group << " VERB [OPTION...]\n\nVerbs of " << group << ":\n";
    printVerbs(members, out);
}

auto printHelp(const verb &chosen, std::span<const verb> verbs, std::ostream &out) -> void
{
    out << "Usage: poplarpass " << chosen.name << " [OPTION...]";
    if (!chosen.argumentNames.empty()) {
        out << ' ' << chosen.argumentNames;
    }
    out << "\n\n" << chosen.meaning << "\n\n" << describeOptions(chosen);
    if (const auto members = verbsOfGroup(chosen.name, verbs); !members.empty()) {
        out << "\nVerbs of " << chosen.name << ":\n";
        printVerbs(members, out);
    }
}

auto collect(const options::variables_map &values, const verb &chosen) -> parsed_options
{
    std::vector<parsed_options::entry> entries;
    for (const auto &option : chosen.options) {
        if (values.count(option.name) == 0) {
            continue;
        }
        entries.push_back({option.name, option.takesValue ? values[option.name].as<std::string>() : "true"});
    }
    std::vector<std::string> arguments;
    if (values.count(positionalName) != 0) {
        arguments = values[positionalName].as<std::vector<std::string>>();
    }
    return {std::move(entries), std::move(arguments)};
}

// "NAME" stands for exactly one argument, "[NAME]" for at most one and "NAME..." for at least one.
auto checkArgumentCount(const parsed_options &parsed, const verb &chosen) -> std::string
{
    const auto count = parsed.arguments().size();
    const auto &names = chosen.argumentNames;
    const std::size_t minCount = names.empty() || names.starts_with('[') ? 0 : 1;
    if (count < minCount) {
        return names + " is required";
    }
    const std::size_t maxCount = names.empty() ? 0 : 1;
    if (count > maxCount && !names.ends_with("...")) {
        return "unexpected argument '" + parsed.arguments()[maxCount] + "'";
    }
    return {};
}

auto checkOptions(const parsed_options &parsed, const verb &chosen) -> std::string
{
    for (const auto &option : chosen.options) {
        if (option.required && !parsed.has(option.name)) {
            return "--" + option.name + " is required";
        }
    }
    if (auto problem = checkArgumentCount(parsed, chosen); !problem.empty()) {
        return problem;
    }
    const auto format = parsed.value("format");
    if (!format.empty() && format != "text" && format != "json") {
        return "--format must be text or json, not '" + format + "'";
    }
    return {};
}

auto parse(const verb &chosen, std::span<const std::string> arguments) -> options::variables_map
{
    auto described = describeOptions(chosen);
    described.add_options()(positionalName, options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add(positionalName, -1);
    options::variables_map values;
    const std::vector<std::string> words{arguments.begin(), arguments.end()};
    options::store(options::command_line_parser{words}.options(described).positional(positional).run(), values);
    options::notify(values);
    return values;
}

auto runVerb(const verb &chosen, std::span<const std::string> arguments, std::span<const verb> verbs, console &streams)
    -> exit_code
{
    try {
        const auto values = parse(chosen, arguments);
        if (values.count("help") != 0) {
            printHelp(chosen, verbs, streams.out);
            return exit_code::success;
        }
        if (values.count("version") != 0) {
            streams.out << "poplarpass " << version() << '\n';
            return exit_code::success;
        }
        const auto parsed = collect(values, chosen);
        if (const auto problem = checkOptions(parsed, chosen); !problem.empty()) {
            streams.err << "poplarpass " << chosen.name << ": " << problem << "; see --help\n";
            return exit_code::usage;
        }
        return chosen.run(parsed, streams);
    } catch (const options::error &problem) {
        streams.err << "poplarpass " << chosen.name << ": " << problem.what() << "; see --help\n";
        return exit_code::usage;
    } catch (const std::exception &problem) {
        // For instance an address that is already in use; without this the process would abort.
        streams.err << "poplarpass " << chosen.name << ": " << problem.what() << '\n';
        return exit_code::failure;
    }
}

auto runGroup(std::span<const std::string> arguments, std::span<const verb> members, console &streams) -> exit_code
{
    const bool wantsHelp = std::ranges::find(arguments, "--help") != arguments.end();
    printGroup(arguments.front(), members, wantsHelp ? streams.out : streams.err);
    return wantsHelp ? exit_code::success : exit_code::usage;
}

auto rejectWords(const std::string &words, std::span<const verb> verbs, console &streams) -> exit_code
{
    streams.err << "poplarpass: unknown verb '" << words << "'; the nearest verb is '" << nearestVerb(words, verbs)
                << "'; see --help\n";
    return exit_code::usage;
}

// The next word after the name of a group selects a verb, unless the name is itself a verb that takes arguments.
auto isMisspelledMember(const verb_match &match, std::span<const std::string> arguments, std::span<const verb> verbs)
    -> bool
{
    const auto rest = arguments.subspan(match.words);
    return match.matched->argumentNames.empty() && !rest.empty() && !rest.front().starts_with('-')
        && !verbsOfGroup(match.matched->name, verbs).empty();
}
} // namespace

parsed_options::parsed_options(std::vector<entry> entries, std::vector<std::string> arguments)
    : m_entries{std::move(entries)}
    , m_arguments{std::move(arguments)}
{
}

auto parsed_options::value(std::string_view name) const -> std::string
{
    const auto found = std::ranges::find(m_entries, name, &entry::name);
    return found == m_entries.end() ? std::string{} : found->value;
}

auto parsed_options::has(std::string_view name) const -> bool
{
    return std::ranges::find(m_entries, name, &entry::name) != m_entries.end();
}

auto parsed_options::arguments() const -> std::span<const std::string>
{
    return m_arguments;
}

auto parsed_options::format() const -> output_format
{
    return value("format") == "json" ? output_format::json : output_format::text;
}

auto runCommandLine(std::span<const std::string> arguments, std::span<const verb> verbs, console &streams) -> exit_code
{
    if (const auto repeated = repeatedVerb(verbs); !repeated.empty()) {
        streams.err << "poplarpass: verb '" << repeated << "' is registered twice\n";
        return exit_code::failure;
    }
    if (arguments.empty()) {
        printOverview(verbs, streams.err);
        return exit_code::usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "help") {
        printOverview(verbs, streams.out);
        return exit_code::success;
    }
    if (arguments.front() == "--version") {
        streams.out << "poplarpass " << version() << '\n';
        return exit_code::success;
    }
    const auto match = matchVerb(arguments, verbs);
    if (match.matched != nullptr && !isMisspelledMember(match, arguments, verbs)) {
        return runVerb(*match.matched, arguments.subspan(match.words), verbs, streams);
    }
    const auto words = verbWords(arguments, verbs);
    if (words.empty()) {
        streams.err << "poplarpass: unknown option '" << arguments.front() << "'; see --help\n";
        return exit_code::usage;
    }
    if (const auto members = verbsOfGroup(arguments.front(), verbs); words == arguments.front() && !members.empty()) {
        return runGroup(arguments, members, streams);
    }
    return rejectWords(words, verbs, streams);
}
} // namespace poplarpass::app
