#pragma once

#include <poplarpass/jobs/advice_book.h>
#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/worker_table.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarpass::jobs
{
/// \brief What became of a submission.
enum class submit_outcome : std::uint8_t {
    accepted, ///< A new job; it is accepted once its record is stored.
    known, ///< The job was accepted before.
};

/// \brief What became of a cancellation.
enum class cancel_outcome : std::uint8_t {
    cancelled, ///< The job is cancelled once its record is stored.
    ended, ///< It had ended before.
    unknown, ///< There is no such job.
};

/// \brief One decision, for the event log.
struct decision
{
    std::string_view event; ///< Name of the event.
    std::string subject; ///< Job or task.
    std::string worker; ///< Worker, if one is concerned.
    std::uint32_t run = 0; ///< Run, if one is concerned.
    std::string_view reason; ///< What decided it.
};

/// \brief Tasks of a pool whose turn had come, and that found room only on workers that may not run them.
struct placement_mismatch
{
    std::uint32_t steps = 0; ///< Steps with such tasks.
    std::string requirement; ///< Label that all of them require; empty when any other worker may do.
};

/// \brief Counts for metrics.
struct engine_counters
{
    std::uint64_t starts = 0; ///< Starts that were decided.
    std::uint64_t startsRejected = 0; ///< Starts that a worker rejected.
    std::uint64_t runsDone = 0; ///< Runs that ended as done.
    std::uint64_t runsFailed = 0; ///< Runs that ended as failed.
    std::uint64_t runsLost = 0; ///< Runs that vanished with their worker or its lease.
    std::uint64_t jobsAccepted = 0; ///< Jobs accepted.
    std::uint64_t jobsCompleted = 0; ///< Jobs completed.
    std::uint64_t jobsFailed = 0; ///< Jobs failed.
    std::uint64_t jobsCancelled = 0; ///< Jobs cancelled.
};

/// \brief State machine of all jobs and their tasks, for the one process that owns the pools.
///
/// Events go in; changed jobs and orders come out. Every order must be sent only after the jobs that takeChanged()
/// named together with it are stored: then each run that may exist anywhere is on record before it can exist.
class job_engine
{
public:
    /// \param onDecision gets each decision; may be empty
    explicit job_engine(std::function<void(const decision &)> onDecision);

    /// \brief Takes in a job from the store, before anything else.
    /// \param ordersUntil former owners may give orders until then
    auto restore(job_record job, core::monotonic_time now, core::monotonic_time ordersUntil) -> void;

    /// \brief A caller submits a job.
    /// \pre the specification was checked: steps come after earlier ones, and no step is empty
    auto submit(const job_id &id, const queue_policy &queue, job_spec spec, core::wall_time received) -> submit_outcome;

    /// \brief A caller cancels a job.
    auto cancel(const job_id &id, core::monotonic_time now) -> cancel_outcome;

    /// \brief The job \p id; null when it is not known.
    [[nodiscard]] auto find(const job_id &id) const -> const job_record *;

    /// \brief Accepted jobs of \p queue of which nothing was ever started.
    [[nodiscard]] auto pendingCount(const queue_id &queue) const -> std::size_t;

    /// \brief Takes in the platform's whole list of workers.
    auto updateWorkers(std::span<const worker_entry> entries, core::monotonic_time now) -> void;

    /// \brief Takes in a worker's answer to a renewal that was sent at \p sentAt.
    /// \returns number of the last end that may be acknowledged once takeChanged() is stored
    auto onReport(const worker_id &id, const worker_report &report, core::monotonic_time sentAt,
                  core::monotonic_time now) -> std::uint64_t;

    /// \brief A renewal was not answered.
    auto onNoReport(const worker_id &id) -> void;

    /// \brief Another life answered at the worker's address: its own is over.
    auto onOtherInstance(const worker_id &id, core::monotonic_time now) -> void;

    /// \brief Takes in the answer to a start.
    auto onStartAnswer(const start_order &order, start_answer answer, core::monotonic_time now) -> void;

    /// \brief Takes in the answer to a stop.
    auto onStopAnswer(const stop_order &order, stop_answer answer, core::monotonic_time now) -> void;

    /// \brief Moves long-running tasks away from \p worker, as many at once as their steps allow.
    ///
    /// A task is stopped only when another worker has room for it.
    auto evacuate(const worker_slot &worker, core::monotonic_time now) -> void;

    /// \brief Questions for advice that came up since the last call.
    auto takeAdviceRequests() -> std::vector<advice_request>;

    /// \brief Takes in the answer to a question that was sent at \p sentAt; nothing when there was none.
    auto onAdvice(const advice_request &request, const std::optional<std::vector<advice_ticket>> &tickets,
                  core::monotonic_time sentAt, core::monotonic_time now) -> void;

    /// \brief Decides which tasks start, and which stops to repeat.
    auto plan(core::monotonic_time now, core::wall_time wallTime) -> void;

    /// \brief Pools whose workers could not take what waits although there was room, since the last call.
    auto takeMisfits() -> std::map<core::pool_id, placement_mismatch>;

    /// \brief Jobs that changed since the last call and have to be stored.
    auto takeChanged() -> std::set<job_id>;

    /// \brief Whether \p id changed since the last takeChanged().
    [[nodiscard]] auto isChanged(const job_id &id) const -> bool;

    /// \brief Orders that were decided since the last call.
    auto takeOrders() -> order_batch;

    /// \brief Workers.
    [[nodiscard]] auto workers() -> worker_table &;

    /// \brief Calls \p visit with each job that has not ended.
    auto forEachActive(const std::function<void(const job_record &)> &visit) const -> void;

    /// \brief All jobs.
    [[nodiscard]] auto jobs() const -> const std::unordered_map<std::string, job_record> &;

    /// \brief Tasks in memory, over all jobs.
    [[nodiscard]] auto taskCount() const -> std::size_t;

    /// \brief Figures since the start.
    [[nodiscard]] auto counters() const -> const engine_counters &;

    /// \brief Forgets jobs that ended long ago, and the tasks of those that ended a moment ago.
    /// \returns the forgotten ones, whose records may be removed
    auto forgetEnded(core::monotonic_time now) -> std::vector<job_id>;

private:
    struct located_task
    {
        job_record *job = nullptr;
        task_state *state = nullptr;
    };

    auto locate(const task_ref &task) -> located_task;
    auto activeJobsOf(const core::pool_id &pool) -> std::vector<job_record *>;
    auto markChanged(const job_record &job) -> void;
    auto say(std::string_view event, const std::string &subject, const worker_id &worker, std::uint32_t run,
             std::string_view reason) -> void;
    auto place(job_record &job, const task_ref &task, worker_slot &worker, std::uint32_t run, core::monotonic_time now)
        -> void;
    /// \brief Orders the start of the task's current run, for the first time or again.
    auto orderStart(const job_record &job, const task_ref &task, task_state &state) -> void;
    auto unplace(const task_ref &task, const job_record &job, task_state &state) -> void;
    auto resetToWaiting(const task_ref &task, job_record &job, task_state &state, core::monotonic_time notBefore)
        -> void;
    auto orderStop(const worker_id &worker, const std::string &task, std::uint32_t run) -> void;
    auto beginClosing(const task_ref &task, const job_record &job, task_state &state, core::monotonic_time now) -> void;
    auto finishTask(const task_ref &task, job_record &job, task_state &state, core::monotonic_time now) -> void;
    auto finishGang(const task_ref &task, job_record &job, core::monotonic_time now) -> void;
    auto endJob(job_record &job, job_phase phase, core::monotonic_time now) -> void;
    auto onEnd(worker_slot &worker, const ended_run &end, core::monotonic_time now) -> void;
    auto resolveEarlierIncarnation(worker_slot &worker, const worker_report &report, core::monotonic_time sentAt,
                                   core::monotonic_time now) -> void;
    auto markStarted(job_record &job, const worker_slot &worker) -> void;
    auto onEndOfCurrentRun(const task_ref &task, job_record &job, task_state &state, const ended_run &end,
                           core::monotonic_time now) -> void;
    auto countFailure(const task_ref &task, job_record &job, task_state &state, std::uint32_t run,
                      core::monotonic_time now) -> void;
    auto recordOutcome(worker_slot &worker, end_kind how, core::monotonic_time now) -> void;
    auto onRunning(worker_slot &worker, const running_run &running, core::monotonic_time now) -> void;
    auto resolveUnlistedRuns(worker_slot &worker, const worker_report &report, core::monotonic_time sentAt,
                             core::monotonic_time now) -> void;
    auto markAllLost(worker_slot &worker, std::string_view reason, core::monotonic_time now) -> void;
    /// \returns whether the start of the current run was ordered once more
    auto repeatStart(const job_record &job, const task_ref &task, task_state &state) -> bool;
    auto onStartAccepted(const start_order &order, job_record &job, task_state &state, core::monotonic_time now)
        -> void;
    auto onStartUnanswered(const start_order &order, const job_record &job, task_state &state, core::monotonic_time now)
        -> void;
    auto onStartRejected(const start_order &order, start_answer answer, job_record &job, task_state &state,
                         core::monotonic_time now) -> void;
    auto expireLeases(core::monotonic_time now) -> void;
    auto repeatStops(core::monotonic_time now) -> void;
    auto paceBestEffortRuns(worker_slot &worker, core::monotonic_time now) -> void;
    auto relocateStragglers(core::monotonic_time now) -> void;
    auto considerRelocation(const task_ref &task, worker_slot &worker, core::monotonic_time now) -> void;
    auto evacuateLeaving(core::monotonic_time now) -> void;
    auto planPool(const core::pool_id &pool, core::monotonic_time now, core::wall_time wallTime) -> void;
    auto planJob(job_record &job, std::span<worker_slot *const> workers, core::monotonic_time now,
                 core::wall_time wallTime) -> void;
    auto advisedWorkers(const job_record &job, std::uint32_t occurrence, std::uint32_t step,
                        std::span<worker_slot *const> workers, core::monotonic_time now) -> std::vector<worker_slot *>;
    /// \returns whether nothing that could start now is left
    auto planStep(job_record &job, std::uint32_t occurrence, std::uint32_t step, std::span<worker_slot *const> workers,
                  core::monotonic_time now) -> bool;
    auto eligibleWorkersOf(const core::pool_id &pool, core::monotonic_time now) -> std::vector<worker_slot *>;
    auto mayBeUnavailable(const job_record &job, const task_ref &task, core::monotonic_time now) -> bool;
    /// \returns whether nothing that could start now is left
    auto planGang(job_record &job, std::uint32_t occurrence, std::uint32_t step, std::span<worker_slot *const> workers,
                  core::monotonic_time now) -> bool;
    auto recordMismatch(const job_record &job, std::uint32_t step, std::span<worker_slot *const> workers) -> void;

    std::function<void(const decision &)> m_onDecision;
    std::unordered_map<std::string, job_record> m_jobs;
    std::map<core::pool_id, std::set<job_id>> m_activeJobs;
    worker_table m_workers;
    std::set<job_id> m_changed;
    order_batch m_orders;
    advice_cache m_advice;
    std::vector<advice_request> m_adviceRequests;
    std::map<core::pool_id, placement_mismatch> m_mismatches;
    core::monotonic_time m_stragglersAt{};
    engine_counters m_counters;
    std::size_t m_taskCount = 0;
};
} // namespace poplarpass::jobs
