#include <poplarpass/host/constants.h>
#include <poplarpass/host/pool_owner.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
/// \brief Runs that a new owner found placed.
struct placed_runs
{
    std::size_t count = 0;
    core::duration leasesFor{0}; ///< How long the last of their leases may last.
};

auto placedRunsOf(const jobs::worker_table &workers, core::monotonic_time now) -> placed_runs
{
    placed_runs found;
    for (const auto &[id, worker] : workers.all()) {
        found.count += worker.placed.size();
        if (!worker.placed.empty()) {
            found.leasesFor = std::max(found.leasesFor, worker.leaseEnd - now);
        }
    }
    return found;
}
} // namespace

pool_owner::pool_owner(pool_owner_environment environment, std::uint64_t epoch, core::monotonic_time claimedAt,
                       std::vector<std::string> formerOwners)
    : m_env{std::move(environment)}
    , m_term{epoch, claimedAt}
    , m_jobTimes{m_env.metrics}
    , m_engine{[this](const jobs::decision &decision) {
        logDecision(decision);
    }}
    , m_journal{m_env.time,
                m_env.records,
                m_env.log,
                epoch,
                [this] { stepDown("journal"); },
                [this] {
                    onStored();
                }}
    , m_formerOwners{formerOwners.begin(), formerOwners.end()}
    , m_startedAt{claimedAt}
{
    worker_link_hooks hooks;
    hooks.mayOrder = [this] {
        return !m_resigned && m_term.mayOrder(m_env.time.now());
    };
    hooks.onChange = [this] {
        requestCycle();
    };
    hooks.whenStored = [this](std::function<void()> callback) {
        whenStored(std::move(callback));
    };
    hooks.renewalDelay = [this] {
        return std::min(renewalDelay + m_cycleLateness * renewalDelayPerLateness, maxRenewalDelay);
    };
    hooks.greatestToken = [this] {
        return m_greatestToken;
    };
    hooks.onFenced = [this] {
        stepDown("worker");
    };
    m_workers = makeWorkerList();
    m_links = std::make_unique<worker_links>(m_env.time, m_env.workers, m_engine, m_env.log, epoch, std::move(hooks));
    m_capacity = makeCapacity();
}

auto pool_owner::makeWorkerList() -> std::unique_ptr<worker_list>
{
    const auto onRead = [this] {
        onWorkersRead();
    };
    const auto pause = [this] {
        return m_capacity->isAwaitingHosts() ? workerListBusyPeriod : workerListPeriod;
    };
    return std::make_unique<worker_list>(m_env.time, m_env.records, m_env.log, m_env.decoders.decodeWorker, onRead,
                                         pause);
}

auto pool_owner::makeCapacity() -> std::unique_ptr<capacity_controller>
{
    capacity_environment environment{m_env.time,
                                     m_env.records,
                                     m_env.hosts,
                                     m_env.decoders.waves,
                                     m_env.routes,
                                     m_env.log,
                                     m_journal,
                                     m_engine,
                                     {m_env.hostName, epoch()},
                                     m_env.holderTerm,
                                     [this] { return !m_resigned && m_term.mayAnswer(m_env.time.now()); },
                                     m_env.operatorRecords,
                                     [this] { requestCycle(); },
                                     [this] {
                                         stepDown("host_service");
                                     }};
    return std::make_unique<capacity_controller>(std::move(environment));
}

pool_owner::~pool_owner()
{
    m_lifetime.end();
    m_journal.stop();
    for (auto *queue : {&m_waiting, &m_deferredSubmissions}) {
        for (const auto &waiting : queue->removeAll()) {
            waiting.answer(plainResponse(notOwnerStatus, "not_owner"));
        }
    }
}

auto pool_owner::start() -> void
{
    m_journal.open([this] { readJobs(); });
    m_workers->start();
}

auto pool_owner::readJobs() -> void
{
    m_env.records.newest(store::topic::jobs,
                         m_lifetime.guard([this](const store::newest_result &newest) { onJobsRead(newest); }));
}

