#include <poplarpass/app/explain_verb.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace poplarpass::app
{
namespace
{
constexpr std::int64_t minReportedGapMs = 500;

/// \brief Events that can delay any job; they are printed next to the lines of the job.
constexpr std::array<std::string_view, 9> contextEvents{"owner_elected",   "owner_serving", "owner_deposed",
                                                        "owner_resigns",   "journal_slow",  "journal_stalled",
                                                        "journal_resumed", "worker_lost",   "worker_regained"};

struct log_line
{
    std::int64_t atMs = 0;
    bool concernsJob = false;
    std::string text;
};

auto valueOf(std::string_view line, std::string_view key) -> std::string_view
{
    const auto prefix = " " + std::string{key} + "=";
    const auto found = line.find(prefix);
    if (found == std::string_view::npos) {
        return {};
    }
    const auto begin = found + prefix.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// \brief Time of day of a line such as "time=2026-10-21T11:09:53.024Z", in milliseconds.
auto parseTimeOfDay(std::string_view line) -> std::optional<std::int64_t>
{
    const auto found = line.find("time=");
    constexpr std::size_t clockOffset = 16;
    constexpr std::size_t clockLength = 12;
    if (found == std::string_view::npos || line.size() < found + clockOffset + clockLength) {
        return std::nullopt;
    }
    const std::string clock{line.substr(found + clockOffset, clockLength)};
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    if (std::sscanf(clock.c_str(), "%2d:%2d:%2d.%3d", &hour, &minute, &second, &millisecond) != 4) {
        return std::nullopt;
    }
    return ((std::int64_t{hour} * 60 + minute) * 60 + second) * 1000 + millisecond;
}

auto concerns(std::string_view line, std::string_view job) -> bool
{
    const auto subject = valueOf(line, "id");
    return subject == job || (subject.starts_with(job) && subject.substr(job.size()).starts_with('.'));
}

auto isContextEvent(std::string_view line) -> bool
{
    return std::ranges::find(contextEvents, valueOf(line, "event")) != contextEvents.end();
}

auto readLines(std::string_view job, std::istream &in) -> std::vector<log_line>
{
    std::vector<log_line> lines;
    for (std::string text; std::getline(in, text);) {
        const bool concernsJob = concerns(text, job);
        const auto time = parseTimeOfDay(text);
        if (time && (concernsJob || isContextEvent(text))) {
            lines.push_back({*time, concernsJob, text.substr(text.find("time="))});
        }
    }
    std::ranges::stable_sort(lines, {}, &log_line::atMs);
    return lines;
}
} // namespace

auto explainJob(std::string_view job, std::istream &in, std::ostream &out) -> std::size_t
{
    const auto lines = readLines(job, in);
    const auto first = std::ranges::find(lines, true, &log_line::concernsJob);
    const auto last = std::ranges::find(lines.rbegin(), lines.rend(), true, &log_line::concernsJob);
    if (first == lines.end()) {
        return 0;
    }
    std::size_t count = 0;
    std::int64_t before = first->atMs;
    for (auto line = first; line != last.base(); ++line) {
        if (line->atMs - before >= minReportedGapMs) {
            out << "  ... " << line->atMs - before << " ms without a line of this job\n";
        }
        out << (line->concernsJob ? "" : "  beside: ") << line->text << '\n';
        count += line->concernsJob ? 1 : 0;
        before = line->atMs;
    }
    return count;
}
} // namespace poplarpass::app
