#include "worker_model.h"

#include <algorithm>
#include <utility>

namespace fakes
{
namespace
{
constexpr std::int64_t readyAfterMs = 300;
constexpr std::uint32_t fullPercent = 100;
} // namespace

worker_model::worker_model(worker_observer observer, double clockRate, jobs::resources capacity)
    : m_observer{std::move(observer)}
    , m_clockRate{clockRate}
    , m_capacity{capacity}
{
}

auto worker_model::restart(std::int64_t nowMs) -> void
{
    killRuns();
    m_ended.clear();
    m_highestEnded.clear();
    m_lastNumber = 0;
    m_lastBeforeLapse = 0;
    m_highestToken = 0;
    m_leaseEnd = 0;
    m_startedAt = nowMs;
    ++m_incarnation;
}

auto worker_model::killRuns() -> void
{
    m_running.clear();
}

auto worker_model::free() const -> jobs::resources
{
    auto rest = m_capacity;
    for (const auto &[task, state] : m_running) {
        rest -= state.need;
    }
    return rest;
}

auto worker_model::extend(std::int64_t deadlineMs, std::int64_t nowMs) -> void
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(deadlineMs, clockAt(nowMs) + longestLeaseMs));
}

auto worker_model::start(const start_command &command, std::int64_t nowMs) -> jobs::run_start_answer
{
    if (command.token < m_highestToken) {
        return jobs::run_start_answer::fenced;
    }
    m_highestToken = command.token;
    const auto running = m_running.find(command.task);
    if (running != m_running.end() && running->second.run == command.run) {
        return jobs::run_start_answer::started;
    }
    if (running != m_running.end() || command.run <= m_highestEnded[command.task]) {
        extend(command.deadlineMs, nowMs);
        return jobs::run_start_answer::superseded;
    }
    if (command.deadlineMs <= clockAt(nowMs)) {
        return jobs::run_start_answer::too_late;
    }
    extend(command.deadlineMs, nowMs);
    if (!free().holds(command.need)) {
        return jobs::run_start_answer::no_room;
    }
    m_observer.onStart(command.task, command.run);
    m_running[command.task] = {command.run,   command.need,        nowMs, nowMs + command.lengthMs,
                               command.fails, command.longRunning, {}};
    return jobs::run_start_answer::started;
}

auto worker_model::stop(std::uint64_t token, const std::string &task, std::uint32_t run, std::int64_t nowMs,
                        std::int64_t lengthMs) -> jobs::stop_answer
{
    if (token < m_highestToken) {
        return jobs::stop_answer::fenced;
    }
    m_highestToken = token;
    const auto running = m_running.find(task);
    const bool runs = running != m_running.end() && running->second.run == run;
    if (runs && lengthMs > 0) {
        running->second.stopsAt = nowMs + lengthMs;
    } else if (runs) {
        end(task, jobs::end_kind::stopped);
    }
    auto &highest = m_highestEnded[task];
    highest = std::max(highest, run);
    return jobs::stop_answer::stopped;
}

auto worker_model::renew(std::uint64_t token, std::uint64_t acknowledgedEnd, std::optional<std::int64_t> deadlineMs,
                         std::int64_t nowMs) -> bool
{
    if (token < m_highestToken) {
        return false;
    }
    m_highestToken = token;
    acknowledge(acknowledgedEnd);
    if (deadlineMs) {
        extend(*deadlineMs, nowMs);
    }
    return true;
}

auto worker_model::acknowledge(std::uint64_t last) -> void
{
    while (!m_ended.empty() && m_ended.front().number <= last) {
        const auto &end = m_ended.front();
        // An end acknowledged only after the lease had expired is too late to prevent another run of the task.
        if (end.number > m_lastBeforeLapse) {
            m_observer.onAcknowledged(end);
        }
        m_ended.pop_front();
    }
}

auto worker_model::report(std::int64_t nowMs) const -> jobs::renewal_report
{
    jobs::renewal_report result;
    result.incarnation = m_incarnation;
    result.clockMs = clockAt(nowMs);
    for (const auto &[task, state] : m_running) {
        const auto percent = isReady(task, nowMs) ? fullPercent : fullPercent / 2;
        result.running.push_back({task, state.run, {}, percent, 0});
    }
    result.ended.assign(m_ended.begin(), m_ended.end());
    return result;
}

auto worker_model::advance(std::int64_t nowMs) -> void
{
    const bool lapsed = clockAt(nowMs) >= m_leaseEnd;
    if (lapsed) {
        m_lastBeforeLapse = m_lastNumber;
    }
    const auto running = m_running;
    for (const auto &[task, state] : running) {
        if (lapsed) {
            end(task, jobs::end_kind::lapsed);
        } else if (state.stopsAt && nowMs >= *state.stopsAt) {
            end(task, jobs::end_kind::stopped);
        } else if (nowMs >= state.endsAt && (!state.longRunning || state.fails)) {
            end(task, state.fails ? jobs::end_kind::failed : jobs::end_kind::done);
        }
    }
}

auto worker_model::end(const std::string &task, jobs::end_kind how) -> void
{
    const auto run = m_running.at(task).run;
    m_observer.onEnd(task, run, how);
    m_running.erase(task);
    auto &highest = m_highestEnded[task];
    highest = std::max(highest, run);
    m_ended.push_back({++m_lastNumber, task, run, how, {}});
}

auto worker_model::isRunning(const std::string &task) const -> bool
{
    return m_running.contains(task);
}

auto worker_model::runOf(const std::string &task) const -> std::uint32_t
{
    const auto found = m_running.find(task);
    return found == m_running.end() ? 0 : found->second.run;
}

auto worker_model::isReady(const std::string &task, std::int64_t nowMs) const -> bool
{
    const auto found = m_running.find(task);
    return found != m_running.end() && !found->second.stopsAt && nowMs >= found->second.startedAt + readyAfterMs;
}

auto worker_model::runningTasks() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[task, state] : m_running) {
        names.push_back(task);
    }
    return names;
}

auto worker_model::clockAt(std::int64_t nowMs) const -> std::int64_t
{
    return static_cast<std::int64_t>(static_cast<double>(nowMs - m_startedAt) * m_clockRate);
}

auto worker_model::incarnation() const -> std::int64_t
{
    return m_incarnation;
}

auto worker_model::hasUnacknowledgedEnds() const -> bool
{
    return !m_ended.empty();
}
} // namespace fakes
