#pragma once

#include "event_queue.h"

#include <poplarpass/core/time_source.h>

#include <functional>

namespace fakes
{
/// \brief Clocks and timer of a process in a test; time passes only from event to event.
class stepped_time
{
public:
    stepped_time();

    /// \brief What a process sees of this; good as long as this lives.
    auto source() -> core::time_source;

    /// \brief Present time.
    [[nodiscard]] auto now() const -> core::monotonic_time;

    /// \brief Present Unix wall time.
    [[nodiscard]] auto wallNow() const -> core::wall_time;

    /// \brief Calls \p action after \p delay; by default as soon as what happens now is over.
    auto after(core::duration delay, std::function<void()> action) -> void;

    /// \brief Lets \p time pass.
    auto runFor(core::duration time) -> void;

    /// \brief Lets time pass until \p reached, at most \p limit.
    /// \returns whether it was reached
    auto runUntil(const std::function<bool()> &reached, core::duration limit = std::chrono::seconds{60}) -> bool;

private:
    event_queue m_events;
    core::monotonic_time m_now;
};
} // namespace fakes
