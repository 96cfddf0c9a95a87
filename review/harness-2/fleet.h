#pragma once

#include "record.h"
#include "store.h"

#include <condition_variable>

/// Stand-ins for the users' workers and for the service that lists their machines.
namespace harness
{
/// Bounds of the deployment, as in the settings of a process.
struct bounds
{
    std::int64_t heartbeatMs = 1500;
    std::int64_t maxHoldMs = 10'000;
    std::int64_t stopMs = 400;
    std::int64_t gangTimeoutMs = 3000;
};

/// A step of a job that a client submits; the workers know from it how long its tasks run.
struct step_plan
{
    int count = 1;
    int cpu = 1000;
    int memMb = 100;
    std::int64_t runMs = 500;
    bool gang = false;
    std::string requirement{};
    std::string affinity{};
    int antiAffinity = 0;
};

struct run_state
{
    std::string task;
    std::uint64_t run = 0;
    int cpu = 0;
    int memMb = 0;
    std::int64_t startedMs = 0; ///< By the clock of the fleet.
    std::int64_t worksSinceMs = -1; ///< Since when it makes progress; a gang waits for all its members.
    std::int64_t runMs = 0;
    std::int64_t stopAtMs = -1; ///< When a stop takes effect.
    std::string gang; ///< Step and run; empty if it is no gang.
};

struct end_state
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
};

/// One machine and its worker.
struct worker
{
    std::string machine;
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    int cpu = 4000;
    int memMb = 16'000;
    std::string ip;
    int port = 0;

    bool up = false;
    std::int64_t bornMs = 0; ///< Unix time of the start of its present life.
    std::int64_t startedMs = 0; ///< The same by the clock of the fleet.
    std::int64_t entryAtMs = 0; ///< When it writes its entry next.
    std::uint64_t seq = 0;
    std::uint64_t token = 0;
    std::int64_t deadlineMs = 0; ///< End of its lease, by its own clock.
    std::uint64_t lastEnd = 0;
    std::vector<run_state> running;
    std::vector<end_state> ended;
    std::map<std::string, std::uint64_t> highestEnded; ///< Highest run that was stopped or ended here, by task.
    std::unique_ptr<http_server> server;
};

/// A start that a worker has carried out.
struct start_event
{
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::vector<std::string> labels;
};

class fleet
{
public:
    fleet(store &platform, record &log, const std::string &ip, bounds limits);
    ~fleet();

    /// Address of the service that lists the machines.
    std::string address() const
    {
        return m_service->address();
    }

    worker &add(const std::string &service, const std::string &ip, std::vector<std::string> labels, int cpu);

    /// Makes the steps of a job known to the workers.
    void announce(const std::string &job, const std::vector<step_plan> &steps);

    /// Ends the processes of workers without notice, all at the same moment.
    void crash(const std::vector<worker *> &targets);

    /// Starts it again at the same address, under the same id, with nothing of before.
    void restart(worker &target);

    /// Decides on a start instead of the worker; nothing: the worker does. Called under the lock of the fleet.
    std::function<std::optional<int>(const worker &, const std::string &task)> refuseStart;

    /// Lets a worker write its entry now; the next one follows after a heartbeat interval.
    void writeEntryNow(worker &target);

    /// Tasks that were started while another worker that is up ran them, and which.
    std::vector<std::string> concurrentStarts();

    std::vector<start_event> starts();
    std::size_t runningOn(const worker &target);
    bool runsTaskOf(const worker &target, const std::string &job);
    /// Returns how many runs of a job go on anywhere.
    std::size_t runningOf(const std::string &job);
    /// Returns whether a task of the job has ended as done.
    bool isDone(const std::string &task);

private:
    std::optional<http_response> handle(worker &target, std::int64_t born, const http_request &request);
    std::optional<http_response> start(worker &target, const std::string &body);
    std::optional<http_response> stop(worker &target, const std::string &body);
    std::optional<http_response> hold(worker &target, std::int64_t born, const std::string &body);
    http_response list();
    void listen(worker &target);
    void writeEntry(worker &target);
    void end(worker &target, std::size_t position, const std::string &how);
    void advance(worker &target, std::int64_t now);
    void advanceGang(const std::string &gang, std::int64_t now);
    std::size_t presentOf(const std::string &gang) const;
    std::int64_t clockOf(const worker &target) const
    {
        return now() - target.startedMs;
    }
    std::int64_t now() const
    {
        return m_log.elapsedMs();
    }
    const step_plan *planOf(const std::string &task) const;

    store &m_store;
    record &m_log;
    bounds m_bounds;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::map<std::string, std::vector<step_plan>> m_jobs;
    std::vector<start_event> m_starts;
    std::vector<std::string> m_concurrentStarts;
    std::set<std::string> m_done;
    std::set<std::string> m_brokenGangs;
    bool m_ending = false;
    std::unique_ptr<http_server> m_service;
    std::thread m_ticker;
};
} // namespace harness
