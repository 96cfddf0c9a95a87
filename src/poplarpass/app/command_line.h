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
/// \brief Output format of the verbs.
enum class output_format {
    text, ///< Human-readable lines.
    json, ///< JSON, one document per line.
};

/// \brief Command-line option of a verb.
struct option_spec
{
    std::string name; ///< Long name without dashes.
    std::string meaning; ///< One line for --help.
    bool takesValue = true; ///< Whether a value follows.
    bool required = false; ///< Whether the option must be given.
    std::string defaultValue; ///< Value used if the option is not given; empty for none.
};

/// \brief Parsed options and positional arguments of one invocation of a verb.
class parsed_options
{
public:
    struct entry
    {
        std::string name;
        std::string value;
    };

    parsed_options(std::vector<entry> entries, std::vector<std::string> arguments);

    /// \brief Returns the value of the option \p name; empty if it was not given and has no default.
    [[nodiscard]] auto value(std::string_view name) const -> std::string;

    /// \brief Returns whether the option \p name was given or has a default.
    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// \brief Returns the positional arguments.
    [[nodiscard]] auto arguments() const -> std::span<const std::string>;

    /// \brief Returns the output format selected by --format; text by default.
    [[nodiscard]] auto format() const -> output_format;

private:
    std::vector<entry> m_entries;
    std::vector<std::string> m_arguments;
};

/// \brief Output streams of the verbs.
struct console
{
    std::ostream &out; ///< Results.
    std::ostream &err; ///< Errors and notices.
};

/// \brief One verb (subcommand) of the program, such as "profile publish".
struct verb
{
    std::string name; ///< One or two words.
    std::string meaning; ///< One line for --help.
    std::string argumentNames; ///< Positional arguments: "NAME", "[NAME]" or "NAME..."; empty for none.
    std::vector<option_spec> options; ///< Options; --help and --version are always added.
    std::function<exit_code(const parsed_options &, console &)> run; ///< Runs the verb.
};

/// \brief Runs the longest verb that \p arguments start with, after a check of its options.
/// \returns the exit code of the process; failure if two of \p verbs have the same name
auto runCommandLine(std::span<const std::string> arguments, std::span<const verb> verbs, console &streams) -> exit_code;

/// \brief Returns all verbs of the program.
auto allVerbs() -> std::vector<verb>;
} // namespace poplarpass::app
