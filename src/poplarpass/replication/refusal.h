#pragma once

#include <poplarpass/replication/fleet_state.h>

#include <string>

namespace poplarpass::replication::internal
{
/// \brief Result of an accepted record.
inline auto accepted() -> applied
{
    return {true, false, std::nullopt};
}

/// \brief Result of a record refused with \p problem.
inline auto refused(core::error problem) -> applied
{
    return {false, false, std::move(problem)};
}

/// \brief Result of a record refused with an error of \p kind.
inline auto refused(core::error_kind kind, std::string detail) -> applied
{
    return refused(core::error{kind, std::move(detail), std::nullopt});
}
} // namespace poplarpass::replication::internal
