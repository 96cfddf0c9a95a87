#pragma once

#include <poplarpass/app/process_runtime.h>
#include <poplarpass/app/ticker.h>
#include <poplarpass/app/worker_directory.h>
#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/request.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarpass::app
{
/// \brief What the owner of a job_runner decides and hears, job by job.
struct job_hooks
{
    /// \brief Asked right before an attempt that may be the job's only one; an error holds the job back.
    std::function<core::result<void>()> beginAttempt;
    /// \brief The attempt gave a sure sign that it did not start.
    std::function<void()> attemptNotStarted;
    /// \brief The job's final answer; called once.
    std::function<void(request::job_answer)> done;
};

/// \brief Queues jobs, places them on workers, and sends them again where that is allowed.
class job_runner
{
public:
    job_runner(process_runtime &process, worker_directory &workers);
    ~job_runner();

    /// \brief Takes teams and pools of a revision.
    auto useConfig(const config::fleet_config &config) -> void;

    /// \brief Queues a job; its hooks are called from then on, but not before this returns.
    /// \returns the ticket, or why the job is refused
    auto submit(std::shared_ptr<const request::job_spec> spec, job_hooks hooks) -> core::result<request::ticket_id>;

    /// \brief Takes a job that has not started out of its queue, without an answer.
    /// \returns whether it was waiting
    auto withdraw(request::ticket_id ticket) -> bool;

    /// \brief Tells the worker of a running job to stop it; the job is answered when the worker has.
    auto stop(request::ticket_id ticket) -> void;

    /// \brief Starts what can start; called when workers or jobs change, and now and then.
    auto pump() -> void;

    /// \brief Demand of each pool, for control.
    [[nodiscard]] auto demand() const -> std::vector<request::pool_demand>;

    /// \brief Jobs that wait or run.
    [[nodiscard]] auto activeCount() const -> std::size_t;

private:
    struct attempt
    {
        std::string id;
        core::host_id host;
        request::uncertain_attempt sent;
    };

    struct job
    {
        request::ticket_id ticket = 0;
        std::string taskId;
        std::shared_ptr<const request::job_spec> spec;
        job_hooks hooks;
        request::attempt_history history;
        request::work_estimate estimate;
        core::monotonic_time submittedAt;
        core::monotonic_time deadline;
        std::vector<attempt> open;
        std::optional<core::host_id> avoid;
        std::optional<core::monotonic_time> askUntil;
        std::optional<core::monotonic_time> heldSince;
        bool mayHaveStarted = false;
        bool makingRoom = false;
        bool stopping = false;
        observe::span span;
    };

    enum class placement_result {
        sent,
        no_worker,
        held,
    };

    struct held_job
    {
        request::ticket_id ticket = 0;
        core::monotonic_time due;
    };

    struct pool_state
    {
        explicit pool_state(std::size_t maxQueued)
            : queue{maxQueued}
        {
        }

        request::admission_queue queue;
        std::uint64_t arrivals = 0;
    };

    auto poolOf(const core::pool_id &pool) -> pool_state &;
    auto find(request::ticket_id ticket) -> job *;
    auto checkPlaceable(const request::job_spec &spec, const request::work_estimate &estimate) const
        -> core::result<void>;
    auto updateCapacity(const core::pool_id &name, pool_state &pool) -> void;
    auto pumpPool(const core::pool_id &name, pool_state &pool) -> void;
    auto expire(pool_state &pool) -> void;
    auto preemptBatchJobs(const core::pool_id &name, pool_state &pool) -> void;
    auto place(job &target) -> placement_result;
    auto hold(job &target) -> void;
    auto releaseHeld() -> void;
    auto resend(job &target) -> void;
    auto send(job &target, const worker_choice &choice) -> void;
    auto attemptEnded(request::ticket_id ticket, const attempt &sent, const platform::start_answer &answer) -> void;
    auto follow(request::ticket_id ticket, const request::attempt_decision &decision, const attempt &sent) -> void;
    auto askWorker(request::ticket_id ticket, const attempt &sent) -> void;
    auto workerAnswered(request::ticket_id ticket, const attempt &sent,
                        const core::result<platform::task_report> &report) -> void;
    auto armHedge(request::ticket_id ticket) -> void;
    auto hedge(request::ticket_id ticket) -> void;
    auto requeue(job &target) -> void;
    auto finish(request::ticket_id ticket, request::job_answer answer) -> void;
    auto queryOf(const job &target) const -> request::placement_query;

    process_runtime &m_process;
    worker_directory &m_workers;
    request::retry_budget m_budget;
    request::attempt_policy m_policy;
    request::answer_matcher m_matcher;
    request::work_estimator m_estimator;
    std::map<core::pool_id, pool_state> m_pools;
    std::unordered_map<request::ticket_id, job> m_jobs;
    std::deque<held_job> m_held;
    request::ticket_id m_lastTicket = 0;
    std::uint64_t m_lastAttempt = 0;
    bool m_pumping = false;
    bool m_pumpAgain = false;
    std::shared_ptr<bool> m_alive;
};
} // namespace poplarpass::app
