#include "worker_tasks.h"

#include <poplarpass/platform/worker_names.h>

#include <charconv>

namespace standins
{
using poplarpass::platform::start_outcome;
using poplarpass::platform::task_command;
using poplarpass::platform::task_report;
using poplarpass::platform::worker_task_state;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace
{
constexpr int throttleFactor = 2;
constexpr std::size_t maxOutputBytes = std::size_t{32} * 1024 * 1024;

// Each byte depends on its position, so that a check can detect a gap in the output.
auto largeOutput(std::string_view payload) -> std::string
{
    std::size_t size = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), size);
    std::string output(std::min(size, maxOutputBytes), '\0');
    for (std::size_t index = 0; index < output.size(); ++index) {
        output[index] = static_cast<char>('a' + index % 23);
    }
    return output;
}

auto outputOf(std::string_view kind, const std::string &payload) -> std::string
{
    return kind == "large" ? largeOutput(payload) : "done:" + payload;
}

auto outcomeOf(worker_task_state state) -> start_outcome
{
    if (state == worker_task_state::finished) {
        return start_outcome::finished;
    }
    return state == worker_task_state::failed ? start_outcome::failed : start_outcome::stopped;
}
} // namespace

worker_tasks::worker_tasks(boost::asio::io_context &loop, run_journal &journal)
    : m_timers{loop}
    , m_journal{journal}
{
}

auto worker_tasks::isDuplicate(const std::string &taskId) const -> bool
{
    const auto found = m_tasks.find(taskId);
    return found != m_tasks.end() && !found->second.checkpointed;
}

auto worker_tasks::start(run_record record, std::string payload, microseconds runTime, bool fails, completion done)
    -> void
{
    const auto taskId = record.taskId;
    auto &entry = m_tasks[taskId];
    record.resumed = entry.checkpointed;
    record.outcome = nameOf(worker_task_state::running);
    entry.remaining = entry.checkpointed ? entry.remaining : runTime;
    entry.checkpointed = false;
    entry.throttled = false;
    entry.due = false;
    entry.state = worker_task_state::running;
    entry.kind = record.kind;
    entry.payload = std::move(payload);
    entry.fails = fails;
    entry.done = std::move(done);
    entry.startedAt = steady_clock::now();
    entry.journalIndex = m_journal.recordStart(std::move(record));
    ++m_running;
    schedule(taskId, entry);
}

auto worker_tasks::schedule(const std::string &taskId, task &entry) -> void
{
    entry.resumedAt = steady_clock::now();
    const auto delay = entry.throttled ? entry.remaining * throttleFactor : entry.remaining;
    entry.timer = m_timers.after(delay, [this, taskId] { onDue(taskId); });
}

auto worker_tasks::pause(task &entry) -> void
{
    m_timers.cancel(entry.timer);
    auto elapsed = std::chrono::duration_cast<microseconds>(steady_clock::now() - entry.resumedAt);
    elapsed /= entry.throttled ? throttleFactor : 1;
    entry.remaining = std::max(microseconds{0}, entry.remaining - elapsed);
}

auto worker_tasks::onDue(const std::string &taskId) -> void
{
    auto &entry = m_tasks.at(taskId);
    if (m_frozen) {
        entry.due = true;
        return;
    }
    entry.due = false;
    if (entry.fails) {
        end(entry, worker_task_state::failed, nameOf(worker_task_state::failed));
        return;
    }
    entry.output = outputOf(entry.kind, entry.payload);
    end(entry, worker_task_state::finished, nameOf(worker_task_state::finished));
}

auto worker_tasks::end(task &entry, worker_task_state state, std::string_view outcome) -> void
{
    --m_running;
    entry.state = state;
    entry.due = false;
    entry.payload.clear();
    m_journal.recordEnd(entry.journalIndex, outcome);
    const auto runTime = std::chrono::duration_cast<microseconds>(steady_clock::now() - entry.startedAt);
    const auto done = std::exchange(entry.done, nullptr);
    done(outcomeOf(state), entry.output, runTime);
}

auto worker_tasks::command(const std::string &taskId, task_command command) -> void
{
    const auto found = m_tasks.find(taskId);
    if (found == m_tasks.end() || found->second.state != worker_task_state::running) {
        return;
    }
    auto &entry = found->second;
    pause(entry);
    if (command == task_command::stop) {
        end(entry, worker_task_state::stopped, "stopped");
    } else if (command == task_command::checkpoint) {
        entry.checkpointed = true;
        end(entry, worker_task_state::stopped, "checkpointed");
    } else {
        entry.throttled = command == task_command::throttle;
        schedule(taskId, entry);
    }
}

auto worker_tasks::report(const std::string &taskId) const -> task_report
{
    const auto found = m_tasks.find(taskId);
    return found == m_tasks.end() ? task_report{} : task_report{found->second.state, 0, found->second.output};
}

auto worker_tasks::running() const -> int
{
    return m_running;
}

auto worker_tasks::setFrozen(bool frozen) -> void
{
    m_frozen = frozen;
    if (frozen) {
        return;
    }
    std::vector<std::string> due;
    for (const auto &[taskId, entry] : m_tasks) {
        if (entry.due) {
            due.push_back(taskId);
        }
    }
    for (const auto &taskId : due) {
        onDue(taskId);
    }
}

auto worker_tasks::clear() -> void
{
    for (auto &[taskId, entry] : m_tasks) {
        if (entry.state == worker_task_state::running) {
            m_timers.cancel(entry.timer);
            m_journal.recordEnd(entry.journalIndex, "lost");
        }
    }
    m_tasks.clear();
    m_running = 0;
}
} // namespace standins
