#include <poplarpass/config/fleet_config.h>

#include <cmath>

namespace poplarpass::config
{
auto requiredSlots(const pool &pool, const profile &profile) -> int
{
    // Rounding errors of fractions such as 0.1, which have no exact binary form, would otherwise raise the result by
    // one.
    constexpr double rounding = 1e-9;
    return static_cast<int>(std::ceil(pool.demandSlots * (1.0 + profile.headroom) - rounding));
}
} // namespace poplarpass::config
