#pragma once

#include "fleet.h"

#include <sys/types.h>

/// The project's own processes, and what a case needs of clients and the operator.
namespace harness
{
/// Settings of a deployment that differ between cases.
struct deployment_options
{
    int hosts = 3;
    bounds limits;
    std::int64_t revokeMs = 0; ///< 0: strict_revoke is not set.
};

struct host_process
{
    std::string name;
    std::string ip;
    std::string frontend;
    std::string readiness;
    std::string settings;
    std::string log;
    std::size_t door = 0; ///< Its address of the store.
    pid_t pid = -1;
};

class deployment
{
public:
    /// \param folder folder of the case, for its record
    deployment(const std::string &folder, deployment_options options);
    ~deployment();

    record log;
    std::string prefix; ///< Begin of all addresses: "127.N.M.".
    std::unique_ptr<harness::store> store;
    std::unique_ptr<harness::fleet> fleet;
    std::vector<host_process> hosts;

    /// Address of the worker with this number, from 1.
    std::string workerIp(int number) const
    {
        return prefix + std::to_string(100 + number);
    }

    /// Writes op/config as the operator does.
    void publish(const std::string &config);

    /// Starts all hosts and waits until they are ready.
    bool startHosts();

    void start(host_process &host);
    void kill(host_process &host);

    /// Returns the host that owns the pools by its metrics; null if none says so.
    host_process *owner();

    /// Sends a client's request and writes it and its answer to the record; 0 without an answer.
    int call(const host_process &host, const std::string &method, const std::string &path, const std::string &body,
             const std::map<std::string, std::string> &headers = {}, std::string *answer = nullptr);

    static void sleepMs(std::int64_t ms)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{ms});
    }

    /// Waits until \p condition holds; returns whether it did in time.
    template <typename condition_type>
    bool waitFor(std::int64_t ms, condition_type condition)
    {
        const auto end = log.elapsedMs() + ms;
        while (!condition()) {
            if (log.elapsedMs() >= end) {
                return false;
            }
            sleepMs(10);
        }
        return true;
    }

private:
    std::string settingsOf(const host_process &host, int index) const;

    deployment_options m_options;
    std::string m_temporary;
    std::string m_template;
    std::map<std::string, int> m_ports;
};

/// Whether the case runs with its disruption: not with TROUBLE=0.
bool withTrouble();

/// Body of a submission.
std::string jobBody(const std::vector<step_plan> &steps);

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
using case_function = std::function<int(const std::string &folder)>;
int gangOfRack(const std::string &folder);
int gangRoom(const std::string &folder);
int rejectedButRuns(const std::string &folder);
int foreignEntry(const std::string &folder);
int wrongKind(const std::string &folder);
} // namespace harness
