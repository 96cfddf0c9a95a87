#include <poplarpass/app/operator_session.h>
#include <poplarpass/app/operator_verbs.h>
#include <poplarpass/config.h>
#include <poplarpass/settings/fleet_file.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <ostream>
#include <sstream>

namespace poplarpass::app
{
namespace
{
using nlohmann::json;

struct fleet_text
{
    std::string text;
    config::fleet_config config;
};

auto readFleet(const std::string &path, console &streams) -> std::optional<fleet_text>
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        streams.err << path << ": cannot open file\n";
        return std::nullopt;
    }
    std::ostringstream contents;
    contents << file.rdbuf();
    auto parsed = settings::parseFleet(contents.str(), path);
    if (!parsed) {
        streams.err << settings::textOf(parsed.error()) << '\n';
        return std::nullopt;
    }
    return fleet_text{contents.str(), *std::move(parsed)};
}

auto validate(const parsed_options &options, console &streams) -> exit_code
{
    const auto fleet = readFleet(options.value("fleet"), streams);
    if (!fleet) {
        return exit_code::bad_settings;
    }
    auto problems = config::checkConfig(fleet->config);
    if (options.has("config")) {
        const auto opened = openSession(options, streams);
        if (!opened) {
            return opened.error();
        }
        auto &session = **opened;
        problems = config::checkRevision(fleet->config, session.state().config(), session.state().hosts());
    }
    if (!problems.empty()) {
        streams.err << config::textOf(problems) << '\n';
        return exit_code::refused;
    }
    streams.out << "valid\n";
    return exit_code::success;
}

auto basedOn(const parsed_options &options, std::uint64_t inForce) -> std::optional<std::uint64_t>
{
    const auto text = options.value("based-on");
    if (text.empty()) {
        return inForce;
    }
    std::uint64_t revision = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    const bool isComplete = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return isComplete ? std::optional{revision} : std::nullopt;
}

auto publish(const parsed_options &options, console &streams) -> exit_code
{
    const auto fleet = readFleet(options.value("fleet"), streams);
    if (!fleet) {
        return exit_code::bad_settings;
    }
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    const auto base = basedOn(options, session.state().revision());
    if (!base) {
        streams.err << "--based-on must be a revision number\n";
        return exit_code::usage;
    }
    const replication::config_record change{*base, options.value("operator"), fleet->text, fleet->config};
    const auto outcome = session.publish(session.makeRecordId("config"), change);
    const auto exitCode = reportOutcome(outcome, "revision", options, streams);
    const bool isConflict = outcome.problem && outcome.problem->kind == core::error_kind::revision_conflict;
    if (isConflict) {
        streams.err << "the revision in force is " << session.state().revision()
                    << "; it differs from the submitted file by:\n"
                    << config::textOf(config::diffOf(fleet->config, session.state().config())) << '\n';
    }
    return exitCode;
}

auto profileJson(const config::profile &profile) -> json
{
    return {{"name", profile.name.str()},
            {"headroom", profile.headroom},
            {"loss_domain", config::nameOf(profile.lossDomain)},
            {"max_lost", profile.maxLost},
            {"max_out", profile.maxOut},
            {"calendar", profile.calendar},
            {"max_lent", profile.maxLent},
            {"max_borrowed", profile.maxBorrowed}};
}

auto printProfile(const config::profile &profile, const parsed_options &options, console &streams) -> void
{
    if (options.format() == output_format::json) {
        streams.out << profileJson(profile).dump() << '\n';
        return;
    }
    streams.out << profile.name.str() << " headroom=" << profile.headroom
                << " loss_domain=" << config::nameOf(profile.lossDomain) << " max_lost=" << profile.maxLost
                << " max_out=" << profile.maxOut << " calendar=" << profile.calendar << " max_lent=" << profile.maxLent
                << " max_borrowed=" << profile.maxBorrowed << '\n';
}

auto list(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    for (const auto &profile : session.state().config().profiles) {
        printProfile(profile, options, streams);
    }
    return exit_code::success;
}

