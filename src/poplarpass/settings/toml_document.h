#pragma once

#include <tl/expected.hpp>

#ifdef NDEBUG
#error "toml++ 3.3.0 is not safe for arbitrary texts when NDEBUG is set"
#endif

namespace poplarpass::settings::internal
{
/// \brief Throws parser_assertion; named by the macro below from inside the parser.
[[noreturn]] auto throwParserAssertion() -> void;
} // namespace poplarpass::settings::internal

// The parser asserts on some texts that are no TOML, as on "[=". Here an assertion throws instead, so that a bad file
// cannot end the process. Every source must include the library by this header: it is inline code whose classes differ
// with these macros.
#define TOML_ASSERT(condition) ((condition) ? void() : poplarpass::settings::internal::throwParserAssertion())
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
