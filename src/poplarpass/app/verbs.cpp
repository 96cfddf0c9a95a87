#include <poplarpass/app/capacity_report.h>
#include <poplarpass/app/command_line.h>
#include <poplarpass/app/control_process.h>
#include <poplarpass/app/entry_process.h>
#include <poplarpass/app/explain_verb.h>
#include <poplarpass/app/operator_verbs.h>
#include <poplarpass/host/events.h>
#include <poplarpass/host/host_process.h>
#include <poplarpass/settings.h>
#include <poplarpass/settings/host_settings.h>

#include <algorithm>
#include <iostream>
#include <iterator>
#include <optional>
#include <ostream>
#include <platform/access.h>

namespace poplarpass::app
{
namespace
{
auto loadSettings(const parsed_options &options, console &streams) -> std::optional<settings::process_settings>
{
    const auto loaded = settings::load(options.value("config"));
    if (loaded) {
        return *loaded;
    }
    for (const auto &problem : loaded.error()) {
        streams.err << settings::describe(problem) << '\n';
    }
    return std::nullopt;
}

auto checkConfig(const parsed_options &options, console &streams) -> exit_code
{
    bool valid = true;
    for (const auto &file : options.arguments()) {
        const auto loaded = settings::load(file);
        if (loaded) {
            streams.out << file << ": valid\n";
            continue;
        }
        valid = false;
        for (const auto &problem : loaded.error()) {
            streams.err << settings::describe(problem) << '\n';
        }
    }
    return valid ? exit_code::success : exit_code::bad_settings;
}

auto printKeys(const parsed_options &, console &streams) -> exit_code
{
    streams.out << settings::describeKeys();
    return exit_code::success;
}

auto printErrors(const parsed_options &, console &streams) -> exit_code
{
    streams.out << describeErrors();
    return exit_code::success;
}

auto printEvents(const parsed_options &, console &streams) -> exit_code
{
    streams.out << host::describeEvents();
    return exit_code::success;
}

auto runEntry(const parsed_options &options, console &streams) -> exit_code
{
    const auto loaded = loadSettings(options, streams);
    if (!loaded) {
        return exit_code::bad_settings;
    }
    // After its removal from the member list the entry discards its state and joins again as a new incarnation.
    for (;;) {
        entry_process process{*loaded};
        if (process.run() == entry_stop_reason::stopped) {
            return exit_code::success;
        }
    }
}

auto runControl(const parsed_options &options, console &streams) -> exit_code
{
    const auto loaded = loadSettings(options, streams);
    if (!loaded) {
        return exit_code::bad_settings;
    }
    control_process process{*loaded};
    process.run();
    return exit_code::success;
}

auto explain(const parsed_options &options, console &streams) -> exit_code
{
    const auto &job = options.arguments().front();
    if (explainJob(job, std::cin, streams.out) == 0) {
        streams.err << "no log line mentions job " << job << '\n';
        return exit_code::failure;
    }
    return exit_code::success;
}

auto reportCapacity(const parsed_options & /*options*/, console &streams) -> exit_code
{
    const auto moments = readCapacityMoments(std::cin);
    if (!moments) {
        streams.err << "line " << moments.error().line << ": " << moments.error().detail << '\n';
        return exit_code::failure;
    }
    if (moments->empty()) {
        streams.err << "no pool_load line: the log of the pools' owner is needed\n";
        return exit_code::failure;
    }
    printCapacityReport(*moments, streams.out);
    return exit_code::success;
}

auto runHost(const parsed_options &options, console &streams) -> exit_code
{
    const auto path = options.value("config");
    auto loaded = settings::loadHostSettings(path);
    if (!loaded) {
        streams.err << settings::textOf(loaded.error());
        return exit_code::bad_settings;
    }
    host::host_process process{std::move(*loaded), path, ::platform::makePlatformAccess()};
    process.run();
    return exit_code::success;
}
} // namespace

auto allVerbs() -> std::vector<verb>
{
    const option_spec config{"config", "settings file", true, true, ""};
    std::vector<verb> verbs{
        {"host", "runs the host process on the users' platform", "", {config}, runHost},
        {"job explain",
         "prints the log lines of a job, in order of time, from the logs of all hosts on standard input",
         "ID",
         {},
         explain},
        {"capacity report",
         "prints what each pool's hosts were held for, from the log of the pools' owner on standard input",
         "",
         {},
         reportCapacity},
        {"entry", "runs the entry process, which accepts jobs from callers", "", {config}, runEntry},
        {"control", "runs the control process, a candidate for the control role", "", {config}, runControl},
        {"config check", "checks settings files and reports all errors", "FILE...", {}, checkConfig},
        {"config keys", "prints the table of settings", "", {}, printKeys},
        {"config errors", "prints the table of error kinds", "", {}, printErrors},
        {"config events", "prints the table of events that a host logs", "", {}, printEvents},
    };
    for (auto group : {profileVerbs(), waveVerbs(), statusVerbs(), accountVerbs()}) {
        std::ranges::move(group, std::back_inserter(verbs));
    }
    return verbs;
}
} // namespace poplarpass::app
