#pragma once

#include <poplarpass/settings/fleet_file.h>
#include <poplarpass/settings/toml_document.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// Reading of TOML tables that collects every problem. Heavy: include it in sources of this folder only.
namespace poplarpass::settings::internal
{
/// \brief Where problems of one file go.
struct problem_sink
{
    std::string file; ///< Name of the file.
    std::vector<toml_problem> problems; ///< Problems so far.
};

/// \brief Reads one table; every key must be read, and problems name the line.
class toml_reader
{
public:
    /// \param path path of the table, for the problems
    toml_reader(const toml::table &table, std::string path, problem_sink &sink);

    /// \brief Reads a required text that is not empty.
    auto text(std::string_view key) -> std::string;

    /// \brief Reads a required integer from \p least to \p most.
    auto integer(std::string_view key, int minimum, int maximum) -> int;

    /// \brief Reads a required number, whole or not, from \p least to \p most.
    auto number(std::string_view key, double minimum, double maximum) -> double;

    /// \brief Reads an optional truth value.
    auto flag(std::string_view key, bool defaultValue) -> bool;

    /// \brief Reads an array of texts.
    auto texts(std::string_view key) -> std::vector<std::string>;

    /// \brief Reads an array of tables with \p readTable; an absent key is an empty array.
    auto tables(std::string_view key, const std::function<void(toml_reader &)> &readTable) -> void;

    /// \brief Reads an optional table with \p readTable.
    auto table(std::string_view key, const std::function<void(toml_reader &)> &readTable) -> void;

    /// \brief Notes that the value of \p key is not \p expected.
    auto reportInvalid(std::string_view key, std::string expected, std::string found) -> void;

    /// \brief Notes every key that was not read.
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

/// \brief Kind and value of \p node in words.
auto describe(const toml::node &node) -> std::string;
} // namespace poplarpass::settings::internal
