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

/// \brief A start order as received by a worker.
struct start_command
{
    std::uint64_t token = 0; ///< Fencing token.
    std::string task; ///< Name of the task.
    std::uint32_t run = 0; ///< Number of the run.
    std::int64_t deadlineMs = 0; ///< End of the lease on the worker's clock.
    jobs::resources need; ///< Required resources.
    std::int64_t lengthMs = 0; ///< Run time.
    bool fails = false; ///< Whether it ends as failed.
    bool longRunning = false; ///< Whether it runs until it is stopped.
};

/// \brief Callbacks of a worker model.
struct worker_observer
{
    std::function<void(const std::string &, std::uint32_t)> onStart; ///< A run starts: task, run.
    std::function<void(const std::string &, std::uint32_t, jobs::end_kind)> onEnd; ///< A run ended.
    std::function<void(const jobs::ended_run &)>
        onAcknowledged; ///< An end was acknowledged within the lease in which it was recorded.
};

/// \brief Model of a worker: leases, fencing tokens, runs and ends. Times are milliseconds of the test.
class worker_model
{
public:
    /// \param clockRate rate of the worker's clock relative to real time
    worker_model(worker_observer observer, double clockRate, jobs::resources capacity);

    /// \brief Restarts with a new incarnation and without state at \p nowMs.
    auto restart(std::int64_t nowMs) -> void;

    /// \brief Processes a start order.
    auto start(const start_command &command, std::int64_t nowMs) -> jobs::run_start_answer;

    /// \brief Processes a stop order; stopping takes \p lengthMs.
    auto stop(std::uint64_t token, const std::string &task, std::uint32_t run, std::int64_t nowMs,
              std::int64_t lengthMs = 0) -> jobs::stop_answer;

    /// \brief Processes a renewal.
    /// \returns false when a greater token came before
    auto renew(std::uint64_t token, std::uint64_t acknowledgedEnd, std::optional<std::int64_t> deadlineMs,
               std::int64_t nowMs) -> bool;

    /// \brief Returns the report that answers a renewal.
    [[nodiscard]] auto report(std::int64_t nowMs) const -> jobs::renewal_report;

    /// \brief Ends the runs that are due, or all of them when the lease has expired.
    auto advance(std::int64_t nowMs) -> void;

    /// \brief Drops all runs at once without reporting their ends.
    auto killRuns() -> void;

    /// \brief Returns whether \p task runs.
    [[nodiscard]] auto isRunning(const std::string &task) const -> bool;

    /// \brief Returns the number of the run of \p task; 0 when it does not run.
    [[nodiscard]] auto runOf(const std::string &task) const -> std::uint32_t;

    /// \brief Returns whether \p task has run for its start-up time and is not being stopped.
    [[nodiscard]] auto isReady(const std::string &task, std::int64_t nowMs) const -> bool;

    /// \brief Returns the names of all running tasks.
    [[nodiscard]] auto runningTasks() const -> std::vector<std::string>;

    /// \brief Returns the worker's clock, milliseconds.
    [[nodiscard]] auto clockAt(std::int64_t nowMs) const -> std::int64_t;

    /// \brief Returns the current incarnation.
    [[nodiscard]] auto incarnation() const -> std::int64_t;

    /// \brief Returns the resources that no run uses.
    [[nodiscard]] auto free() const -> jobs::resources;

    /// \brief Returns whether there are unacknowledged ends.
    [[nodiscard]] auto hasUnacknowledgedEnds() const -> bool;

private:
    struct active_run
    {
        std::uint32_t run = 0;
        jobs::resources need;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        bool fails = false;
        bool longRunning = false;
        std::optional<std::int64_t> stopsAt;
    };

    auto end(const std::string &task, jobs::end_kind how) -> void;
    auto extend(std::int64_t deadlineMs, std::int64_t nowMs) -> void;
    auto acknowledge(std::uint64_t last) -> void;

    worker_observer m_observer;
    double m_clockRate;
    jobs::resources m_capacity;
    std::int64_t m_incarnation = 1;
    std::int64_t m_startedAt = 0;
    std::uint64_t m_highestToken = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, active_run> m_running;
    std::map<std::string, std::uint32_t> m_highestEnded;
    std::deque<jobs::ended_run> m_ended;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastBeforeLapse = 0; ///< Number of the newest end recorded before the lease last expired.
};
} // namespace fakes
