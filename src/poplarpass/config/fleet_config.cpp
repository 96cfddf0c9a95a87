#include <poplarpass/config/fleet_config.h>

#include <cmath>

namespace poplarpass::config
{
auto requiredSlots(const pool &pool, const profile &profile) -> int
{
    // Binary fractions such as 0.1 would otherwise push an exact product just over the next integer.
    constexpr double rounding = 1e-9;
    return static_cast<int>(std::ceil(pool.demandSlots * (1.0 + profile.headroom) - rounding));
}
} // namespace poplarpass::config
