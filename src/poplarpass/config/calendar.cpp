#include <poplarpass/config/calendar.h>

#include <algorithm>
#include <vector>

namespace poplarpass::config
{
namespace
{
using std::chrono::minutes;

// 1970-01-01 was a Thursday, three days after a Monday.
constexpr minutes epochSinceMonday{3 * minutesPerDay};
constexpr core::duration week = minutes{minutesPerWeek};

struct span_of_week
{
    core::duration start;
    core::duration end;
};

auto timeOfWeek(const calendar &calendar, core::wall_time now) -> core::duration
{
    const auto local = now.time_since_epoch() + minutes{calendar.utcOffsetMinutes} + epochSinceMonday;
    const auto rest = local % week;
    return rest < core::duration::zero() ? rest + week : rest;
}

auto addSpan(std::vector<span_of_week> &spans, int startMinute, int lengthMinutes) -> void
{
    const core::duration start = minutes{startMinute % minutesPerWeek};
    const core::duration length = minutes{std::min(lengthMinutes, minutesPerWeek)};
    // A span that runs past the end of the week also covers the start of the week.
    spans.push_back({start, start + length});
    spans.push_back({start - week, start + length - week});
}

auto merged(std::vector<span_of_week> spans) -> std::vector<span_of_week>
{
    std::ranges::sort(spans, {}, &span_of_week::start);
    std::vector<span_of_week> result;
    for (const auto &span : spans) {
        if (result.empty() || result.back().end < span.start) {
            result.push_back(span);
        } else {
            result.back().end = std::max(result.back().end, span.end);
        }
    }
    return result;
}

// Returns spans from one week before to two weeks after the start of the current week, so that every query lies within
// them.
auto spansOf(const calendar &calendar) -> std::vector<span_of_week>
{
    std::vector<span_of_week> spans;
    for (const auto &window : calendar.windows) {
        for (int day = 0; day < 7; ++day) {
            if ((window.weekdays >> day & 1) != 0 && window.lengthMinutes > 0) {
                addSpan(spans, day * minutesPerDay + window.startMinute, window.lengthMinutes);
            }
        }
    }
    const auto baseCount = spans.size();
    for (std::size_t index = 0; index < baseCount; ++index) {
        spans.push_back({spans[index].start + week, spans[index].end + week});
        spans.push_back({spans[index].start + 2 * week, spans[index].end + 2 * week});
    }
    return merged(std::move(spans));
}

auto spanContaining(const std::vector<span_of_week> &spans, core::duration time) -> const span_of_week *
{
    const auto found =
        std::ranges::find_if(spans, [time](const span_of_week &span) { return span.start <= time && time < span.end; });
    return found == spans.end() ? nullptr : &*found;
}
} // namespace

auto isOpen(const calendar &calendar, core::wall_time now) -> bool
{
    return spanContaining(spansOf(calendar), timeOfWeek(calendar, now)) != nullptr;
}

auto nextOpening(const calendar &calendar, core::wall_time now) -> std::optional<core::wall_time>
{
    const auto time = timeOfWeek(calendar, now);
    const auto spans = spansOf(calendar);
    if (spanContaining(spans, time) != nullptr) {
        return now;
    }
    const auto next = std::ranges::find_if(spans, [time](const span_of_week &span) { return span.start > time; });
    if (next == spans.end()) {
        return std::nullopt;
    }
    return now + (next->start - time);
}

auto openFor(const calendar &calendar, core::wall_time now) -> core::duration
{
    const auto time = timeOfWeek(calendar, now);
    const auto spans = spansOf(calendar);
    const auto *const span = spanContaining(spans, time);
    return span == nullptr ? core::duration::zero() : std::min(span->end - time, week);
}
} // namespace poplarpass::config
