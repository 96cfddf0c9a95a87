#pragma once

#include <span>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief Description of one log event of a host.
struct event_description
{
    std::string_view name; ///< Value of the field "event" in its log lines.
    std::string_view meaning; ///< Meaning of the event.
    std::string_view fields; ///< Keys of its log lines other than time, level, process and event.
};

/// \brief Returns all events that a host logs, in alphabetical order.
auto allEvents() -> std::span<const event_description>;

/// \brief Returns the events as a Markdown table, as included in docs/OPERATIONS.md.
auto describeEvents() -> std::string;
} // namespace poplarpass::host
