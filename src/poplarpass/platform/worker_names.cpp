#include <poplarpass/platform/worker_names.h>

#include <algorithm>
#include <array>
#include <span>

namespace poplarpass::platform
{
namespace
{
// The names are in the order of the enumerators.
constexpr std::array<std::string_view, 8> rejectionNames{"none",         "unreachable", "no_slot",   "leaving",
                                                         "lease_lapsed", "wrong_pool",  "duplicate", "too_small"};
constexpr std::array<std::string_view, 5> outcomeNames{"finished", "failed", "stopped", "not_started", "uncertain"};
constexpr std::array<std::string_view, 5> stateNames{"never_seen", "running", "finished", "failed", "stopped"};
constexpr std::array<std::string_view, 4> commandNames{"stop", "checkpoint", "throttle", "unthrottle"};
constexpr std::array<std::string_view, 4> orderNames{"drain", "undrain", "reboot", "assign"};

template <class enumeration>
auto find(std::span<const std::string_view> names, std::string_view name) -> std::optional<enumeration>
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<enumeration>(found - names.begin());
}
} // namespace

auto nameOf(rejection reason) -> std::string_view
{
    return rejectionNames.at(static_cast<std::size_t>(reason));
}

auto nameOf(start_outcome outcome) -> std::string_view
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

auto nameOf(worker_task_state state) -> std::string_view
{
    return stateNames.at(static_cast<std::size_t>(state));
}

auto nameOf(task_command command) -> std::string_view
{
    return commandNames.at(static_cast<std::size_t>(command));
}

auto nameOf(worker_order order) -> std::string_view
{
    return orderNames.at(static_cast<std::size_t>(order));
}

template <>
auto fromName(std::string_view name) -> std::optional<rejection>
{
    return find<rejection>(rejectionNames, name);
}

template <>
auto fromName(std::string_view name) -> std::optional<start_outcome>
{
    return find<start_outcome>(outcomeNames, name);
}

template <>
auto fromName(std::string_view name) -> std::optional<worker_task_state>
{
    return find<worker_task_state>(stateNames, name);
}

template <>
auto fromName(std::string_view name) -> std::optional<task_command>
{
    return find<task_command>(commandNames, name);
}

template <>
auto fromName(std::string_view name) -> std::optional<worker_order>
{
    return find<worker_order>(orderNames, name);
}
} // namespace poplarpass::platform
