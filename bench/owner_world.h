#pragma once

#include <poplarpass/host/pool_owner.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fakes/stepped_time.h>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bench
{
namespace core = poplarpass::core;
namespace host = poplarpass::host;
namespace jobs = poplarpass::jobs;
namespace store = poplarpass::store;

/// \brief Number of tasks of each submitted job, over its two steps.
inline constexpr std::uint32_t tasksPerJob = 13;
/// \brief Number of those in the first step.
inline constexpr std::uint32_t tasksOfFirstStep = 8;

/// \brief Processor time and work of the owner so far.
struct owner_usage
{
    std::chrono::nanoseconds busy{0}; ///< Time spent in the owner's code.
    std::uint64_t starts = 0; ///< Start orders received by workers.
};

/// \brief An owner of five pools with workers, a store and callers that respond on a stepped clock.
///
/// Time spent in the stand-ins themselves is not counted.
class owner_world
{
public:
    explicit owner_world(int workers);
    ~owner_world();
    owner_world(const owner_world &) = delete;
    auto operator=(const owner_world &) -> owner_world & = delete;

    /// \brief Advances the clock by \p time.
    auto run(core::duration time) -> void;

    /// \brief Submits \p count jobs at once.
    auto submit(std::size_t count) -> void;

    /// \brief Submits \p perSecond jobs a second from now on, evenly spread over the pools.
    auto setJobRate(double perSecond) -> void;

    /// \brief Returns the processor time and the starts so far.
    [[nodiscard]] auto usage() const -> owner_usage;

    /// \brief Returns the number of submitted jobs.
    [[nodiscard]] auto submittedJobs() const -> std::uint64_t;

private:
    class standin_scope;

    struct sim_worker
    {
        core::pool_id pool;
        std::map<std::string, std::uint32_t> running;
        std::deque<jobs::ended_run> ended;
        std::uint64_t lastEnd = 0;
        std::function<void(host::renewal_answer)> waiting;
        std::uint64_t waitingSerial = 0;
    };

    auto makeRoutes() -> void;
    auto makeStore() -> store::record_store;
    auto makeWorkerCalls() -> host::worker_calls;
    auto makeHostCalls() -> host::host_calls;
    auto makeDecoders() -> host::platform_decoders;
    auto renew(const host::renewal_call &call, std::function<void(host::renewal_answer)> done) -> void;
    auto start(const std::string &worker, const jobs::start_order &order) -> void;
    auto endRun(const std::string &worker, const std::string &task, std::uint32_t run) -> void;
    auto answerWaiting(sim_worker &worker) -> void;
    auto reportOf(const sim_worker &worker) const -> jobs::renewal_report;
    auto submitOne() -> void;
    auto submitAtRate() -> void;
    auto renewTerm() -> void;
    auto after(core::duration delay, std::function<void()> callback) -> void;
    auto timed(const std::function<void()> &callback) -> void;

    fakes::stepped_time m_time;
    core::time_source m_clock;
    poplarpass::observe::logger m_log;
    poplarpass::observe::metrics_registry m_metrics;
    poplarpass::route::route_table m_routes;
    std::vector<std::string> m_workerIds;
    std::unordered_map<std::string, sim_worker> m_workers;
    store::record_store m_store;
    host::worker_calls m_workerCalls;
    host::host_calls m_hostCalls;
    host::advice_calls m_advice;
    host::platform_decoders m_decoders;
    std::map<std::string, std::string> m_operatorRecords;
    std::uint64_t m_storeEnd = 0;
    double m_jobsPerSecond = 0;
    double m_dueJobs = 0; ///< Jobs that are due and not yet submitted, including the fraction of the next one.
    std::uint64_t m_jobs = 0;
    std::uint64_t m_answered = 0;
    owner_usage m_usage;
    std::chrono::steady_clock::time_point m_enteredAt;
    std::unique_ptr<host::pool_owner> m_owner;
};
} // namespace bench
