#include <poplarpass/app/command_line.h>
#include <poplarpass/app/version.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <ostream>
#include <utility>

namespace poplarpass::app
{
namespace
{
namespace options = boost::program_options;

constexpr auto positionalName = "argument";

auto splitWords(std::string_view name) -> std::vector<std::string>
{
    std::vector<std::string> words;
    std::size_t begin = 0;
    while (begin < name.size()) {
        const auto end = std::min(name.find(' ', begin), name.size());
        words.emplace_back(name.substr(begin, end - begin));
        begin = end + 1;
    }
    return words;
}

auto startsWith(std::span<const std::string> arguments, std::span<const std::string> words) -> bool
{
    return arguments.size() >= words.size() && std::equal(words.begin(), words.end(), arguments.begin());
}

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

auto printOverview(std::span<const verb> verbs, std::ostream &out) -> void
{
    out << "poplarpass " << version() << ": fleet capacity and maintenance manager\n\n"
        << "Usage: poplarpass VERB [OPTION...]\n\nVerbs:\n";
    for (const auto &candidate : verbs) {
        out << "  " << candidate.name << std::string(candidate.name.size() < 18 ? 18 - candidate.name.size() : 1, ' ')
            << candidate.meaning << '\n';
    }
    out << "\n'poplarpass VERB --help' shows the options of one verb.\n";
}

auto printHelp(const verb &chosen, std::ostream &out) -> void
{
    out << "Usage: poplarpass " << chosen.name << " [OPTION...]";
    if (!chosen.argumentNames.empty()) {
        out << ' ' << chosen.argumentNames;
    }
    out << "\n\n" << chosen.meaning << "\n\n" << describeOptions(chosen);
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

auto checkOptions(const parsed_options &parsed, const verb &chosen) -> std::string
{
    for (const auto &option : chosen.options) {
        if (option.required && !parsed.has(option.name)) {
            return "--" + option.name + " is required";
        }
    }
    if (!parsed.arguments().empty() && chosen.argumentNames.empty()) {
        return "unexpected argument '" + parsed.arguments().front() + "'";
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

auto runVerb(const verb &chosen, std::span<const std::string> arguments, console &streams) -> exit_code
{
    try {
        const auto values = parse(chosen, arguments);
        if (values.count("help") != 0) {
            printHelp(chosen, streams.out);
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
    }
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
    for (const auto &candidate : verbs) {
        const auto words = splitWords(candidate.name);
        if (startsWith(arguments, words)) {
            return runVerb(candidate, arguments.subspan(words.size()), streams);
        }
    }
    streams.err << "poplarpass: unknown verb '" << arguments.front() << "'; see --help\n";
    return exit_code::usage;
}
} // namespace poplarpass::app
