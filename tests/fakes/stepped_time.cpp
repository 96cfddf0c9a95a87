#include "stepped_time.h"

#include <utility>

namespace fakes
{
namespace
{
constexpr std::int64_t wallOffsetMs = 1'800'000'000'000;
constexpr core::monotonic_time startTime{std::chrono::seconds{1000}};
} // namespace

stepped_time::stepped_time()
    : m_now{startTime}
{
}

auto stepped_time::source() -> core::time_source
{
    core::time_source result;
    result.now = [this] {
        return m_now;
    };
    result.wallNow = [this] {
        return wallNow();
    };
    result.callAfter = [this](core::duration delay, std::function<void()> action) {
        after(delay, std::move(action));
    };
    return result;
}

auto stepped_time::now() const -> core::monotonic_time
{
    return m_now;
}

auto stepped_time::wallNow() const -> core::wall_time
{
    return core::fromUnixMilliseconds(wallOffsetMs) + (m_now - startTime);
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
