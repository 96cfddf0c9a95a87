#pragma once

#include <poplarpass/jobs/account_caps.h>
#include <poplarpass/jobs/account_numbers.h>
#include <poplarpass/jobs/account_usage.h>
#include <poplarpass/jobs/advice_cache.h>
#include <poplarpass/jobs/crash_evidence.h>
#include <poplarpass/jobs/gang_hold.h>
#include <poplarpass/jobs/job_engine_types.h>
#include <poplarpass/jobs/job_order.h>
#include <poplarpass/jobs/job_state.h>
#include <poplarpass/jobs/lingering_run.h>
#include <poplarpass/jobs/placement_candidates.h>
#include <poplarpass/jobs/pool_shares.h>
#include <poplarpass/jobs/ranked_job.h>
#include <poplarpass/jobs/resume_room.h>
#include <poplarpass/jobs/room_reservations.h>
#include <poplarpass/jobs/run_time_model.h>
#include <poplarpass/jobs/suspect_workers.h>
#include <poplarpass/jobs/wait_reasons.h>
#include <poplarpass/jobs/worker_table.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace poplarpass::jobs
{
/// \brief State machine of all jobs and their tasks, used by the one process that owns the pools.
///
/// Processes events and returns changed jobs and orders. An order must be sent only after the jobs that
/// drainChangedJobs() returned together with it are stored, so that every run is on record before it can exist.
class job_engine
{
public:
    /// \param onDecision called for each decision; may be empty
    explicit job_engine(std::function<void(const decision &)> onDecision);

    /// \brief Restores a job from the store; called before any other function.
    /// \param ordersUntil time until which former owners may send orders
    auto restore(multistep_job_record job, core::monotonic_time now, core::monotonic_time ordersUntil) -> void;

    /// \brief Adds a job that a caller submitted.
    /// \param account client account of the caller; empty for an anonymous caller
    /// \pre isValidSpec(spec)
    auto submit(const job_id &id, const queue_policy &queue, multistep_job_spec spec, core::wall_time received,
                const account_id &account = {}) -> submit_outcome;

    /// \brief Decides whether an account may add a job, given its waiting work in the pool (see backlog_limit.h).
    ///
    /// Long-running and scheduled jobs are not limited, nor are repeated submissions of a known job.
    /// \returns time after which to retry when the job is refused
    [[nodiscard]] auto checkBacklog(const job_id &id, const queue_policy &queue, const multistep_job_spec &spec,
                                    const account_id &account) const -> std::optional<std::chrono::seconds>;

    /// \brief Cancels a job at its caller's request.
    auto cancel(const job_id &id, core::monotonic_time now) -> job_cancel_outcome;

    /// \brief Cancels a job of which no submission has arrived: one that is still on its way must not run.
    /// \returns false when too many such jobs are remembered
    /// \pre the job is not known
    auto cancelUnsubmitted(const job_id &id, const account_id &account, core::monotonic_time now) -> bool;

    /// \brief Processes a submission of a job that \p account cancelled before; the job does not run.
    /// \returns whether there is such a job
    auto submitCancelled(const job_id &id, const account_id &account) -> bool;

    /// \brief Returns the submitted job \p id; null when it is not known.
    [[nodiscard]] auto find(const job_id &id) const -> const multistep_job_record *;

    /// \brief Returns the job \p id, submitted or not; null when it is not known.
    [[nodiscard]] auto findRecord(const job_id &id) const -> const multistep_job_record *;

    /// \brief Returns the number of active jobs of \p queue of which no task was ever started.
    [[nodiscard]] auto pendingCount(const queue_id &queue) const -> std::size_t;

    /// \brief Applies the platform's complete list of workers.
    auto updateWorkers(std::span<const worker_entry> entries, core::monotonic_time now) -> void;

    /// \brief Sets the pools whose workers get no starts, because their free capacity is not known.
    auto setHeldPools(std::set<core::pool_id> pools) -> void;

    /// \brief Processes a worker's report in answer to a renewal that was sent at \p sentAt.
    /// \returns number of the last end that may be acknowledged once the jobs from drainChangedJobs() are stored; 0 for
    /// none
    auto onReport(const worker_id &id, const renewal_report &report, core::monotonic_time sentAt,
                  core::monotonic_time now) -> std::uint64_t;

    /// \brief Handles a renewal without an answer.
    auto onNoReport(const worker_id &id, core::monotonic_time now) -> void;

    /// \brief Handles a list of hosts, requested at \p requestedAt, in which no host has the worker; called for each
    /// such list.
    auto onHostLost(const worker_id &id, core::monotonic_time requestedAt) -> void;

    /// \brief Handles the end of a worker whose host has another worker.
    auto onHostReplaced(const worker_id &id, core::monotonic_time now) -> void;

    /// \brief Handles an answer of another instance at the worker's address: the worker itself has ended.
    auto onOtherInstance(const worker_id &id, core::monotonic_time now) -> void;

    /// \brief Processes the clock in the answer of worker \p id to an order with a lease.
    /// \param clockAtSending last reading of its clock when the order was sent, milliseconds
    /// \returns whether it shows that the worker has restarted
    auto onClockRead(const worker_id &id, std::int64_t clockMs, std::int64_t clockAtSending, core::monotonic_time now)
        -> bool;

    /// \brief Processes the answer to a start.
    auto onStartAnswer(const start_order &order, run_start_answer answer, core::monotonic_time now) -> void;

    /// \brief Processes the answer to a stop.
    auto onStopAnswer(const stop_order &order, stop_answer answer, core::monotonic_time now) -> void;

    /// \brief Moves long-running tasks off \p worker, as many at once as their steps allow.
    ///
    /// A task is stopped only when another worker has the resources for it.
    auto evacuate(const worker_slot &worker, core::monotonic_time now) -> void;

    /// \brief Stops tasks on \p workers, which are drained, that save their progress and would run on for long.
    ///
    /// They resume from their checkpoints on other workers of the pool. Each of them has room on one of these when it
    /// is stopped; a task of another job may take that room before it starts again.
    auto suspendResumable(std::span<const worker_slot *const> workers, core::monotonic_time now) -> void;

    /// \brief Returns how long the current run of \p task is expected to go on, from its reported progress, else from
    /// its expected run time.
    [[nodiscard]] auto expectedRemaining(const multistep_job_record &job, const task_ref &task,
                                         core::monotonic_time now) const -> core::duration;

    /// \brief Returns the advice requests created since the last call.
    auto drainAdviceRequests() -> std::vector<advice_request>;

    /// \brief Processes the answer to a request that was sent at \p sentAt; \p tickets is empty when there was none.
    auto onAdvice(const advice_request &request, const std::optional<std::vector<advice_ticket>> &tickets,
                  core::monotonic_time sentAt, core::monotonic_time now) -> void;

    /// \brief Decides which tasks start, which runs are relocated and which stops are repeated.
    auto plan(core::monotonic_time now, core::wall_time wallTime) -> void;

    /// \brief Returns the mismatches recorded since the last call, by pool.
    auto drainMismatches() -> std::map<core::pool_id, placement_mismatch>;

    /// \brief Returns the jobs that changed since the last call and have to be stored.
    auto drainChangedJobs() -> std::set<job_id>;

    /// \brief Returns whether \p id changed since the last drainChangedJobs().
    [[nodiscard]] auto isChanged(const job_id &id) const -> bool;

    /// \brief Returns the orders decided since the last call.
    auto drainOrders() -> order_batch;

    /// \brief Returns the table of workers.
    [[nodiscard]] auto workers() -> worker_table &;

    /// \brief Calls \p visit with each job that has not ended.
    auto forEachActive(const std::function<void(const multistep_job_record &)> &visit) const -> void;

    /// \brief Returns all jobs by identifier.
    [[nodiscard]] auto jobs() const -> const std::unordered_map<std::string, multistep_job_record> &;

    /// \brief Returns the number of tasks in memory, over all jobs.
    [[nodiscard]] auto taskCount() const -> std::size_t;

    /// \brief Applies the client accounts of a configuration; called for each new one and before the first plan.
    ///
    /// An account that is not in \p accounts keeps the limits that this engine knew last.
    auto updateAccounts(std::span<const account_limits> accounts) -> void;

    /// \brief Removes all limits of accounts: the configuration no longer has accounts.
    auto disableAccounts() -> void;

    /// \brief Sets whether the configuration is confirmed. While it is not, a cap may have been lowered, and accounts
    /// with a cap get no new starts.
    auto setCapsConfirmed(bool confirmed) -> void;

    /// \brief Returns the limits of \p account in effect; null when none are known.
    [[nodiscard]] auto limitsOf(const account_id &account) const -> const account_limits *;

    /// \brief Returns since when starts of \p account have been held back by its cap; nothing while they are not.
    [[nodiscard]] auto atCapSince(const account_id &account) const -> std::optional<core::monotonic_time>;

    /// \brief Returns whether \p spec can never run under the cap of \p account: a task alone, or a gang as a whole,
    /// exceeds it.
    [[nodiscard]] auto exceedsCap(const multistep_job_spec &spec, const account_id &account) const -> bool;

    /// \brief Returns the resources that placed and lingering runs reserve, by account.
    [[nodiscard]] auto accountUsage() const -> const account_usage &;

    /// \brief Returns the state of each configured account, in the order of the configuration. Visits all jobs.
    [[nodiscard]] auto accountStatus() const -> std::vector<account_status>;
    /// \brief Returns the runs that may exist although they are not placed, by worker.
    [[nodiscard]] auto lingeringRuns() const -> const std::map<worker_id, std::vector<lingering_run>> &;

    /// \brief Returns the counts since construction.
    [[nodiscard]] auto counters() const -> const engine_counters &;

    /// \brief Returns the long-running tasks without a run, as of the last check in plan().
    [[nodiscard]] auto longRunningWaits() const -> const wait_summary &;

    /// \brief Returns what was learnt about the run times of each queue.
    [[nodiscard]] auto runTimes() const -> const run_time_model &;

    /// \brief Returns the expected run time of a task of \p step, learnt from the runs that ended.
    [[nodiscard]] auto expectedRunTime(const queue_id &queue, const step_spec &step) const -> std::chrono::milliseconds;

    /// \brief Removes jobs after endedJobRetention, and the tasks of settled jobs after settledTaskRetention.
    /// \returns the removed jobs, whose records may be deleted
    auto removeEndedJobs(core::monotonic_time now) -> std::vector<job_id>;

private:
    struct located_task
    {
        multistep_job_record *job = nullptr;
        task_record *state = nullptr;
    };

    struct active_job
    {
        multistep_job_record *job = nullptr;
        job_outlook outlook;
        internal::account_number accountNumber = 0;
        account_caps::account *account = nullptr; ///< Its account; null when it has none or the account has no limits.
        resources leastNeed; ///< No start of its tasks needs less; set only with an account.
    };

    /// \brief What the accounts that share a pool have to do with each other.
    struct shared_pool
    {
        internal::pool_shares shares;
        internal::gang_hold gangs;
        std::set<worker_id> heldWorkers; ///< Workers from which other tasks are held back while there is a hold.
        bool wasUnplaced = false; ///< Whether the last cycle left tasks that may start without a worker.
        std::int64_t strandedCpu = 0; ///< Free processor time that fitted no waiting task in the last cycle.
    };

    /// \brief Planning of one pool that accounts share.
    struct sharing_pass
    {
        shared_pool *pool = nullptr; ///< Null while a pool is planned without accounts.
        internal::account_number account = 0; ///< Account of the job being planned.
        bool isFirst = false; ///< Whether only accounts within their share get starts.
        bool isUnplaced = false; ///< Whether a task that may start found no worker.
    };

    /// \brief Tasks of a pool that end by themselves and have waited for long.
    struct waiting_pool
    {
        std::uint64_t tasks = 0;
        task_ref first; ///< Step whose tasks have waited longest; the index does not count.
        core::monotonic_time since = core::monotonic_time::max(); ///< When that step was due.
    };

    using active_jobs = std::map<job_id, active_job>;
    using task_waits = std::vector<internal::wait_schedule<task_ref>::wait>;
    using pool_waits = std::map<core::pool_id, waiting_pool>;

    auto locate(const task_ref &task) -> located_task;
    auto addActiveJob(multistep_job_record &job) -> void;
    auto currentOutlookOf(const multistep_job_record &job) const -> job_outlook;
    auto learnRunTime(const multistep_job_record &job, const step_spec &step, const task_record &state) -> void;
    auto linkAccount(active_job &entry) -> void;
    auto capPermits(const multistep_job_record &job, const step_spec &step) -> bool;
    auto onCappedStart(const multistep_job_record &job) -> void;
    auto mayRestart(const multistep_job_record &job) const -> bool;
    auto reportCaps() -> void;
    auto keepLingering(const task_ref &task, const multistep_job_record &job, const task_record &state,
                       core::monotonic_time now) -> void;
    auto addLingering(worker_slot &worker, lingering_run entry) -> void;
    auto onStrayRun(worker_slot &worker, const running_run &running, core::monotonic_time now) -> void;
    auto onLingeringEnd(const worker_id &worker, const ended_run &end) -> void;
    auto onLingeringStopped(const stop_order &order, core::monotonic_time now) -> void;
    auto resolveLingering(const worker_slot &worker, const renewal_report &report, core::monotonic_time sentAt) -> void;
    auto dropLingering(const worker_id &worker) -> void;
    auto updateLingering(core::monotonic_time now) -> void;
    auto removeLingeringIf(const worker_id &worker, const std::function<bool(lingering_run &)> &isOver) -> void;
    auto setPhase(const task_ref &task, multistep_job_record &job, task_record &state, task_phase phase) -> void;
    auto markChanged(const multistep_job_record &job) -> void;
    auto logEvent(std::string_view event, const std::string &subject, const worker_id &worker, std::uint32_t run,
                  std::string_view reason, const decision_details &details = {}) -> void;
    auto place(multistep_job_record &job, const task_ref &task, worker_slot &worker, std::uint32_t run,
               core::monotonic_time now) -> void;
    /// \brief Adds an order to start the task's current run, for the first time or again.
    auto orderStart(const multistep_job_record &job, const task_ref &task, task_record &state) -> void;
    auto addPlacement(const task_ref &task, const multistep_job_record &job, worker_slot &worker) -> void;
    auto removePlacement(const task_ref &task, const multistep_job_record &job, const task_record &state) -> void;
    /// \param how how the run ended, as logged
    auto resetToWaiting(const task_ref &task, multistep_job_record &job, task_record &state,
                        core::monotonic_time notBefore, std::string_view how) -> void;
    auto orderStop(const worker_id &worker, const std::string &task, std::uint32_t run) -> void;
    auto beginClosing(const task_ref &task, multistep_job_record &job, task_record &state, core::monotonic_time now)
        -> void;
    auto finishTask(const task_ref &task, multistep_job_record &job, task_record &state, core::monotonic_time now)
        -> void;
    auto finishGang(const task_ref &task, multistep_job_record &job, core::monotonic_time now) -> void;
    /// \brief Finishes a task by the end of another run than its current one, which is stopped if it exists.
    auto finishByOtherRun(const task_ref &task, multistep_job_record &job, task_record &state, core::monotonic_time now)
        -> void;
    /// \brief Returns the failed runs of a task, and those at which its job fails.
    static auto failuresOf(const multistep_job_record &job, const task_ref &task) -> failure_evidence;
    /// \brief Returns the number of runs of a gang that at least one member reported as failed.
    static auto failedRunsOfGang(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step)
        -> std::size_t;
    auto finishRestOfGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                          core::monotonic_time now) -> void;
    auto finishPartlyDoneGangs(multistep_job_record &job, core::monotonic_time now) -> void;
    auto endJob(multistep_job_record &job, multistep_job_phase phase, core::monotonic_time now,
                const decision_details &details = {}) -> void;
    auto removeRecord(const job_id &id) -> void;
    auto onEnd(worker_slot &worker, const ended_run &end, core::monotonic_time now) -> void;
    auto adoptListedRuns(const worker_slot &worker, const renewal_report &report, core::monotonic_time now) -> void;
    auto adoptRun(const worker_slot &worker, const task_ref &task, multistep_job_record &job, task_record &state,
                  core::monotonic_time now) -> void;
    auto resolveEarlierIncarnation(worker_slot &worker, const renewal_report &report, core::monotonic_time sentAt,
                                   core::monotonic_time now) -> void;
    auto markStarted(multistep_job_record &job, const worker_slot &worker) -> void;
    auto onEndOfCurrentRun(const task_ref &task, multistep_job_record &job, task_record &state, const ended_run &end,
                           core::monotonic_time now) -> void;
    /// \brief Returns until when a start order of \p task may still be carried out; of a gang, one of any member.
    static auto startsOpenUntil(const multistep_job_record &job, const task_ref &task) -> core::monotonic_time;
    /// \brief Records that a start order of \p task got no answer until \p now.
    auto openStart(const task_ref &task, multistep_job_record &job, task_record &state, core::monotonic_time now)
        -> void;
    /// \brief Notes that \p worker lists \p run, which shows that the only start order of a former owner has arrived.
    static auto noteStartCarriedOut(task_record &state, const worker_slot &worker, std::uint32_t run) -> void;
    /// \brief Stores that the start of a long-running task was carried out, so that a later owner need not wait for it.
    auto recordStart(const multistep_job_record &job, const task_ref &task) -> void;
    /// \brief Returns whether \p loss of its worker shows that no start order of a task can begin a run any more.
    static auto endsOpenStarts(worker_loss loss, const task_record &state, core::monotonic_time now) -> bool;
    /// \brief Forgets the start orders at worker \p id that its \p loss ends.
    auto endOpenStartsAt(const worker_id &id, worker_loss loss, core::monotonic_time now) -> void;
    auto countOpenStarts() -> void;
    auto setStartOpenUntil(const task_ref &task, task_record &state, core::monotonic_time until) -> void;
    auto onStrayRunOfTask(const task_ref &task, task_record &state, const worker_slot &worker, core::monotonic_time now)
        -> void;
    /// \brief Forgets start orders that can no longer be carried out and have begun no run that is not known.
    auto expireOpenStarts(core::monotonic_time now) -> void;
    /// \brief Returns the worker for the next run of \p task, of which a start is open: that of the last run, if it is
    /// among \p workers and suitable.
    static auto workerOfOpenStart(const multistep_job_record &job, const task_ref &task,
                                  const internal::placement_candidates &workers) -> worker_slot *;
    auto onEndOfSupersededRun(const worker_slot &worker, const task_ref &task, multistep_job_record &job,
                              task_record &state, const ended_run &end, core::monotonic_time now) -> void;
    auto countFailure(const task_ref &task, multistep_job_record &job, task_record &state, std::uint32_t run,
                      core::monotonic_time now) -> void;
    auto recordOutcome(worker_slot &worker, end_kind how, core::monotonic_time now) -> void;
    auto onRunning(worker_slot &worker, const running_run &running, core::monotonic_time now) -> void;
    auto resolveUnlistedRuns(worker_slot &worker, core::monotonic_time sentAt, core::monotonic_time now) -> void;
    auto endWorker(const worker_id &id, worker_loss loss, core::monotonic_time now) -> void;
    auto markAllLost(worker_slot &worker, worker_loss loss, core::monotonic_time now) -> void;
    auto resetLost(const worker_slot &worker, const std::set<task_ref> &tasks, worker_loss loss,
                   core::monotonic_time now) -> void;
    /// \returns a task whose job is to be given up once the lost runs are removed
    auto recordCrash(const worker_slot &worker, worker_loss loss, core::monotonic_time now) -> std::optional<task_ref>;
    [[nodiscard]] auto isSilenceRecorded(const worker_id &id, const task_ref &task) const -> bool;
    /// \brief Counts the proven end of a worker against \p runs, which it ended.
    /// \returns a task whose job is to be given up
    auto countCrash(std::span<const internal::lost_run> runs, core::monotonic_time now) -> std::optional<task_ref>;
    auto recordSilence(const worker_slot &worker, std::vector<internal::lost_run> runs, core::monotonic_time now)
        -> void;
    /// \brief Decides what the silence of worker \p id was, now that \p incarnation of it has answered.
    auto resolveSilence(const worker_id &id, std::int64_t incarnation, core::monotonic_time now) -> void;
    /// \brief Counts the crash of worker \p id if it had fallen silent; another instance has answered in its place.
    auto onSilentWorkerEnded(const worker_id &id, core::monotonic_time now) -> void;
    auto takeBackSuspicion(const worker_id &id, const internal::silent_worker &silent) -> void;
    /// \brief Returns how many workers crashed, or fell silent and may have crashed, under \p task.
    [[nodiscard]] auto possibleCrashesOf(const task_ref &task, const task_record &state) const -> std::size_t;
    /// \brief Returns the delay of the next start of \p task, whose worker has fallen silent.
    [[nodiscard]] auto startDelayAfterSilence(const task_ref &task, const multistep_job_record &job,
                                              const task_record &state) const -> core::duration;
    /// \brief Shortens that delay after a silent worker has answered as before.
    auto shortenStartDelay(const task_ref &task, core::monotonic_time now) -> void;
    /// \brief Clears a task of crashes at its start when its run has gone on for long enough.
    auto clearIfLasting(const task_ref &task, multistep_job_record &job, task_record &state, core::monotonic_time now)
        -> void;
    /// \brief Returns the state of a task that has not ended, of an active job; null for others.
    auto locateOpen(const task_ref &task) -> located_task;
    /// \brief Ends the runs of earlier workers at the address of \p worker, which has just answered for the first time.
    auto endPredecessors(const worker_slot &worker, core::monotonic_time now) -> void;
    /// \brief Counts a crash for which only one job can be the cause against the suspects among \p runs.
    /// \returns a task whose job is to be given up
    auto blame(std::span<const internal::lost_run> runs) -> std::optional<task_ref>;
    auto giveUpCrashingJob(const std::optional<task_ref> &crashing, core::monotonic_time now) -> void;
    auto updateSuspicion(const multistep_job_record &job) -> void;
    auto clearOthers(const job_id &crashing) -> void;
    auto planSuspects(const core::pool_id &pool, const active_jobs &active, core::monotonic_time now,
                      core::wall_time wallTime) -> void;
    auto planSuspectsOf(multistep_job_record &job, internal::suspect_workers &workers, core::monotonic_time now,
                        core::wall_time wallTime) -> void;
    auto planSuspectsOfStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                            internal::suspect_workers &workers, core::monotonic_time now) -> void;
    auto planGangWithSuspects(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                              internal::suspect_workers &workers, core::monotonic_time now) -> void;
    auto chooseForGangWithSuspects(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                   internal::suspect_workers &workers, core::monotonic_time now)
        -> std::vector<worker_slot *>;
    /// \brief Returns those of \p workers that may run the step by the advice service, if its queue has one.
    auto permittedWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                          std::span<worker_slot *const> workers, core::monotonic_time now)
        -> std::vector<worker_slot *>;
    /// \returns false when no worker is free for it; then one may have been reserved
    auto placeSuspect(multistep_job_record &job, const task_ref &task, internal::suspect_workers &workers,
                      core::monotonic_time now) -> bool;
    auto reserveForSuspect(const multistep_job_record &job, const task_ref &task,
                           const internal::suspect_workers &workers, std::span<worker_slot *const> permitted) -> void;
    auto workersForSuspects(const core::pool_id &pool, core::monotonic_time now) -> internal::suspect_workers;
    static auto endObservation(worker_slot &worker, const job_id &job) -> void;
    auto shortenObservation(const start_order &order, const task_record &state, core::monotonic_time now) -> void;
    auto logRunLost(const task_ref &task, const worker_slot &worker, const task_record &state, std::string_view reason)
        -> void;
    /// \returns whether the start of the current run was ordered once more
    auto retryStart(const multistep_job_record &job, const task_ref &task, task_record &state) -> bool;
    auto onStartAccepted(const start_order &order, multistep_job_record &job, task_record &state,
                         core::monotonic_time now) -> void;
    auto onStartUnanswered(const start_order &order, multistep_job_record &job, task_record &state,
                           core::monotonic_time now) -> void;
    auto onStartRejected(const start_order &order, run_start_answer answer, multistep_job_record &job,
                         task_record &state, core::monotonic_time now) -> void;
    auto expireLeases(core::monotonic_time now) -> void;
    auto expireAcknowledgedRuns(worker_slot &worker, worker_loss loss, core::monotonic_time now) -> void;
    /// \brief Returns whether a run on \p worker, which is silent, may begin without the knowledge of this owner.
    auto hasOpenStarts(const worker_slot &worker) -> bool;
    /// \brief Returns whether a long-running task has been without a run for too long to wait for an open start.
    static auto hasWaitedForOpenStart(const multistep_job_record &job, const task_ref &task, core::monotonic_time now)
        -> bool;
    /// \brief Returns the time after which no order that was sent to \p worker is carried out, if none is sent now.
    [[nodiscard]] auto lastStartArrival(const worker_slot &worker) const -> core::monotonic_time;
    static auto mayStartUnnoticed(const worker_slot &worker, const task_record &state) -> bool;
    auto limitUnknownLeases(worker_slot &worker, const renewal_report &report, core::monotonic_time sentAt,
                            core::monotonic_time now) -> void;
    auto retryStops(core::monotonic_time now) -> void;
    auto paceBestEffortRuns(worker_slot &worker, core::monotonic_time now) -> void;
    auto relocateStragglers(core::monotonic_time now) -> void;
    auto relocateIfStraggler(const task_ref &task, worker_slot &worker, core::monotonic_time now) -> void;
    auto evacuateLeaving(core::monotonic_time now) -> void;
    auto roomToResume(const core::pool_id &pool, core::monotonic_time now) -> internal::resume_room;
    auto maySuspend(const multistep_job_record &job, const task_ref &task, const task_record &state,
                    core::monotonic_time now) const -> bool;
    auto updateRoomReservations(core::monotonic_time now) -> void;
    /// \brief Reserves the room that \p task needs on \p worker until it starts or no longer needs it.
    auto reserveRoom(const multistep_job_record &job, const task_ref &task, worker_slot &worker) -> void;
    auto planLongRunning(const core::pool_id &pool, std::span<const active_job *const> active, core::monotonic_time now,
                         core::wall_time wallTime) -> void;
    auto planLongRunningSteps(multistep_job_record &job, internal::placement_candidates &workers,
                              core::monotonic_time now, core::wall_time wallTime) -> void;
    /// \param workers those on which the step may start
    /// \param ofPool all of the pool that accept starts
    auto planLongRunningStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                             internal::placement_candidates &workers, std::span<worker_slot *const> ofPool,
                             core::monotonic_time now) -> void;
    /// \returns the startable tasks of the step that had a reservation
    auto releaseRoom(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                     core::monotonic_time now) -> std::set<task_ref>;
    /// \returns the tasks for which room was reserved
    auto reserveRoomForStep(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                            internal::placement_candidates &workers, core::monotonic_time now) -> std::vector<task_ref>;
    auto capPermitsReservation(const multistep_job_record &job, const step_spec &step) -> bool;
    auto planPool(const core::pool_id &pool, const active_jobs &active, core::monotonic_time now,
                  core::wall_time wallTime) -> void;
    auto planSharedPool(const core::pool_id &pool, const active_jobs &active, core::monotonic_time now,
                        core::wall_time wallTime) -> void;
    auto computeShares(const core::pool_id &pool, shared_pool &shared, resources capacity) -> void;
    auto planWithinShares(std::vector<internal::ranked_job> &order, internal::placement_candidates &workers,
                          std::int64_t leastCpu, core::monotonic_time now, core::wall_time wallTime) -> void;
    auto planInOrder(std::vector<internal::ranked_job> &order, internal::placement_candidates &workers,
                     std::int64_t leastCpu, core::monotonic_time now, core::wall_time wallTime) -> void;
    static auto updateGangHold(shared_pool &shared, const active_jobs &active, core::monotonic_time now) -> void;
    auto workersBesideGang(const core::pool_id &pool, const shared_pool &shared, const active_jobs &active,
                           core::monotonic_time now) -> std::vector<worker_slot *>;
    /// \brief Returns whether the account of the job being planned may get one more start in this pass.
    [[nodiscard]] auto isWithinShare() const -> bool;
    auto noteUnplaced(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                      const internal::placement_candidates &workers, core::monotonic_time now) -> void;
    auto planJob(multistep_job_record &job, internal::placement_candidates &workers, core::monotonic_time now,
                 core::wall_time wallTime) -> void;
    /// \returns false when a task that is ready to start fits on none of \p workers
    auto planAdvisedStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                         internal::placement_candidates &workers, core::monotonic_time now) -> bool;
    /// \brief Returns those of \p workers for which the step has valid advice that permits it.
    [[nodiscard]] auto advisedWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                      std::span<worker_slot *const> workers, core::monotonic_time now) const
        -> std::vector<worker_slot *>;
    /// \brief Asks for advice on \p workers, which \p tasks tasks of the step need, when its turn comes.
    auto requestAdvice(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                       std::uint32_t tasks, std::span<worker_slot *const> workers, core::monotonic_time now) -> void;
    /// \returns false when a task that is ready to start fits on none of \p workers
    auto planStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                  internal::placement_candidates &workers, core::monotonic_time now) -> bool;
    auto placeStep(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   internal::placement_candidates &workers, core::monotonic_time now) -> bool;
    /// \brief Returns the workers that accept starts, including those that are reserved for observed starts.
    auto acceptingWorkersOf(const core::pool_id &pool, core::monotonic_time now) -> std::vector<worker_slot *>;
    auto eligibleWorkersOf(const core::pool_id &pool, core::monotonic_time now) -> std::vector<worker_slot *>;
    auto mayBeUnavailable(const multistep_job_record &job, const task_ref &task, core::monotonic_time now) -> bool;
    /// \returns false when a gang that is ready to start does not fit on \p workers
    auto placeGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   internal::placement_candidates &workers, core::monotonic_time now) -> bool;
    /// \brief Places all members of a gang on \p chosen, in the order of their index.
    auto startGang(multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                   std::span<worker_slot *const> chosen, core::monotonic_time now) -> void;
    static auto chooseGangWorkers(const multistep_job_record &job, std::uint32_t occurrence, std::uint32_t step,
                                  internal::placement_candidates &workers) -> std::vector<worker_slot *>;
    auto recordMismatch(const multistep_job_record &job, std::uint32_t step, std::span<worker_slot *const> workers)
        -> void;
    /// \brief Logs tasks that may start and have had no run for long.
    auto reportWaits(core::monotonic_time now, core::wall_time wallTime) -> void;
    /// \brief Adds the tasks without a run of a long-running step that was due at \p dueAt.
    auto addLongRunningWaits(task_ref task, const multistep_job_record &job, core::monotonic_time dueAt,
                             task_waits &waits) -> void;
    /// \brief Returns since when the worker of a task's run has been silent; nothing while it responds.
    auto contactLostAt(const task_record &state) -> std::optional<core::monotonic_time>;
    auto logTaskWaits(const task_waits &waits, core::monotonic_time now) -> void;
    auto logPoolWaits(const pool_waits &pools, core::monotonic_time now) -> void;
    /// \param task a task without a run; of a step that is not long-running any task
    auto waitReasonOf(multistep_job_record &job, task_ref task, core::monotonic_time now) -> wait_reason;
    auto addPoolFacts(multistep_job_record &job, const task_ref &task, core::monotonic_time now,
                      internal::wait_facts &facts) -> void;
    static auto hasRoomFor(const multistep_job_record &job, const task_ref &task,
                           const std::vector<worker_slot *> &workers) -> bool;
    [[nodiscard]] auto waitsForCap(const multistep_job_record &job, const step_spec &step) const -> bool;

    std::function<void(const decision &)> m_onDecision;
    std::unordered_map<std::string, multistep_job_record> m_jobs;
    std::map<core::pool_id, active_jobs> m_activeJobs;
    std::set<std::pair<worker_id, task_ref>> m_closing; ///< Tasks in phase closing.
    std::set<task_ref> m_openStarts; ///< Tasks with a start order that may still be carried out.
    std::set<worker_id> m_workersWithOpenStarts; ///< Workers of those that wait, as of the last plan().
    std::set<job_id> m_suspects; ///< Active jobs with tasks that need an observed start.
    std::vector<internal::crash_suspects> m_crashes; ///< Crashes that more than one job may have caused.
    std::map<worker_id, internal::silent_worker> m_silentWorkers; ///< Workers whose leases lapsed with runs on them.
    std::optional<core::monotonic_time>
        m_formerOrdersUntil; ///< Until when former owners may send orders; empty without.
    worker_table m_workers;
    internal::room_reservations m_roomReservations;
    std::set<core::pool_id> m_heldPools; ///< Pools whose workers get no starts.
    internal::account_numbers m_accountNumbers;
    std::map<core::pool_id, shared_pool> m_sharedPools; ///< Empty until accounts are configured.
    sharing_pass m_pass;
    account_caps m_caps;
    account_usage m_accountUsage; ///< Of the runs placed on any worker of m_workers, and of m_lingering.
    std::map<worker_id, std::vector<lingering_run>> m_lingering; ///< By worker.
    std::set<job_id> m_changed;
    order_batch m_orders;
    advice_cache m_advice;
    std::vector<advice_request> m_adviceRequests;
    std::map<core::pool_id, placement_mismatch> m_mismatches;
    core::monotonic_time m_stragglersCheckedAt{};
    core::monotonic_time m_waitsCheckedAt{};
    internal::wait_schedule<task_ref> m_taskWaits; ///< Of long-running tasks.
    internal::wait_schedule<core::pool_id> m_poolWaits; ///< Of pools in which other tasks wait.
    wait_summary m_longRunningWaits;
    std::size_t m_waitLinesLeft = 0; ///< Lines that the current check may still write.
    engine_counters m_counters;
    run_time_model m_runTimes;
    std::size_t m_taskCount = 0;
    std::size_t m_unsubmittedCount = 0; ///< Jobs that were cancelled before any submission arrived.
};
} // namespace poplarpass::jobs
