#include <poplarpass/control/control_action.h>

#include <array>

namespace poplarpass::control
{
auto nameOf(report_kind kind) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names{"drain_overdue", "reboot_overdue", "loss_not_plausible",
                                                           "unknown_pool"};
    return names[static_cast<std::size_t>(kind)];
}
} // namespace poplarpass::control
