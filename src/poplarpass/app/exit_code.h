#pragma once

namespace poplarpass::app
{
/// \brief Exit codes of every verb; docs/OPERATIONS.md lists them.
enum class exit_code {
    success = 0, ///< It did what was asked.
    failure = 1, ///< It could not; the reason is on standard error.
    usage = 2, ///< The command line is wrong.
    bad_settings = 3, ///< The settings or the fleet file are wrong.
    refused = 4, ///< The fleet refused it, such as a revision that lost a race.
    unknown_outcome = 5, ///< It may or may not have taken effect.
};
} // namespace poplarpass::app
