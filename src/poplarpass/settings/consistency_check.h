#pragma once

#include <poplarpass/settings/reader.h>

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::settings::internal
{
/// \brief Collects the problems of one settings file and the lines of its keys.
class problem_list
{
public:
    explicit problem_list(std::string_view fileName);

    /// \brief Adds a problem at \p line.
    auto add(int line, std::string_view key, std::string_view expected, std::string_view found) -> void;

    /// \brief Adds a problem at the line of \p key, unless the key already has a problem.
    auto add(std::string_view key, std::string_view expected, std::string_view found) -> void;

    /// \brief Records that \p key is on \p line.
    auto recordLine(const std::string &key, int line) -> void;

    /// \brief Returns whether the file contains \p key, valid or not.
    [[nodiscard]] auto isPresent(const std::string &key) const -> bool;

    /// \brief Returns whether \p key has a problem.
    [[nodiscard]] auto hasProblem(std::string_view key) const -> bool;

    /// \brief Returns whether none of \p keys has a problem.
    [[nodiscard]] auto areValid(std::initializer_list<std::string_view> keys) const -> bool;

    /// \brief Returns \p settings if there are no problems, otherwise the problems ordered by line.
    auto toResult(process_settings settings) -> settings_result;

private:
    std::string m_fileName;
    std::map<std::string, int, std::less<>> m_lines;
    std::vector<settings_problem> m_problems;
};

/// \brief Adds a problem for each inconsistent combination of values.
/// Keys that already have a problem are skipped.
auto checkConsistency(const process_settings &settings, problem_list &problems) -> void;
} // namespace poplarpass::settings::internal
