#pragma once

#include <poplarpass/settings/reader.h>

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::settings::internal
{
/// \brief Collects problems of one file and the lines on which its keys stand.
class problem_list
{
public:
    explicit problem_list(std::string_view fileName);

    /// \brief Adds a problem on \p line.
    auto add(int line, std::string_view key, std::string_view expected, std::string_view found) -> void;

    /// \brief Adds a problem on the line of \p key.
    auto add(std::string_view key, std::string_view expected, std::string_view found) -> void;

    /// \brief Remembers that \p key stands on \p line.
    auto recordLine(const std::string &key, int line) -> void;

    /// \brief Whether \p key stands in the file, be it good or bad.
    [[nodiscard]] auto isPresent(const std::string &key) const -> bool;

    /// \brief Whether \p key has a problem.
    [[nodiscard]] auto hasProblem(std::string_view key) const -> bool;

    /// \brief Whether none of \p keys has a problem.
    [[nodiscard]] auto areValid(std::initializer_list<std::string_view> keys) const -> bool;

    /// \brief \p settings if there is no problem, else the problems in the order of their lines.
    auto toResult(process_settings settings) -> settings_result;

private:
    std::string m_fileName;
    std::map<std::string, int, std::less<>> m_lines;
    std::vector<settings_problem> m_problems;
};

/// \brief Adds a problem for each pair of values that cannot hold together.
/// Keys that have a problem of their own are left out.
auto checkConsistency(const process_settings &settings, problem_list &problems) -> void;
} // namespace poplarpass::settings::internal
