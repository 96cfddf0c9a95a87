#include <poplarpass/settings/toml_document.h>

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

auto throwParserAssertion() -> void
{
    throw parser_assertion{"a syntax error where a key, a value or the end of a table is required"};
}
} // namespace poplarpass::settings::internal

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

// An assertion has no position; its line is the last one of the shortest leading part of the text on which it fails.
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
