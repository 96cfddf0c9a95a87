#pragma once

#include <tl/expected.hpp>

#ifdef NDEBUG
#error "toml++ 3.3.0 is not safe for arbitrary texts when NDEBUG is set"
#endif

namespace poplarpass::settings::internal
{
/// \brief Throws parser_assertion; called by the parser through the macro below.
[[noreturn]] auto throwParserAssertion() -> void;
} // namespace poplarpass::settings::internal

// The parser asserts on some invalid texts, such as "[=". A failed assertion throws instead, so that an invalid file
// cannot terminate the process. Every source file must include the library through this header: its inline classes
// depend on these macros.
#define TOML_ASSERT(condition) ((condition) ? void() : poplarpass::settings::internal::throwParserAssertion())
#include <toml++/toml.h>

#include <string>
#include <string_view>

namespace poplarpass::settings::internal
{
/// \brief Syntax error in a TOML text.
struct toml_syntax_problem
{
    int line = 0; ///< Line at which parsing stopped.
    std::string description; ///< Description of the error.
};

/// \brief Parses \p text; reports an error for any invalid content.
///
/// Expensive to compile: include only from source files of this folder.
/// \param fileName source name recorded in the nodes
auto parseToml(std::string_view text, std::string_view fileName) -> tl::expected<toml::table, toml_syntax_problem>;
} // namespace poplarpass::settings::internal
