#pragma once

#include <span>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief One event that a host logs.
struct event_description
{
    std::string_view name; ///< Value of "event" in its lines.
    std::string_view meaning; ///< What it says.
    std::string_view fields; ///< Keys of its lines beside time, level, process and event.
};

/// \brief All events that a host logs, in alphabetical order.
auto allEvents() -> std::span<const event_description>;

/// \brief The same as a table in Markdown, as docs/OPERATIONS.md shows it.
auto describeEvents() -> std::string;
} // namespace poplarpass::host
