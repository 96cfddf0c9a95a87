#pragma once

#include "run_journal.h"
#include "timers.h"
#include "worker_types.h"

#include <functional>
#include <unordered_map>

namespace standins
{
/// \brief Tasks that a worker has started since its boot.
class worker_tasks
{
public:
    /// \brief Takes the outcome of a run, its output and its run time; not called when the worker crashes.
    using completion =
        std::function<void(poplarpass::platform::start_outcome, std::string output, std::chrono::microseconds runTime)>;

    worker_tasks(boost::asio::io_context &loop, run_journal &journal);

    /// \brief Whether a start of \p taskId would be a second start; a checkpointed task may go on.
    [[nodiscard]] auto isDuplicate(const std::string &taskId) const -> bool;

    /// \brief Runs a task, or goes on with a checkpointed one.
    /// \param runTime full run time of the task
    /// \param fails whether it fails at its end
    auto start(run_record record, std::string payload, std::chrono::microseconds runTime, bool fails, completion done)
        -> void;

    /// \brief Carries out \p command; without effect on a task that does not run.
    auto command(const std::string &taskId, poplarpass::platform::task_command command) -> void;

    /// \brief State and output of a task.
    [[nodiscard]] auto report(const std::string &taskId) const -> poplarpass::platform::task_report;

    /// \brief Tasks that run.
    [[nodiscard]] auto running() const -> int;

    /// \brief While frozen no task ends; those that are due end afterwards.
    auto setFrozen(bool frozen) -> void;

    /// \brief Forgets every task; those that run are lost without an answer.
    auto clear() -> void;

private:
    struct task
    {
        poplarpass::platform::task_state state = poplarpass::platform::task_state::running;
        std::size_t journalIndex = 0;
        std::string payload;
        std::string kind;
        std::string output;
        std::chrono::microseconds remaining{};
        steady_time startedAt;
        steady_time resumedAt;
        timer_id timer{};
        completion done;
        bool fails = false;
        bool throttled = false;
        bool checkpointed = false;
        bool due = false;
    };

    auto schedule(const std::string &taskId, task &entry) -> void;
    auto pause(task &entry) -> void;
    auto onDue(const std::string &taskId) -> void;
    auto end(task &entry, poplarpass::platform::task_state state, std::string_view outcome) -> void;

    timers m_timers;
    run_journal &m_journal;
    std::unordered_map<std::string, task> m_tasks;
    int m_running = 0;
    bool m_frozen = false;
};
} // namespace standins
