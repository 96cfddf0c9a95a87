#include <poplarpass/app/command_line.h>
#include <poplarpass/app/control_process.h>
#include <poplarpass/settings.h>

#include <ostream>

namespace poplarpass::app
{
namespace
{
auto runControl(const parsed_options &options, console &streams) -> exit_code
{
    const auto loaded = settings::load(options.value("config"));
    if (!loaded) {
        for (const auto &problem : loaded.error()) {
            streams.err << settings::describe(problem) << '\n';
        }
        return exit_code::bad_settings;
    }
    control_process process{*loaded};
    process.run();
    return exit_code::success;
}
} // namespace

auto allVerbs() -> std::vector<verb>
{
    return {
        {"control", "runs the control process", "", {{"config", "settings file", true, true, ""}}, runControl},
    };
}
} // namespace poplarpass::app
