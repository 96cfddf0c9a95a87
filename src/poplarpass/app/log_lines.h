#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarpass::app
{
/// \brief Returns the value of \p key in a log line of key=value fields; empty when it has none.
auto valueOf(std::string_view line, std::string_view key) -> std::string_view;

/// \brief Returns the time of day of a log line such as "time=2026-10-21T11:09:53.024Z", in milliseconds.
auto parseTimeOfDay(std::string_view line) -> std::optional<std::int64_t>;
} // namespace poplarpass::app
