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
/// \brief One thing that is wrong in a text of operators.
struct toml_problem
{
    std::string file; ///< Name of the file.
    int line = 0; ///< Line, from 1.
    std::string key; ///< Path of the key, such as "profile[2].max_out".
    std::string expected; ///< What should stand there.
    std::string found; ///< What does.

    auto operator==(const toml_problem &) const -> bool = default;
};

/// \brief Bytes of a text at most, so that one log record holds the text and what was parsed from it.
inline constexpr std::size_t maxFleetTextBytes = std::size_t{120} * 1024;

/// \brief A parsed configuration, or everything that is wrong in its text.
using fleet_result = tl::expected<config::fleet_config, std::vector<toml_problem>>;

/// \brief Parses the operators' TOML \p text.
/// \param file name of the file, for the problems
/// \sa config::checkConfig for what a parsed text must hold besides
auto parseFleet(std::string_view text, std::string_view file) -> fleet_result;

/// \brief One line for each problem: "FILE:LINE: KEY: expected EXPECTED, found FOUND".
auto textOf(std::span<const toml_problem> problems) -> std::string;
} // namespace poplarpass::settings
