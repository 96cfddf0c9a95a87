#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>
#include <functional>
#include <vector>

/// Fakes for the environment of a process, on a simulated clock.
namespace fakes
{
namespace core = poplarpass::core;

/// \brief Queue of scheduled events, ordered by time.
class event_queue
{
public:
    /// \brief Schedules \p action for \p time; actions with equal times run in the order in which they were scheduled.
    auto at(core::monotonic_time time, std::function<void()> action) -> void;

    /// \brief Runs all events due up to \p time and advances \p now to it.
    auto runUntil(core::monotonic_time time, core::monotonic_time &now) -> void;

    /// \brief Runs the next event if it is due by \p limit, and advances \p now to its time.
    /// \returns whether an event ran
    auto runNext(core::monotonic_time limit, core::monotonic_time &now) -> bool;

private:
    struct event
    {
        core::monotonic_time time;
        std::uint64_t sequence;
        std::function<void()> action;
    };
    std::vector<event> m_heap;
    std::uint64_t m_sequence = 0;
};
} // namespace fakes
