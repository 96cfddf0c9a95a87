#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::app
{
/// \brief What the log lines of a job say in sum: why it was shown as failed, and which of its tasks have no run.
class job_summary
{
public:
    /// \brief Adds a line of the job, or of an event beside it, in order of time.
    /// \param atMs time of day of the line, milliseconds
    auto add(std::int64_t atMs, std::string_view line) -> void;

    /// \brief Prints the summary; nothing when there is nothing to tell.
    /// \param newestMs time of day of the newest line in the logs, from which the age of evidence counts, milliseconds
    auto print(std::int64_t newestMs, std::ostream &out) const -> void;

private:
    struct dated_line
    {
        std::int64_t atMs = 0;
        std::string text;
    };

    /// \brief A task and the ends of its runs.
    struct task_history
    {
        std::vector<dated_line> ends;
        std::vector<dated_line> withoutRun; ///< Lines since its last start that tell that it has no run.
    };

    auto addTaskLine(std::string_view event, const dated_line &line) -> void;
    auto endWaitsFor(std::string_view worker) -> void;
    auto printFailure(std::int64_t newestMs, std::ostream &out) const -> void;
    auto printWait(const std::string &task, const dated_line &line, std::int64_t newestMs, std::ostream &out) const
        -> void;

    std::map<std::string, task_history, std::less<>> m_tasks;
    dated_line m_givenUp;
    dated_line m_ended;
};
} // namespace poplarpass::app
