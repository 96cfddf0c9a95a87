// Stand-ins of the workers and of the platform's service for machines.
#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>

namespace review
{
struct FleetOptions
{
    int workers = 12;
    std::string service = "search";
    std::int64_t cpu = 16000; ///< Thousandths of a core.
    std::int64_t memMb = 32768;
    std::int64_t heartbeatMs = 1500;
    std::int64_t maxHoldMs = 10000;
    std::int64_t stopMs = 100; ///< How long a stop takes; at most stop_timeout_ms.
    std::int64_t gangTimeoutMs = 3000;
    std::int64_t crossMs = 3; ///< Time until the other members of a gang notice an end.
    int workersPerRack = 4;
    std::string quietJob; ///< Job whose starts and ends are only counted in the record, not listed.
};

/// What the stand-ins know of a task: from the job that the client submitted.
struct TaskNeed
{
    std::int64_t cpu = 0;
    std::int64_t memMb = 0;
    std::int64_t workMs = 1000;
    bool gang = false;
    int members = 1;
    bool longRunning = false;
};

/// A start or an end, as the workers saw it.
struct RunEvent
{
    std::int64_t atMs = 0;
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    std::string what; ///< "start", or how the run ended, or "lost" with its worker.
};

/// All workers, their machines and the service for machines. One mutex, one thread for what happens by itself.
class Fleet
{
public:
    Fleet(FleetOptions options, Store &store, Record &record);
    ~Fleet();

    std::string cloudAddress() const;

    /// Makes the needs of a job's tasks known: \p workMs is the work of each task of a step.
    void addJob(const std::string &id, const nlohmann::json &body, std::vector<std::int64_t> workMs);

    std::vector<RunEvent> events() const;

    std::string firstWorker() const;

    /// Returns the workers on which runs of \p job exist.
    std::set<std::string> workersOf(const std::string &job) const;

    /// Returns how many tasks of \p job have ended as done.
    int done(const std::string &job) const;

    /// Returns how many runs of \p job exist on workers that are up.
    int running(const std::string &job) const;

    // Disruptions, by the id of a worker.
    void cut(const std::string &worker, bool isCut); ///< From all machines of the system; the worker runs on.
    void crash(const std::string &worker, std::int64_t downMs); ///< Runs nothing afterwards; up again under its id.
    void failAll(const std::string &worker, std::int64_t forMs); ///< Fails all that it runs or starts meanwhile.

private:
    struct Run
    {
        std::int64_t run = 0;
        TaskNeed need;
        std::int64_t startedAt = 0;
        std::int64_t workSince = -1; ///< -1: waits for the other members of its gang.
        std::int64_t stopAt = -1;
        std::int64_t failAt = -1;
        std::int64_t breakAt = -1;
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    struct Worker
    {
        std::string id;
        std::string machine;
        std::string rack;
        std::unique_ptr<Server> server;
        bool up = true;
        std::int64_t upAt = -1;
        std::int64_t bornSteady = 0;
        std::int64_t bornUnix = 0;
        std::int64_t sequence = 0;
        std::int64_t nextBeat = 0;
        std::int64_t removeEntryAt = -1;
        std::int64_t token = 0;
        std::int64_t leaseEnd = 0; ///< On the worker's clock.
        std::int64_t failingUntil = 0;
        std::map<std::string, Run> runs;
        std::map<std::string, std::int64_t> highestEnded;
        std::vector<End> ends;
        std::int64_t lastEnd = 0;
    };

    Response handleWorker(std::size_t index, const Request &request);
    Response startRun(Worker &worker, const nlohmann::json &body);
    Response stopRun(Worker &worker, const nlohmann::json &body);
    Response hold(std::size_t index, const nlohmann::json &body);
    Response handleCloud(const Request &request);
    void tick();
    void tickWorker(Worker &worker, std::int64_t now);
    void beat(Worker &worker, std::int64_t now);
    void recordRun(const std::string &task, const std::string &text);
    void endRun(Worker &worker, const std::string &task, const std::string &how);
    void loseAll(Worker &worker);
    void startLife(Worker &worker, std::int64_t now);
    void extendLease(Worker &worker, const nlohmann::json &body);
    void updateGangs(std::int64_t now);
    std::int64_t clockOf(const Worker &worker) const;
    std::int64_t usedCpu(const Worker &worker) const;
    Worker &find(const std::string &id);
    const TaskNeed *needOf(const std::string &task) const;

    FleetOptions m_options;
    Store &m_store;
    Record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, TaskNeed> m_needs; ///< By "ID.STEP".
    std::map<std::string, std::int64_t> m_gangDone; ///< When a gang's run ends as done, by step and run.
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<RunEvent> m_events;
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<Server> m_cloud;
    std::thread m_ticker;
};
} // namespace review
