// The parser asserts on some texts that are no TOML, as on "[=". Here an assertion throws instead, so that a bad file
// cannot end the process. This must be the only source of the program that calls toml::parse(): the parser is inline
// code of which the linker keeps one copy, and parts of it that have the same name differ with TOML_EXCEPTIONS and
// TOML_ASSERT.

#include <stdexcept>

namespace poplarpass::settings::internal
{
namespace
{
class parser_assertion : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};
} // namespace

// Named by the macro below from inside the parser, hence not in the unnamed namespace.
[[noreturn]] auto throwParserAssertion() -> void;

auto throwParserAssertion() -> void
{
    throw parser_assertion{"a key, a value or the end of a table was expected"};
}
} // namespace poplarpass::settings::internal

#undef NDEBUG
#define TOML_ASSERT(condition) ((condition) ? void() : poplarpass::settings::internal::throwParserAssertion())

#include <poplarpass/settings/toml_document.h>

namespace poplarpass::settings::internal
{
namespace
{
auto failsAssertion(std::string_view text) -> bool
{
    try {
        (void)toml::parse(text);
    } catch (const toml::parse_error &) {
        return false;
    } catch (const parser_assertion &) {
        return true;
    }
    return false;
}

// An assertion does not say where it stands, but it fails first when its line is the last one of the text.
auto lineOfAssertion(std::string_view text) -> int
{
    int line = 1;
    auto end = text.find('\n');
    while (end != std::string_view::npos && !failsAssertion(text.substr(0, end))) {
        ++line;
        end = text.find('\n', end + 1);
    }
    return line;
}
} // namespace

auto parseToml(std::string_view text, std::string_view fileName) -> tl::expected<toml::table, toml_syntax_problem>
{
    try {
        return toml::parse(text, fileName);
    } catch (const toml::parse_error &problem) {
        const auto line = static_cast<int>(problem.source().begin.line);
        return tl::make_unexpected(toml_syntax_problem{line, std::string{problem.description()}});
    } catch (const parser_assertion &problem) {
        return tl::make_unexpected(toml_syntax_problem{lineOfAssertion(text), problem.what()});
    }
}
} // namespace poplarpass::settings::internal
