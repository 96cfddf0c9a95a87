#pragma once

#include "run_journal.h"
#include "timers.h"
#include "worker_types.h"

#include <functional>
#include <unordered_map>

namespace standins
{
/// \brief Tasks that a worker has started since its last boot.
class worker_tasks
{
public:
    /// \brief Receives outcome, output and run time of a task when it ends; not called if the worker crashes.
    using completion =
        std::function<void(poplarpass::platform::start_outcome, std::string output, std::chrono::microseconds runTime)>;

    worker_tasks(boost::asio::io_context &loop, run_journal &journal);

    /// \brief Returns whether \p taskId was already started; a checkpointed task may be started again to resume it.
    [[nodiscard]] auto isDuplicate(const std::string &taskId) const -> bool;

    /// \brief Starts a task, or resumes a checkpointed one.
    /// \param runTime full run time of the task; ignored when it is resumed
    /// \param fails whether the task fails at the end of its run time
    auto start(run_record record, std::string payload, std::chrono::microseconds runTime, bool fails, completion done)
        -> void;

    /// \brief Applies \p command; has no effect on a task that is not running.
    auto command(const std::string &taskId, poplarpass::platform::task_command command) -> void;

    /// \brief Returns state and output of a task.
    [[nodiscard]] auto report(const std::string &taskId) const -> poplarpass::platform::task_report;

    /// \brief Returns the number of running tasks.
    [[nodiscard]] auto running() const -> int;

    /// \brief Freezes or unfreezes the worker: no task ends while it is frozen, those that are due end when it is
    /// unfrozen.
    auto setFrozen(bool frozen) -> void;

    /// \brief Removes all tasks; running ones are recorded as lost and their completion is not called.
    auto clear() -> void;

private:
    struct task
    {
        poplarpass::platform::worker_task_state state = poplarpass::platform::worker_task_state::running;
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
    auto end(task &entry, poplarpass::platform::worker_task_state state, std::string_view outcome) -> void;

    timers m_timers;
    run_journal &m_journal;
    std::unordered_map<std::string, task> m_tasks;
    int m_running = 0;
    bool m_frozen = false;
};
} // namespace standins
