#pragma once

#include <poplarpass/config/fleet_config.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::settings
{
/// \brief One problem in a TOML file.
struct toml_problem
{
    std::string file; ///< Name of the file.
    int line = 0; ///< Line, from 1; 0 if the file cannot be read.
    std::string key; ///< Path of the key, such as "profile[2].max_out".
    std::string expected; ///< Accepted values.
    std::string found; ///< Value that was found.

    auto operator==(const toml_problem &) const -> bool = default;
};

/// \brief Maximum size of a fleet file, bytes; one log record must hold the text and the parsed configuration.
inline constexpr std::size_t maxFleetTextBytes = std::size_t{120} * 1024;

/// \brief Parsed configuration, or all problems in its text.
using fleet_result = tl::expected<config::fleet_config, std::vector<toml_problem>>;

/// \brief Parses the TOML \p text of a fleet file.
/// \param file file name to report in problems
/// \sa config::checkConfig for the checks of a parsed configuration
auto parseFleet(std::string_view text, std::string_view file) -> fleet_result;

/// \brief Formats one line for each problem: "FILE:LINE: KEY: expected EXPECTED, found FOUND".
auto textOf(std::span<const toml_problem> problems) -> std::string;
} // namespace poplarpass::settings
