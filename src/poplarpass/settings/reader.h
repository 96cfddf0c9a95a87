#pragma once

#include <poplarpass/settings/process_settings.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::settings
{
/// \brief One problem in a settings file.
struct settings_problem
{
    std::string file; ///< File that was read.
    int line = 0; ///< Line of the problem; 0 if there is none, as for a missing key.
    std::string key; ///< Affected key, such as "limits.max_queue" or "peers[2].address".
    std::string expected; ///< Accepted values.
    std::string found; ///< Value that was found.
};

/// \brief Settings, or all problems that were found.
using settings_result = tl::expected<process_settings, std::vector<settings_problem>>;

/// \brief Reads and checks the settings file at \p path.
auto load(std::string_view path) -> settings_result;

/// \brief Reads and checks settings from \p text.
/// \param fileName file name to report in problems
auto parse(std::string_view text, std::string_view fileName) -> settings_result;

/// \brief Formats \p problem as one line, such as "entry-1.toml:12: limits.max_queue: expected ..., found ...".
auto describe(const settings_problem &problem) -> std::string;

/// \brief Returns whether \p text is "IP:port" with an IPv4 address or a bracketed IPv6 address.
auto isAddress(std::string_view text) -> bool;
} // namespace poplarpass::settings
