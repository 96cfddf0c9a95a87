#pragma once

#include <tl/expected.hpp>
#include <toml++/toml.h>

#include <string>
#include <string_view>

namespace poplarpass::settings::internal
{
/// \brief Why a text is no TOML.
struct toml_syntax_problem
{
    int line = 0; ///< Line at which reading stopped.
    std::string description; ///< What is wrong, in words.
};

/// \brief Parses \p text, whatever it contains. Heavy: include it in sources of this folder only.
/// \param fileName name that nodes give as their source
auto parseToml(std::string_view text, std::string_view fileName) -> tl::expected<toml::table, toml_syntax_problem>;
} // namespace poplarpass::settings::internal
