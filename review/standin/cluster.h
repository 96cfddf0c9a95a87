// A small deployment for one case: processes of the system, store, workers, operator and clients, all on loopback.
#pragma once

#include "fleet.h"
#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

namespace review
{
/// One process of the system, started with the command of the deploy file.
class HostProcess
{
public:
    HostProcess(std::string name, std::string program, std::string folder, std::string store, std::string cloud);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    void start();
    void signal(int number) const;
    void killAndWait();
    bool isReady() const;

    const std::string &name() const;
    std::string callers() const;
    std::string logPath() const;

private:
    std::string m_name;
    std::string m_program;
    std::string m_folder;
    std::string m_settings;
    int m_callers = 0;
    int m_readiness = 0;
    pid_t m_pid = -1;
};

struct ClusterOptions
{
    int hosts = 3;
    FleetOptions fleet;
    int maxAttempts = 3;
};

class Cluster
{
public:
    /// \param recordPath where the record is written
    Cluster(ClusterOptions options, const std::string &recordPath);
    ~Cluster();

    /// Starts all processes and waits until they serve. \returns false if they do not in time
    bool start();

    Record &record();
    Store &store();
    Fleet &fleet();
    HostProcess &host(std::size_t index);
    std::size_t hostCount() const;

    /// Hands a job in at \p host, once. \param workMs work of each task of a step; the last one holds for the rest
    /// \param timeoutMs when the client leaves; it always says that it waits for clientDeadlineMs
    Reply submit(std::size_t host, const std::string &id, const nlohmann::json &body, std::vector<std::int64_t> workMs,
                 std::int64_t timeoutMs = 3000);

    /// Hands a job in until it is accepted, at one process after the other. \returns whether it was accepted
    bool submitUntilAccepted(const std::string &id, const nlohmann::json &body, std::vector<std::int64_t> workMs,
                             std::int64_t withinMs = 10000);

    Reply cancel(std::size_t host, const std::string &id);

    /// Asks for a job's state at one process after the other. \returns the state, "410", or "none" without an answer
    std::string state(const std::string &id, std::int64_t withinMs = 4000);

    /// Waits until \p condition holds. \returns whether it did in time
    static bool waitFor(std::int64_t withinMs, const std::function<bool()> &condition);

private:
    Reply request(std::size_t host, const std::string &method, const std::string &id, const std::string &body,
                  std::int64_t timeoutMs);

    ClusterOptions m_options;
    std::string m_folder;
    std::unique_ptr<Record> m_record;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<Fleet> m_fleet;
    std::vector<std::unique_ptr<HostProcess>> m_hosts;
};

/// What a case ends with.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Runs a case within 115 s: \p body gets whether to bring the disruption. Reads TROUBLE from the environment; the
/// record's path is the first argument.
int runCase(int argc, char **argv, const std::function<int(const std::string &record, bool trouble)> &body);
} // namespace review
