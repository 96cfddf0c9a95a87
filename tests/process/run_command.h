#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tests
{
/// \brief What a command that ended left behind.
struct command_result
{
    int exitStatus = -1; ///< Exit status; -1 if a signal ended it.
    std::string out; ///< Standard output.
    std::string err; ///< Standard error.
};

/// \brief Runs \p program with \p arguments and \p input on standard input, and waits for its end.
auto runCommand(const std::string &program, std::vector<std::string> arguments, std::string_view input = {})
    -> command_result;
} // namespace tests
