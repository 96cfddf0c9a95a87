#pragma once

#include <poplarpass/platform/worker_service.h>

#include <optional>
#include <string_view>

namespace poplarpass::platform
{
/// \brief Returns the name of \p reason in the worker protocol.
auto nameOf(rejection reason) -> std::string_view;
/// \brief Returns the name of \p outcome in the worker protocol.
auto nameOf(start_outcome outcome) -> std::string_view;
/// \brief Returns the name of \p state in the worker protocol.
auto nameOf(worker_task_state state) -> std::string_view;
/// \brief Returns the name of \p command in the worker protocol.
auto nameOf(task_command command) -> std::string_view;
/// \brief Returns the name of \p order in the worker protocol.
auto nameOf(worker_order order) -> std::string_view;

/// \brief Returns the enumerator with the name \p name in the worker protocol, if there is one.
template <class enumeration>
auto fromName(std::string_view name) -> std::optional<enumeration>;
} // namespace poplarpass::platform
