#pragma once

#include <poplarpass/app/exit_code.h>

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::app
{
/// \brief How verbs print what programs may read.
enum class output_format {
    text, ///< Lines for people.
    json, ///< One JSON document.
};

/// \brief Option of a verb.
struct option_spec
{
    std::string name; ///< Long name without dashes.
    std::string meaning; ///< One line for --help.
    bool takesValue = true; ///< Whether a value follows.
    bool required = false; ///< Whether the verb cannot run without it.
    std::string defaultValue; ///< Value when it is not given; empty for none.
};

/// \brief Options of one call of a verb, checked against its specification.
class parsed_options
{
public:
    struct entry
    {
        std::string name;
        std::string value;
    };

    parsed_options(std::vector<entry> entries, std::vector<std::string> arguments);

    /// \brief Value of the option \p name; empty when it was not given and has no default.
    [[nodiscard]] auto value(std::string_view name) const -> std::string;

    /// \brief Whether the option \p name was given or has a default.
    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// \brief Positional arguments.
    [[nodiscard]] auto arguments() const -> std::span<const std::string>;

    /// \brief Chosen output format.
    [[nodiscard]] auto format() const -> output_format;

private:
    std::vector<entry> m_entries;
    std::vector<std::string> m_arguments;
};

/// \brief Where verbs print.
struct console
{
    std::ostream &out; ///< Results.
    std::ostream &err; ///< Problems.
};

/// \brief One verb of the program, such as "profile publish".
struct verb
{
    std::string name; ///< One or two words.
    std::string meaning; ///< One line for --help.
    std::string argumentNames; ///< Positional arguments as shown in --help; empty for none.
    std::vector<option_spec> options; ///< Its options; --help and --version are added to each.
    std::function<exit_code(const parsed_options &, console &)> run; ///< Carries it out.
};

/// \brief Finds the verb in \p arguments, checks its options and runs it.
/// \returns the exit code of the process
auto runCommandLine(std::span<const std::string> arguments, std::span<const verb> verbs, console &streams) -> exit_code;

/// \brief Every verb of the shipped program.
auto allVerbs() -> std::vector<verb>;
} // namespace poplarpass::app
