#pragma once

#include <poplarpass/core.h>
#include <poplarpass/request.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Deterministic simulation of a fleet: entries, workers, log, callers and faults on a stepped clock.
namespace tests
{
namespace core = poplarpass::core;
namespace platform = poplarpass::platform;
namespace request = poplarpass::request;

/// \brief Returns the name of the entry with that number.
inline auto memberName(int index) -> core::member_id
{
    return core::member_id{"entry-" + std::to_string(index)};
}

/// \brief Returns the number of the entry with that name.
inline auto memberIndex(const core::member_id &name) -> int
{
    return std::stoi(name.str().substr(6));
}

/// \brief Parameters of one simulated history.
struct sim_options
{
    std::uint64_t seed = 0;
    int entries = 4;
    bool faults = true;
};

/// \brief Results of one simulated history.
struct sim_report
{
    std::vector<std::string> violations; ///< Broken invariants with their evidence; empty if all held.
    std::uint64_t submitted = 0;
    std::uint64_t ran = 0; ///< Answers with run state ran.
    std::uint64_t notRun = 0; ///< Answers with run state not_run.
    std::uint64_t unknown = 0; ///< Answers with run state unknown.
    std::uint64_t lateUnknown = 0; ///< Of these, answers to keys minted after the end of the faults.
};

/// \brief Simulates one history, determined by its seed; run() is called once.
class fleet_sim
{
public:
    explicit fleet_sim(sim_options options);
    auto run() -> sim_report;

private:
    using time = core::monotonic_time;
    using task = std::function<void()>;

    struct event
    {
        time due;
        std::uint64_t order;
        task run;
        auto operator>(const event &other) const -> bool
        {
            return std::pair{due, order} > std::pair{other.due, other.order};
        }
    };

    struct attempt_state
    {
        std::shared_ptr<const request::job_spec> spec;
        request::attempt_history history;
        request::uncertain_attempt sent;
        int worker = 0;
        int number = 0;
        time startedAt;
        time startDeadline;
        bool completed = false;
        bool open = false;
    };

    struct entry
    {
        explicit entry(request::member_ref self);
        request::authority authority;
        request::job_table jobs;
        request::key_authority keys;
        request::lease_table leases;
        request::retry_budget budget;
        request::attempt_policy policy{budget};
        std::map<core::member_id, std::pair<std::uint64_t, std::uint64_t>> lastReceived;
        std::map<core::member_id, std::uint64_t> sentSequences;
        std::map<request::packed_key, attempt_state> attempts;
        std::set<request::waiter_id> waiting;
        std::size_t folded = 0;
        bool reading = false;
        bool leaving = false;
    };

    struct host
    {
        std::unique_ptr<entry> process;
        std::uint64_t incarnation = 0;
        core::duration clockOffset{};
        time frozenUntil;
        time stoppedAt;
        time logUnreachableUntil;
        time unhealthySince = time::max();
        std::vector<task> backlog;
    };

    struct worker_task
    {
        platform::worker_task_state state = platform::worker_task_state::running;
        int runs = 0;
    };

    struct worker
    {
        std::uint64_t boot = 1;
        std::uint64_t lastLease = 0;
        std::map<std::uint64_t, time> leases;
        std::map<std::string, worker_task> tasks;
        time downUntil;
    };

    struct key_state
    {
        int starts = 0;
        bool reportedNotRun = false;
        bool mintedAfterFaults = false;
        std::vector<std::string> steps;
    };

    struct waiter_state
    {
        std::string key;
        int host = 0;
        std::uint64_t incarnation = 0;
        time requestedAt;
        int answers = 0;
        bool isQuery = false;
    };

    // Event loop.
    auto at(time due, task run) -> void;
    auto after(core::duration delay, task run) -> void;
    auto onHost(int index, std::uint64_t incarnation, const std::function<void(entry &)> &run) -> void;
    auto instantOf(int index) const -> request::instant;
    auto chance(double probability) -> bool;
    auto between(core::duration low, core::duration high) -> core::duration;
    auto trace(const std::string &key, const std::string &text) -> void;
    auto reportViolation(const std::string &key, const std::string &text) -> void;

    // Entries.
    auto startEntry(int index) -> void;
    auto stopEntry(int index) -> void;
    auto restart(int index, std::uint64_t incarnation) -> void;
    auto tick(int index, std::uint64_t incarnation) -> void;
    auto heartbeat(int index, std::uint64_t incarnation) -> void;
    auto readLog(int index, std::uint64_t incarnation) -> void;
    auto fold(int index, entry &process, std::size_t upTo, std::uint64_t settled, time startedAt) -> void;
    auto execute(int index, entry &process, const request::key_actions &actions) -> void;
    auto answer(int index, entry &process, request::waiter_id waiter, const request::job_answer &answer) -> void;
    auto cancelAnswered(const request::cancel_action &result) -> void;
    auto send(int from, const request::member_ref &to, const request::peer_message &message) -> void;
    auto deliver(int from, const request::member_ref &sender, int to, const request::peer_message &message) -> void;
    auto refuseConnection(int from, const core::member_id &to, core::duration delay) -> void;

    // Attempts and workers.
    auto tryStart(int index, entry &process, const request::packed_key &key) -> void;
    auto requestLease(int index, entry &process, int target) -> void;
    auto sendStart(int index, entry &process, const request::packed_key &key, std::uint64_t lease) -> void;
    auto startReceived(int index, std::uint64_t incarnation, const request::packed_key &key, int number, int target,
                       std::uint64_t lease) -> void;
    auto answerReceived(int index, std::uint64_t incarnation, const request::packed_key &key, int number,
                        const platform::start_response &answer) -> void;
    auto applyDecision(int index, entry &process, const request::packed_key &key,
                       const request::attempt_decision &decision) -> void;
    auto queryWorker(int index, entry &process, const request::packed_key &key) -> void;
    auto stopTask(const request::packed_key &key, int target) -> void;

    // Log, faults and callers.
    auto append(request::membership next) -> void;
    auto settle(std::uint64_t epoch) -> void;
    auto join(int index) -> void;
    auto removeMember(const request::member_ref &member, bool lost) -> void;
    auto runController() -> void;
    auto injectEntryFault() -> void;
    auto injectWorkerFault() -> void;
    auto beginDrain(int index) -> void;
    auto awaitHandover(int index, std::uint64_t incarnation) -> void;
    auto newKey() -> void;
    auto submit(int index, const std::string &key, const std::string &payload, core::team_id team) -> void;
    auto isLogReachable(int index) const -> bool;
    auto check() -> void;

    sim_options m_options;
    std::mt19937_64 m_random;
    time m_now{std::chrono::hours{1}};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<host> m_hosts;
    std::vector<worker> m_workers;
    std::map<std::pair<int, int>, time> m_partitions;
    std::vector<request::membership> m_log;
    std::uint64_t m_settled = 0;
    time m_logDownUntil;
    time m_faultsEnd;
    time m_end;
    std::map<std::string, key_state> m_keys;
    std::map<request::waiter_id, waiter_state> m_waiters;
    request::waiter_id m_lastWaiter = 0;
    sim_report m_report;
};
} // namespace tests
