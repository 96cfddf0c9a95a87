#include "event_queue.h"

#include <algorithm>
#include <utility>

namespace fakes
{
auto event_queue::at(core::monotonic_time time, std::function<void()> action) -> void
{
    m_heap.push_back({time, ++m_sequence, std::move(action)});
    std::ranges::push_heap(m_heap, std::greater{}, [](const event &e) { return std::pair{e.time, e.sequence}; });
}

auto event_queue::runUntil(core::monotonic_time time, core::monotonic_time &now) -> void
{
    while (runNext(time, now)) {
    }
    now = time;
}

auto event_queue::runNext(core::monotonic_time limit, core::monotonic_time &now) -> bool
{
    if (m_heap.empty() || m_heap.front().time > limit) {
        return false;
    }
    std::ranges::pop_heap(m_heap, std::greater{}, [](const event &e) { return std::pair{e.time, e.sequence}; });
    auto next = std::move(m_heap.back());
    m_heap.pop_back();
    now = std::max(now, next.time);
    next.action();
    return true;
}
} // namespace fakes
