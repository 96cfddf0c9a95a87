#pragma once

#include "event_queue.h"

#include <poplarpass/core/time_source.h>

#include <functional>

namespace fakes
{
/// \brief Simulated clocks and timer of a process; time advances only from event to event.
class stepped_time
{
public:
    stepped_time();

    /// \brief Returns the clocks and timer for a process under test.
    /// \pre this object outlives the result
    auto source() -> core::time_source;

    /// \brief Returns the current monotonic time.
    [[nodiscard]] auto now() const -> core::monotonic_time;

    /// \brief Returns the current Unix wall time.
    [[nodiscard]] auto wallNow() const -> core::wall_time;

    /// \brief Schedules \p action after \p delay; a zero delay runs it after the events that are already due.
    auto after(core::duration delay, std::function<void()> action) -> void;

    /// \brief Advances the time by \p time and runs the events that become due.
    auto runFor(core::duration time) -> void;

    /// \brief Runs events until \p reached holds, at most for \p limit.
    /// \returns whether \p reached holds
    auto runUntil(const std::function<bool()> &reached, core::duration limit = std::chrono::seconds{60}) -> bool;

private:
    event_queue m_events;
    core::monotonic_time m_now;
};
} // namespace fakes
