#include <poplarpass/owner/handover.h>
#include <poplarpass/owner/owner_monitor.h>

namespace poplarpass::owner
{
auto shouldYield(const handover_inputs &inputs) -> bool
{
    return inputs.isSmall && inputs.isLargeHostAvailable && inputs.servingFor >= minTermBeforeYield
        && inputs.renewalLatency <= quickRenewalLimit;
}
} // namespace poplarpass::owner