auto pool_owner::onJobsRead(const store::newest_result &newest) -> void
{
    if (!newest.complete) {
        m_env.log.log(log_level::warning, "jobs_unread", {{"epoch", epoch()}});
        m_env.time.callAfter(storeRetryDelay, m_lifetime.guard([this] { readJobs(); }));
        return;
    }
    logUnreadable(newest, "jobs", m_env.log);
    const auto now = m_env.time.now();
    const auto formerOrdersUntil = m_formerOwners.empty() ? now : now + owner::orderTerm;
    auto restored = restoreJobs(newest, m_env.log);
    for (auto &entry : restored.jobs) {
        if (!entry.job.spec.steps.empty()) {
            m_journal.markStored(entry);
        }
        m_engine.restore(std::move(entry.job), now, formerOrdersUntil);
    }
    m_journal.removeKeys(restored.unusedKeys);
    m_restored = true;
    for (const auto &lease : restoreUnrenewedLeases(newest, m_env.log)) {
        m_engine.workers().restoreUnrenewedLease(lease, now);
    }
    m_capacity->start(newest);
    const auto placed = placedRunsOf(m_engine.workers(), now);
    m_env.log.log(log_level::info, "jobs_restored",
                  {{"epoch", epoch()},
                   {"jobs", m_engine.jobs().size()},
                   {"offset", newest.endOffset},
                   {"placed", placed.count},
                   {"leases_ms", std::chrono::duration_cast<std::chrono::milliseconds>(placed.leasesFor).count()}});
    if (m_workers->isLoaded()) {
        beginServing();
    }
}

auto pool_owner::onWorkersRead() -> void
{
    if (m_serving) {
        updateWorkers();
    } else if (m_restored) {
        beginServing();
    }
}

auto pool_owner::beginServing() -> void
{
    m_serving = true;
    m_servingSince = m_env.time.now();
    updateAccounts();
    updateWorkers();
    m_env.log.log(
        log_level::info, "owner_serving",
        {{"epoch", epoch()},
         {"workers", m_workers->entries().size()},
         {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_env.time.now() - m_startedAt).count()}});
    m_env.metrics.histogramOf("poplarpass_takeover_seconds", "From the claim of the pools to serving")
        .record(m_env.time.now() - m_startedAt);
    handleWaiting();
    scheduleCycle(m_env.time.now());
    m_env.time.callAfter(housekeepingPeriod, m_lifetime.guard([this] { removeEndedJobs(); }));
}

auto pool_owner::removeEndedJobs() -> void
{
    if (!m_resigned) {
        m_journal.remove(m_engine.removeEndedJobs(m_env.time.now()));
        logRunTimes();
        m_env.time.callAfter(housekeepingPeriod, m_lifetime.guard([this] { removeEndedJobs(); }));
    }
}

auto pool_owner::logRunTimes() -> void
{
    constexpr double percent = 100;
    const auto now = m_env.time.now();
    if (now - m_runTimesLoggedAt < runTimeLogPeriod) {
        return;
    }
    m_runTimesLoggedAt = now;
    for (const auto &[queue, trend] : m_engine.runTimes().trends()) {
        m_env.log.log(log_level::info, "run_times_learnt",
                      {{"queue", queue.str()},
                       {"runs", std::llround(trend.runs)},
                       {"trust_percent", std::llround(trend.trust * percent)},
                       {"ratio_percent", std::llround(trend.ratio * percent)},
                       {"spread_percent", std::llround(trend.spread * percent)}});
    }
}

auto pool_owner::updateWorkers() -> void
{
    m_engine.updateWorkers(m_workers->entries(), m_env.time.now());
    if (!m_resigned) {
        m_links->refresh();
    }
    requestCycle();
}

// A worker's capacity may shrink while it runs. One that does not enforce it would start what no longer fits.
auto pool_owner::holdPoolsWithStaleCapacity() -> void
{
    std::set<core::pool_id> held;
    const auto confirmedAt = m_workers->confirmedAt();
    if (!confirmedAt || m_env.time.now() - *confirmedAt > maxCapacityAge) {
        for (const auto &pool : m_env.routes.config().pools) {
            if (!pool.enforcesCapacity) {
                held.insert(pool.name);
            }
        }
    }
    m_engine.setHeldPools(std::move(held));
}

