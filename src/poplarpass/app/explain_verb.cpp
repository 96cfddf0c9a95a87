#include <poplarpass/app/explain_verb.h>
#include <poplarpass/app/job_summary.h>
#include <poplarpass/app/log_lines.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <istream>
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

auto concerns(std::string_view line, std::string_view job) -> bool
{
    const auto subject = valueOf(line, "id");
    return subject == job || (subject.starts_with(job) && subject.substr(job.size()).starts_with('.'));
}

auto isContextEvent(std::string_view line) -> bool
{
    return std::ranges::find(contextEvents, valueOf(line, "event")) != contextEvents.end();
}

/// \brief What was read of the logs.
struct read_log
{
    std::vector<log_line> lines; ///< Lines of the job and of events beside it.
    std::int64_t newestMs = 0; ///< Time of day of the newest line of all.
};

auto readLines(std::string_view job, std::istream &in) -> read_log
{
    read_log read;
    auto &lines = read.lines;
    for (std::string text; std::getline(in, text);) {
        const bool concernsJob = concerns(text, job);
        const auto time = parseTimeOfDay(text);
        read.newestMs = std::max(read.newestMs, time.value_or(0));
        if (time && (concernsJob || isContextEvent(text))) {
            lines.push_back({*time, concernsJob, text.substr(text.find("time="))});
        }
    }
    std::ranges::stable_sort(lines, {}, &log_line::atMs);
    return read;
}
} // namespace

auto explainJob(std::string_view job, std::istream &in, std::ostream &out) -> std::size_t
{
    const auto read = readLines(job, in);
    const auto &lines = read.lines;
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
    job_summary summary;
    for (const auto &line : lines) {
        summary.add(line.atMs, line.text);
    }
    summary.print(read.newestMs, out);
    return count;
}
} // namespace poplarpass::app