auto show(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    const auto *profile = session.state().findProfile(core::profile_id{options.arguments().front()});
    if (profile == nullptr) {
        streams.err << "no profile '" << options.arguments().front() << "'\n";
        return exit_code::failure;
    }
    printProfile(*profile, options, streams);
    return exit_code::success;
}

auto diff(const parsed_options &options, console &streams) -> exit_code
{
    const auto fleet = readFleet(options.value("fleet"), streams);
    if (!fleet) {
        return exit_code::bad_settings;
    }
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    streams.out << "revision " << session.state().revision() << " to " << options.value("fleet") << ":\n"
                << config::textOf(config::diffOf(session.state().config(), fleet->config)) << '\n';
    return exit_code::success;
}

auto history(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    for (const auto &revision : session.revisions()) {
        const std::string result{revision.outcome.accepted      ? "accepted"
                                     : revision.outcome.refusal ? core::errorSpecOf(revision.outcome.refusal->kind).name
                                                                : "repeated"};
        if (options.format() == output_format::json) {
            const json line{{"revision", revision.offset},
                            {"based_on", revision.record.basedOn},
                            {"operator", revision.record.operatorName},
                            {"result", result}};
            streams.out << line.dump() << '\n';
        } else {
            streams.out << "revision=" << revision.offset << " based_on=" << revision.record.basedOn
                        << " operator=" << revision.record.operatorName << " result=" << result << '\n';
        }
    }
    streams.err << "revisions older than the newest snapshot are not shown\n";
    return exit_code::success;
}
} // namespace

auto reportOutcome(const replication::publish_outcome &outcome, std::string_view what, const parsed_options &options,
                   console &streams) -> exit_code
{
    const auto result = replication::nameOf(outcome.result);
    const std::string problem{outcome.problem ? core::errorSpecOf(outcome.problem->kind).name : std::string_view{}};
    const std::string detail{outcome.problem ? outcome.problem->detail : std::string{}};
    if (options.format() == output_format::json) {
        const json line{
            {"what", what}, {"result", result}, {"offset", outcome.offset}, {"error", problem}, {"detail", detail}};
        streams.out << line.dump() << '\n';
    } else {
        streams.out << what << ' ' << result;
        if (outcome.offset != 0) {
            streams.out << " offset=" << outcome.offset;
        }
        if (outcome.problem) {
            streams.out << " error=" << problem << " detail=\"" << detail << '"';
        }
        streams.out << '\n';
    }
    switch (outcome.result) {
    case replication::publish_result::accepted:
        return exit_code::success;
    case replication::publish_result::refused:
        return exit_code::refused;
    case replication::publish_result::not_accepted:
        return exit_code::failure;
    case replication::publish_result::unknown:
        return exit_code::unknown_outcome;
    }
    return exit_code::failure;
}

auto configOption() -> option_spec
{
    return {"config", "settings file of any process of the deployment", true, true, ""};
}

auto formatOption() -> option_spec
{
    return {"format", "text or json", true, false, "text"};
}

auto profileVerbs() -> std::vector<verb>
{
    const option_spec fleet{"fleet", "fleet file with the profiles and pools", true, true, ""};
    const option_spec anyConfig{"config", "settings file; also checks against the revision in force and the hosts",
                                true, false, ""};
    const option_spec base{"based-on", "revision on which the fleet file is based; default: the revision in force",
                           true, false, ""};
    const option_spec who{"operator", "name of the operator, stored with the revision", true, false, "operator"};
    return {
        {"profile validate", "checks a fleet file without publishing it", "", {fleet, anyConfig}, validate},
        {"profile publish",
         "publishes a fleet file as the next revision",
         "",
         {configOption(), fleet, base, who, formatOption()},
         publish},
        {"profile list", "lists the profiles in force", "", {configOption(), formatOption()}, list},
        {"profile show", "shows one profile in force", "NAME", {configOption(), formatOption()}, show},
        {"profile diff",
         "shows the differences from the revision in force to a fleet file",
         "",
         {configOption(), fleet},
         diff},
        {"profile history", "lists the revisions that the log retains", "", {configOption(), formatOption()}, history},
    };
}
} // namespace poplarpass::app
