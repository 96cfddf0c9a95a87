#pragma once

#include <poplarpass/replication/fleet_state.h>

#include <string>

namespace poplarpass::replication::internal
{
/// \brief The record changed the state.
inline auto accepted() -> applied
{
    return {true, false, std::nullopt};
}

/// \brief The record was refused.
inline auto refused(core::error problem) -> applied
{
    return {false, false, std::move(problem)};
}

/// \brief The record was refused for \p kind.
inline auto refused(core::error_kind kind, std::string detail) -> applied
{
    return refused(core::error{kind, std::move(detail), std::nullopt});
}
} // namespace poplarpass::replication::internal
