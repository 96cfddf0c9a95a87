#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>

namespace poplarpass::host
{
/// \brief How far a process may rely on its configuration when it checks keys.
struct config_standing
{
    bool isConfirmed = true; ///< Whether it was readable and the newest one within the permitted age.
    core::duration age{0}; ///< Time since the last answered read of the operator's records was sent.
    std::uint64_t newestVersion = 0; ///< Highest version in answers of the owner; 0 for none.
};
} // namespace poplarpass::host
