#include <poplarpass/app/job_summary.h>
#include <poplarpass/app/log_lines.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <span>

namespace poplarpass::app
{
namespace
{
constexpr std::array<std::string_view, 5> waitFields{"waited_ms", "worker", "run", "ended", "lease_ms"};
constexpr std::array<std::string_view, 4> crashFields{"crashes_at_start", "crashes_alone", "crashes_certain",
                                                      "crashes_later"};

auto printFields(std::string_view line, std::span<const std::string_view> keys, std::ostream &out) -> void
{
    for (const auto key : keys) {
        if (const auto value = valueOf(line, key); !value.empty()) {
            out << ' ' << key << '=' << value;
        }
    }
}
} // namespace

auto job_summary::add(std::int64_t atMs, std::string_view line) -> void
{
    const auto event = valueOf(line, "event");
    const dated_line dated{atMs, std::string{line}};
    if (event == "job_given_up") {
        m_givenUp = dated;
    } else if (event == "job_ended") {
        m_ended = dated;
    } else if (event == "worker_regained") {
        endWaitsFor(valueOf(line, "worker"));
    } else {
        addTaskLine(event, dated);
    }
}

auto job_summary::addTaskLine(std::string_view event, const dated_line &line) -> void
{
    const std::string task{valueOf(line.text, "id")};
    if (event == "task_placed") {
        m_tasks[task].withoutRun.clear();
    } else if (event == "run_ended" || event == "run_lost") {
        m_tasks[task].ends.push_back(line);
        m_tasks[task].withoutRun.push_back(line);
    } else if (event == "task_without_run") {
        m_tasks[task].withoutRun.push_back(line);
    }
}

// The run that may exist on a silent worker goes on when the worker answers again.
auto job_summary::endWaitsFor(std::string_view worker) -> void
{
    for (auto &[task, history] : m_tasks) {
        const auto &lines = history.withoutRun;
        const bool waitsForWorker = !lines.empty() && valueOf(lines.back().text, "reason") == "lease"
            && valueOf(lines.back().text, "worker") == worker;
        if (waitsForWorker) {
            history.withoutRun.clear();
        }
    }
}

auto job_summary::print(std::int64_t newestMs, std::ostream &out) const -> void
{
    if (!m_ended.text.empty()) {
        printFailure(newestMs, out);
        return;
    }
    for (const auto &[task, history] : m_tasks) {
        if (!history.withoutRun.empty()) {
            printWait(task, history.withoutRun.back(), newestMs, out);
        }
    }
}

auto job_summary::printFailure(std::int64_t newestMs, std::ostream &out) const -> void
{
    if (valueOf(m_ended.text, "reason") != "failed") {
        return;
    }
    const bool isGivenUp = !m_givenUp.text.empty();
    const auto &evidence = isGivenUp ? m_givenUp : m_ended;
    const auto task = valueOf(evidence.text, "task");
    out << "summary: failed " << newestMs - m_ended.atMs << " ms before the last line, "
        << (isGivenUp ? "because a task crashes its workers" : "for the failed runs of a task") << ": ";
    if (task.empty()) {
        out << "the line does not name the task\n";
        return;
    }
    const auto failedRuns = valueOf(evidence.text, "failed_runs");
    out << task << ", " << failedRuns << " failed runs, the job fails at " << valueOf(evidence.text, "max_failed_runs");
    printFields(evidence.text, crashFields, out);
    out << '\n';
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) {
        out << "  none of its runs' ends is in these logs\n";
        return;
    }
    for (const auto &end : found->second.ends) {
        out << "  run " << valueOf(end.text, "run") << " on " << valueOf(end.text, "worker") << ": "
            << valueOf(end.text, "event") << ' ' << valueOf(end.text, "reason") << ", " << m_ended.atMs - end.atMs
            << " ms before the job failed\n";
    }
}

auto job_summary::printWait(const std::string &task, const dated_line &line, std::int64_t newestMs,
                            std::ostream &out) const -> void
{
    out << "summary: " << task;
    if (valueOf(line.text, "event") == "task_without_run") {
        out << " has no run: it waits for " << valueOf(line.text, "reason");
        printFields(line.text, waitFields, out);
    } else {
        // In a flood most lines task_placed are left out.
        out << ": run " << valueOf(line.text, "run") << " on " << valueOf(line.text, "worker") << " ended as "
            << valueOf(line.text, "reason")
            << ", and no later start is in these logs, which may lack it (dropped_before)";
    }
    out << ", as of " << newestMs - line.atMs << " ms before the last line\n";
}
} // namespace poplarpass::app