auto pool_owner::onRenewing(core::monotonic_time sentAt, core::duration electionTimeout) -> void
{
    m_term.onRenewing(sentAt, electionTimeout);
}

auto pool_owner::onRenewed(core::monotonic_time sentAt, core::duration electionTimeout) -> void
{
    m_term.onRenewed(sentAt, electionTimeout);
}

auto pool_owner::onFencingToken(std::uint64_t token) -> void
{
    m_greatestToken = token;
}

auto pool_owner::onAnnouncementAcknowledged(const std::string &name) -> void
{
    if (m_formerOwners.erase(name) > 0 && m_formerOwners.empty() && m_restored) {
        m_env.log.log(log_level::info, "former_owners_stopped", {{"epoch", epoch()}, {"last", name}});
        m_engine.workers().limitFormerLeases(m_env.time.now());
    }
}

auto pool_owner::requestCycle() -> void
{
    m_cycleRequested = true;
    if (!m_serving || m_journal.isBusy()) {
        return;
    }
    const auto due = std::max(m_lastCycleAt + minCyclePeriod, m_env.time.now());
    if (!m_cycleScheduled || due < m_cycleDue) {
        scheduleCycle(due);
    }
}

auto pool_owner::scheduleCycle(core::monotonic_time due) -> void
{
    m_cycleScheduled = true;
    m_cycleDue = due;
    const auto delay = std::max(due - m_env.time.now(), core::duration{0});
    m_env.time.callAfter(delay, m_lifetime.guard([this, serial = ++m_cycleSerial] {
        if (serial == m_cycleSerial) {
            runCycle();
        }
    }));
}

// One decision cycle: decide, store the changes, and only then send the orders and replies that depend on them.
auto pool_owner::runCycle() -> void
{
    m_cycleScheduled = false;
    if (m_journal.isBusy()) {
        m_cycleRequested = true;
        return;
    }
    const auto now = m_env.time.now();
    m_cycleLateness = std::max(now - m_cycleDue, core::duration{0});
    m_lastCycleAt = now;
    m_cycleRequested = false;
    if (!m_resigned && m_term.mayOrder(now)) {
        updateAccounts();
        holdPoolsWithStaleCapacity();
        m_capacity->plan();
        m_engine.plan(now, m_env.time.wallNow());
    }
    for (const auto &request : m_engine.drainAdviceRequests()) {
        requestAdvice(request);
    }
    const auto changed = m_engine.drainChangedJobs();
    const auto leases = m_engine.workers().collectUnrenewedLeases(now);
    auto orders = m_engine.drainOrders();
    auto callbacks = std::exchange(m_afterNextWrite, {});
    auto sendOrdersAndReplies = [this, orders = std::move(orders), callbacks = std::move(callbacks),
                                 alive = m_lifetime.aliveFlag()] {
        m_links->send(orders);
        for (const auto &callback : callbacks) {
            callback();
            // The callback of a resignation may have destroyed this owner.
            if (!*alive) {
                return;
            }
        }
        scheduleNextCycle();
    };
    if (changed.empty() && leases.empty()) {
        sendOrdersAndReplies();
    } else {
        m_journal.write(m_engine, changed, leases, std::move(sendOrdersAndReplies));
    }
}

auto pool_owner::requestAdvice(const jobs::advice_request &request) -> void
{
    const auto sentAt = m_env.time.now();
    m_env.advice.requestAdvice(
        request,
        m_lifetime.guard([this, request, sentAt](const std::optional<std::vector<jobs::advice_ticket>> &tickets) {
            m_engine.onAdvice(request, tickets, sentAt, m_env.time.now());
            requestCycle();
        }));
}

auto pool_owner::onStored() -> void
{
    submitDeferred();
    if (m_serving) {
        scheduleNextCycle();
    }
}

