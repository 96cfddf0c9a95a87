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
/// \brief Callbacks of a job_runner for one job.
struct job_hooks
{
    /// \brief Called before an attempt if no earlier one may have started the job; on an error the job is held back.
    std::function<core::result<void>()> beginAttempt;
    /// \brief Called when it is certain that the attempt did not start the job.
    std::function<void()> attemptNotStarted;
    /// \brief Called once with the final answer of the job.
    std::function<void(request::job_answer)> done;
};

/// \brief Queues jobs, places them on workers, and retries them where that is allowed.
class job_runner
{
public:
    job_runner(process_runtime &process, worker_directory &workers);
    ~job_runner();

    /// \brief Applies the team shares of a revision to the queue of each pool.
    auto applyConfig(const config::fleet_config &config) -> void;

    /// \brief Queues a job; its hooks are called only after this function has returned.
    /// \returns the ticket, or the reason why the job is rejected
    auto submit(std::shared_ptr<const request::job_spec> spec, job_hooks hooks) -> core::result<request::ticket_id>;

    /// \brief Removes a queued job without an answer.
    /// \returns whether the job was queued
    auto withdraw(request::ticket_id ticket) -> bool;

    /// \brief Sends a stop command to the workers of a job; the job is answered when its worker has reported the end.
    auto stop(request::ticket_id ticket) -> void;

    /// \brief Starts the queued jobs that can start; called periodically and when workers or jobs change.
    auto pump() -> void;

    /// \brief Returns the demand of each pool, as reported to the control process.
    [[nodiscard]] auto demand() const -> std::vector<request::pool_demand>;

    /// \brief Returns the number of jobs that are queued, held or running.
    [[nodiscard]] auto activeCount() const -> std::size_t;

private:
    struct attempt
    {
        std::string id;
        core::host_id host;
        request::uncertain_attempt start;
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
        std::vector<attempt> openAttempts;
        std::optional<core::host_id> avoidedHost;
        std::optional<core::monotonic_time> queryUntil;
        std::optional<core::monotonic_time> heldSince;
        bool mayHaveStarted = false;
        bool preempting = false;
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
    auto handleAttemptEnd(request::ticket_id ticket, const attempt &sent, const platform::start_response &answer)
        -> void;
    auto applyDecision(request::ticket_id ticket, const request::attempt_decision &decision, const attempt &sent)
        -> void;
    auto queryWorker(request::ticket_id ticket, const attempt &sent) -> void;
    auto handleWorkerReport(request::ticket_id ticket, const attempt &sent,
                            const core::result<platform::task_report> &report) -> void;
    auto scheduleHedge(request::ticket_id ticket) -> void;
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
