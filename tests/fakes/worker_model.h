#pragma once

#include <poplarpass/jobs/worker_report.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace fakes
{
namespace jobs = poplarpass::jobs;

/// \brief Longest lease that a worker grants, milliseconds.
inline constexpr std::int64_t longestLeaseMs = 10'000;

/// \brief A start as a worker receives it.
struct start_command
{
    std::uint64_t token = 0; ///< Fencing token.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::int64_t deadlineMs = 0; ///< End of the lease on the worker's clock.
    jobs::resources need; ///< What it takes.
    std::int64_t lengthMs = 0; ///< How long it runs.
    bool fails = false; ///< Whether it ends as failed.
    bool lasting = false; ///< Whether it runs until it is stopped.
};

/// \brief What a worker tells those who observe it.
struct worker_watch
{
    std::function<void(const std::string &, std::uint32_t)> onStart; ///< A run begins: task, run.
    std::function<void(const std::string &, std::uint32_t, jobs::end_kind)> onEnd; ///< A run ended.
    std::function<void(const jobs::ended_run &)> onNoted; ///< An end was acknowledged for good.
};

/// \brief One worker as it really is: leases, fencing, runs and ends. Times are milliseconds of the test.
class worker_model
{
public:
    /// \param clockRate time of the worker's clock in a millisecond
    worker_model(worker_watch observer, double clockRate, jobs::resources capacity);

    /// \brief Begins a new life at \p nowMs, knowing nothing.
    auto restart(std::int64_t nowMs) -> void;

    /// \brief Carries out a start.
    auto start(const start_command &command, std::int64_t nowMs) -> jobs::start_answer;

    /// \brief Carries out a stop that takes \p lengthMs.
    auto stop(std::uint64_t token, const std::string &task, std::uint32_t run, std::int64_t nowMs,
              std::int64_t lengthMs = 0) -> jobs::stop_answer;

    /// \brief Takes in a renewal.
    /// \returns false when its token is not the greatest
    auto renew(std::uint64_t token, std::uint64_t acknowledgedEnd, std::optional<std::int64_t> deadlineMs,
               std::int64_t nowMs) -> bool;

    /// \brief What it answers to a renewal.
    [[nodiscard]] auto report(std::int64_t nowMs) const -> jobs::worker_report;

    /// \brief Ends what is due.
    auto advance(std::int64_t nowMs) -> void;

    /// \brief Ends everything at once, unseen.
    auto killRuns() -> void;

    /// \brief Whether \p task runs.
    [[nodiscard]] auto isRunning(const std::string &task) const -> bool;

    /// \brief Number of the run of \p task; 0 when it does not run.
    [[nodiscard]] auto runOf(const std::string &task) const -> std::uint32_t;

    /// \brief Whether \p task has been at work here for its time to get ready.
    [[nodiscard]] auto isAtWork(const std::string &task, std::int64_t nowMs) const -> bool;

    /// \brief Names of all tasks that run.
    [[nodiscard]] auto runningTasks() const -> std::vector<std::string>;

    /// \brief Its clock, milliseconds.
    [[nodiscard]] auto clockAt(std::int64_t nowMs) const -> std::int64_t;

    /// \brief Number of its present life.
    [[nodiscard]] auto born() const -> std::int64_t;

    /// \brief What no run takes.
    [[nodiscard]] auto free() const -> jobs::resources;

    /// \brief Whether there are ends that were not acknowledged.
    [[nodiscard]] auto hasEnds() const -> bool;

private:
    struct run_state
    {
        std::uint32_t run = 0;
        jobs::resources need;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        bool fails = false;
        bool lasting = false;
        std::optional<std::int64_t> stopsAt;
    };

    auto end(const std::string &task, jobs::end_kind how) -> void;
    auto extend(std::int64_t deadlineMs, std::int64_t nowMs) -> void;
    auto acknowledge(std::uint64_t last) -> void;

    worker_watch m_observer;
    double m_clockRate;
    jobs::resources m_capacity;
    std::int64_t m_incarnation = 1;
    std::int64_t m_startedAt = 0;
    std::uint64_t m_highestToken = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, run_state> m_running;
    std::map<std::string, std::uint32_t> m_highestEnded;
    std::deque<jobs::ended_run> m_ended;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastBeforeLapse = 0; ///< Newest end from before the lease last lapsed.
};
} // namespace fakes