auto pool_owner::scheduleNextCycle() -> void
{
    if (!m_cycleScheduled) {
        scheduleCycle(m_lastCycleAt + (m_cycleRequested ? minCyclePeriod : maxCyclePeriod));
    }
}

auto pool_owner::whenStored(std::function<void()> callback) -> void
{
    m_afterNextWrite.push_back(std::move(callback));
    requestCycle();
}

auto pool_owner::resign(std::function<void()> done) -> void
{
    whenStored([this, done = std::move(done)] {
        m_env.log.log(log_level::info, "owner_resigns", {{"epoch", epoch()}});
        done();
    });
    m_resigned = true;
}

auto pool_owner::stepDown(std::string_view reason) -> void
{
    if (std::exchange(m_ownershipLost, true)) {
        return;
    }
    m_env.log.log(log_level::warning, "owner_deposed", {{"epoch", epoch()}, {"noticed_by", reason}});
    m_resigned = true;
    m_env.time.callAfter(core::duration{0}, m_lifetime.guard(m_env.onOwnershipLost));
}

auto pool_owner::epoch() const -> std::uint64_t
{
    return m_term.epoch();
}

auto pool_owner::isServing() const -> bool
{
    return m_serving && !m_resigned;
}

auto pool_owner::servingFor() const -> core::duration
{
    return m_serving ? m_env.time.now() - m_servingSince : core::duration{0};
}

auto pool_owner::updateMetrics() -> void
{
    const auto &counts = m_engine.counters();
    auto set = [this](std::string_view name, std::string_view help, std::uint64_t value) {
        m_env.metrics.gaugeOf(name, help).set(static_cast<double>(value));
    };
    set("poplarpass_owner_epoch", "Epoch of this host's term as owner", epoch());
    set("poplarpass_workers_offset", "Position up to which the workers' records were read", m_workers->offset());
    set("poplarpass_journal_stalled_ms", "Since the append in progress was sent",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_journal.stalledFor(m_env.time.now())).count()));
    set("poplarpass_jobs_known", "Jobs in memory", m_engine.jobs().size());
    set("poplarpass_jobs_accepted", "Jobs accepted in this term", counts.jobsAccepted);
    set("poplarpass_jobs_completed", "Jobs completed in this term", counts.jobsCompleted);
    set("poplarpass_jobs_failed", "Jobs failed in this term", counts.jobsFailed);
    set("poplarpass_jobs_given_up", "Jobs failed in this term because a task crashes its workers", counts.jobsCrashing);
    set("poplarpass_observed_starts", "Starts in this term of tasks that may crash their worker",
        counts.observedStarts);
    set("poplarpass_jobs_cancelled", "Jobs cancelled in this term", counts.jobsCancelled);
    set("poplarpass_starts", "Starts decided in this term", counts.starts);
    set("poplarpass_starts_rejected", "Starts that workers rejected in this term", counts.startsRejected);
    set("poplarpass_tasks_suspended", "Runs stopped on drained workers in this term, to resume elsewhere",
        counts.tasksSuspended);
    const auto &waits = m_engine.longRunningWaits();
    set("poplarpass_tasks_without_run", "Long-running tasks that may start and have no run", waits.tasks);
    set("poplarpass_longest_wait_ms", "For how long the first of these has had no run",
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(waits.longest).count()));
    set("poplarpass_runs_failed", "Runs that failed in this term", counts.runsFailed);
    for (const auto &[queue, trend] : m_engine.runTimes().trends()) {
        m_env.metrics
            .gaugeOf("poplarpass_run_time_trust", "How far declared run times of a queue are trusted, 0 to 1",
                     {{"queue", queue.str()}})
            .set(trend.trust);
    }
    set("poplarpass_runs_lost", "Runs lost in this term", counts.runsLost);
    set("poplarpass_worker_crashes", "Workers that ended without a drain while runs were placed on them, in this term",
        counts.workerCrashes);
}
} // namespace poplarpass::host
