#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>
#include <functional>
#include <vector>

/// Fakes for the outside of a process, on a clock that the test steps.
namespace fakes
{
namespace core = poplarpass::core;

/// \brief Messages that are under way, in the order of their arrival.
class event_queue
{
public:
    /// \brief Plans \p action for \p time; of two planned for one time the one that was planned first comes first.
    auto at(core::monotonic_time time, std::function<void()> action) -> void;

    /// \brief Carries out everything that is due until \p time, and moves \p now there.
    auto runUntil(core::monotonic_time time, core::monotonic_time &now) -> void;

    /// \brief Carries out what is due next, if that is not after \p limit, and moves \p now there.
    /// \returns whether there was something
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
