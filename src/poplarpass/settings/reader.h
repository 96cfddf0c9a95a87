#pragma once

#include <poplarpass/settings/process_settings.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::settings
{
/// \brief One fault in a settings file.
struct settings_problem
{
    std::string file; ///< File that was read.
    int line = 0; ///< Line of the fault; 0 if it is the lack of something.
    std::string key; ///< Key at fault, as in "limits.max_queue" or "peers[2].address".
    std::string expected; ///< What would be accepted.
    std::string found; ///< What stands there.
};

/// \brief Settings, or every fault that was found.
using settings_result = tl::expected<process_settings, std::vector<settings_problem>>;

/// \brief Reads and checks the settings file at \p path.
auto load(std::string_view path) -> settings_result;

/// \brief Reads and checks settings from \p text.
/// \param fileName name to report in problems
auto parse(std::string_view text, std::string_view fileName) -> settings_result;

/// \brief \p problem as one line, as in "entry-1.toml:12: limits.max_queue: expected ..., found ...".
auto describe(const settings_problem &problem) -> std::string;

/// \brief Whether \p text is "IP:port" with an IPv4 address or a bracketed IPv6 address.
auto isAddress(std::string_view text) -> bool;
} // namespace poplarpass::settings
