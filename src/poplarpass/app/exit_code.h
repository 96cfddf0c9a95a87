#pragma once

namespace poplarpass::app
{
/// \brief Exit codes of all verbs; documented in docs/OPERATIONS.md.
enum class exit_code {
    success = 0, ///< The verb completed.
    failure = 1, ///< The verb failed; the reason is on standard error.
    usage = 2, ///< The command line is invalid.
    bad_settings = 3, ///< The settings or the fleet file are invalid.
    refused = 4, ///< The fleet rejected the change, for instance because of a concurrent revision.
    unknown_outcome = 5, ///< The change may or may not have taken effect.
};
} // namespace poplarpass::app
