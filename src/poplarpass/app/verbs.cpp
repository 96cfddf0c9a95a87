#include <poplarpass/app/command_line.h>
#include <poplarpass/app/control_process.h>
#include <poplarpass/app/entry_process.h>
#include <poplarpass/settings.h>

#include <optional>
#include <ostream>

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

auto runEntry(const parsed_options &options, console &streams) -> exit_code
{
    const auto loaded = loadSettings(options, streams);
    if (!loaded) {
        return exit_code::bad_settings;
    }
    // A run that was dropped from the member list forgets everything and joins again as a new one.
    for (;;) {
        entry_process process{*loaded};
        if (process.run() == entry_end::stopped) {
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
} // namespace

auto allVerbs() -> std::vector<verb>
{
    const option_spec config{"config", "settings file", true, true, ""};
    return {
        {"entry", "runs the entry process, which takes jobs of callers", "", {config}, runEntry},
        {"control", "runs the control process, which may hold the control role", "", {config}, runControl},
    };
}
} // namespace poplarpass::app
