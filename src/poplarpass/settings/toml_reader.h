#pragma once

#include <poplarpass/settings/fleet_file.h>
#include <poplarpass/settings/toml_document.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// Reader for TOML tables that collects all problems. Expensive to compile: include only from source files of this
/// folder.
namespace poplarpass::settings::internal
{
/// \brief Collects the problems of one file.
struct problem_sink
{
    std::string file; ///< Name of the file.
    std::vector<toml_problem> problems; ///< Problems found so far.
};

/// \brief Reads one table and reports each problem with its line; keys that were not read are reported as unknown.
class toml_reader
{
public:
    /// \param path path of the table to report in problems
    toml_reader(const toml::table &table, std::string path, problem_sink &sink);

    /// \brief Reads a required non-empty string.
    auto text(std::string_view key) -> std::string;

    /// \brief Reads a required integer from \p minimum to \p maximum.
    auto integer(std::string_view key, int minimum, int maximum) -> int;

    /// \brief Reads an optional integer from \p minimum to \p maximum.
    auto optionalInteger(std::string_view key, int minimum, int maximum) -> std::optional<int>;

    /// \brief Reads a required number, integer or not, from \p minimum to \p maximum.
    auto number(std::string_view key, double minimum, double maximum) -> double;

    /// \brief Reads an optional boolean.
    auto flag(std::string_view key, bool defaultValue) -> bool;

    /// \brief Reads a required array of strings.
    auto texts(std::string_view key) -> std::vector<std::string>;

    /// \brief Reads an array of tables with \p readTable; an absent key is an empty array.
    auto tables(std::string_view key, const std::function<void(toml_reader &)> &readTable) -> void;

    /// \brief Reads an optional table with \p readTable.
    auto table(std::string_view key, const std::function<void(toml_reader &)> &readTable) -> void;

    /// \brief Adds the problem that the value of \p key is not \p expected.
    auto reportInvalid(std::string_view key, std::string expected, std::string found) -> void;

    /// \brief Adds a problem for each key that was not read.
    auto reportUnknownKeys() -> void;

private:
    auto find(std::string_view key) -> const toml::node *;
    auto findRequired(std::string_view key, std::string_view expected) -> const toml::node *;
    auto pathOf(std::string_view key) const -> std::string;
    auto addProblem(const toml::node &node, std::string_view key, std::string expected, std::string found) -> void;

    const toml::table *m_table;
    std::string m_path;
    problem_sink *m_sink;
    std::set<std::string, std::less<>> m_readKeys;
};

/// \brief Returns the value of \p node as text; for a table or an array, only its type.
auto describe(const toml::node &node) -> std::string;
} // namespace poplarpass::settings::internal
