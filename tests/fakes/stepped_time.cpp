#include "stepped_time.h"

#include <utility>

namespace fakes
{
namespace
{
constexpr std::int64_t wallOffsetMs = 1'800'000'000'000;
constexpr core::monotonic_time firstMoment{std::chrono::seconds{1000}};
} // namespace

stepped_time::stepped_time()
    : m_now{firstMoment}
{
}

auto stepped_time::source() -> core::time_source
{
    core::time_source made;
    made.now = [this] {
        return m_now;
    };
    made.wallNow = [this] {
        return wallNow();
    };
    made.callAfter = [this](core::duration delay, std::function<void()> action) {
        after(delay, std::move(action));
    };
    return made;
}

auto stepped_time::now() const -> core::monotonic_time
{
    return m_now;
}

auto stepped_time::wallNow() const -> core::wall_time
{
    return core::fromUnixMilliseconds(wallOffsetMs) + (m_now - firstMoment);
}

auto stepped_time::after(core::duration delay, std::function<void()> action) -> void
{
    m_events.at(m_now + delay, std::move(action));
}

auto stepped_time::runFor(core::duration time) -> void
{
    m_events.runUntil(m_now + time, m_now);
}

auto stepped_time::runUntil(const std::function<bool()> &reached, core::duration limit) -> bool
{
    const auto end = m_now + limit;
    while (!reached() && m_events.runNext(end, m_now)) {
    }
    return reached();
}
} // namespace fakes
