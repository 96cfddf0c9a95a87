#include <poplarpass/host/constants.h>
#include <poplarpass/host/pool_owner.h>

#include <algorithm>
#include <array>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
/// \brief Weight of a decision; what went wrong has a budget of its own in the log.
auto levelOf(const jobs::decision &made) -> log_level
{
    static constexpr std::array<std::string_view, 5> troubles{"run_lost", "run_given_up", "start_rejected",
                                                              "start_unanswered", "worker_paused"};
    const bool isTrouble = made.reason == "failed" || std::ranges::find(troubles, made.event) != troubles.end();
    return isTrouble ? log_level::warning : log_level::info;
}
} // namespace

pool_owner::pool_owner(pool_owner_environment environment, std::uint64_t epoch, core::monotonic_time claimedAt,
                       std::vector<std::string> formerOwners)
    : m_env{std::move(environment)}
    , m_term{epoch, claimedAt}
    , m_times{m_env.metrics}
    , m_engine{[this](const jobs::decision &made) {
        note(made);
    }}
    , m_journal{m_env.time,
                m_env.records,
                m_env.log,
                epoch,
                [this] { depose("journal"); },
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
        requestTurn();
    };
    hooks.whenStored = [this](std::function<void()> call) {
        whenStored(std::move(call));
    };
    hooks.onFenced = [this] {
        depose("worker");
    };
    m_workers = makeWorkerList();
    m_links = std::make_unique<worker_links>(m_env.time, m_env.workers, m_engine, m_env.log, epoch, std::move(hooks));
    m_capacity = makeCapacity();
}

auto pool_owner::makeWorkerList() -> std::unique_ptr<worker_list>
{
    const auto onRead = [this] {
        onWorkers();
    };
    const auto pause = [this] {
        return m_capacity->isAwaitingHosts() ? workerListBusyPeriod : workerListPeriod;
    };
    return std::make_unique<worker_list>(m_env.time, m_env.records, m_env.log, m_env.decoders.decodeWorker, onRead,
                                         pause);
}

auto pool_owner::makeCapacity() -> std::unique_ptr<capacity_keeper>
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
                                     [this] { requestTurn(); },
                                     [this] {
                                         depose("host_service");
                                     }};
    return std::make_unique<capacity_keeper>(std::move(environment));
}

pool_owner::~pool_owner()
{
    m_life.end();
    m_journal.stop();
    for (const auto &waiting : m_waiting.takeAll()) {
        waiting.answer(plainResponse(notOwnerStatus, "not_owner"));
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
                         m_life.guard([this](const store::newest_result &newest) { onJobs(newest); }));
}

auto pool_owner::onJobs(const store::newest_result &newest) -> void
{
    if (!newest.complete) {
        m_env.log.log(log_level::warning, "jobs_unread", {{"epoch", epoch()}});
        m_env.time.callAfter(storeRetry, m_life.guard([this] { readJobs(); }));
        return;
    }
    const auto now = m_env.time.now();
    const auto ordersUntil = m_formerOwners.empty() ? now : now + owner::orderTerm;
    for (auto &job : restoreJobs(newest, m_env.log)) {
        if (!job.spec.steps.empty()) {
            m_journal.markKnown(job.id);
        }
        m_engine.restore(std::move(job), now, ordersUntil);
    }
    m_restored = true;
    for (const auto &silence : restoreSilences(newest, m_env.log)) {
        m_engine.workers().restoreUnrenewedLease(silence, now);
    }
    m_capacity->start(newest);
    m_env.log.log(log_level::info, "jobs_restored",
                  {{"epoch", epoch()}, {"jobs", m_engine.jobs().size()}, {"offset", newest.endOffset}});
    if (m_workers->isRead()) {
        beginServing();
    }
}

auto pool_owner::onWorkers() -> void
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
    updateWorkers();
    m_env.log.log(
        log_level::info, "owner_serving",
        {{"epoch", epoch()},
         {"workers", m_workers->entries().size()},
         {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_env.time.now() - m_startedAt).count()}});
    m_env.metrics.histogramOf("poplarpass_takeover_seconds", "From the claim of the pools to serving")
        .record(m_env.time.now() - m_startedAt);
    handleWaiting();
    scheduleTurn(m_env.time.now());
    m_env.time.callAfter(housekeepingPeriod, m_life.guard([this] { removeEndedJobs(); }));
}

auto pool_owner::removeEndedJobs() -> void
{
    if (!m_resigned) {
        m_journal.remove(m_engine.removeEndedJobs(m_env.time.now()));
        m_env.time.callAfter(housekeepingPeriod, m_life.guard([this] { removeEndedJobs(); }));
    }
}

auto pool_owner::updateWorkers() -> void
{
    m_engine.updateWorkers(m_workers->entries(), m_env.time.now());
    if (!m_resigned) {
        m_links->refresh();
    }
    requestTurn();
}

auto pool_owner::onRenewing(core::monotonic_time sentAt, core::duration silence) -> void
{
    m_term.onRenewing(sentAt, silence);
}

auto pool_owner::onRenewed(core::monotonic_time sentAt, core::duration silence) -> void
{
    m_term.onRenewed(sentAt, silence);
}

auto pool_owner::onConfirmed(const std::string &name) -> void
{
    if (m_formerOwners.erase(name) > 0 && m_formerOwners.empty() && m_restored) {
        m_env.log.log(log_level::info, "former_owners_stopped", {{"epoch", epoch()}, {"last", name}});
        m_engine.workers().limitFormerLeases(m_env.time.now());
    }
}

auto pool_owner::requestTurn() -> void
{
    m_turnWanted = true;
    if (!m_serving || m_journal.isBusy()) {
        return;
    }
    const auto due = std::max(m_lastTurn + turnPeriod, m_env.time.now());
    if (!m_turnPlanned || due < m_turnDue) {
        scheduleTurn(due);
    }
}

auto pool_owner::scheduleTurn(core::monotonic_time due) -> void
{
    m_turnPlanned = true;
    m_turnDue = due;
    const auto delay = std::max(due - m_env.time.now(), core::duration{0});
    m_env.time.callAfter(delay, m_life.guard([this, serial = ++m_turnSerial] {
        if (serial == m_turnSerial) {
            turn();
        }
    }));
}

// One turn: decide, store what changed, and only then send the orders and the answers that depend on it.
auto pool_owner::turn() -> void
{
    m_turnPlanned = false;
    if (m_journal.isBusy()) {
        m_turnWanted = true;
        return;
    }
    const auto now = m_env.time.now();
    m_lastTurn = now;
    m_turnWanted = false;
    if (!m_resigned && m_term.mayOrder(now)) {
        m_capacity->plan();
        m_engine.plan(now, m_env.time.wallNow());
    }
    for (const auto &request : m_engine.drainAdviceRequests()) {
        askAdvice(request);
    }
    const auto changed = m_engine.drainChangedJobs();
    const auto silences = m_engine.workers().collectUnrenewedLeases(now);
    auto orders = m_engine.drainOrders();
    auto calls = std::exchange(m_afterNextWrite, {});
    auto release = [this, orders = std::move(orders), calls = std::move(calls), alive = m_life.aliveFlag()] {
        m_links->send(orders);
        for (const auto &call : calls) {
            call();
            // A resignation may have ended this owner.
            if (!*alive) {
                return;
            }
        }
        planNextTurn();
    };
    if (changed.empty() && silences.empty()) {
        release();
    } else {
        m_journal.write(m_engine, changed, silences, std::move(release));
    }
}

auto pool_owner::askAdvice(const jobs::advice_request &request) -> void
{
    const auto sentAt = m_env.time.now();
    m_env.advice.ask(
        request, m_life.guard([this, request, sentAt](const std::optional<std::vector<jobs::advice_ticket>> &tickets) {
            m_engine.onAdvice(request, tickets, sentAt, m_env.time.now());
            requestTurn();
        }));
}

auto pool_owner::onStored() -> void
{
    admitParked();
    if (m_serving) {
        planNextTurn();
    }
}

auto pool_owner::planNextTurn() -> void
{
    if (!m_turnPlanned) {
        scheduleTurn(m_lastTurn + (m_turnWanted ? turnPeriod : idleTurnPeriod));
    }
}

auto pool_owner::whenStored(std::function<void()> call) -> void
{
    m_afterNextWrite.push_back(std::move(call));
    requestTurn();
}

auto pool_owner::resign(std::function<void()> done) -> void
{
    whenStored([this, done = std::move(done)] {
        m_env.log.log(log_level::info, "owner_resigns", {{"epoch", epoch()}});
        done();
    });
    m_resigned = true;
}

auto pool_owner::depose(std::string_view reason) -> void
{
    if (std::exchange(m_deposed, true)) {
        return;
    }
    m_env.log.log(log_level::warning, "owner_deposed", {{"epoch", epoch()}, {"noticed_by", reason}});
    m_resigned = true;
    m_env.time.callAfter(core::duration{0}, m_life.guard(m_env.onDeposed));
}

auto pool_owner::note(const jobs::decision &made) -> void
{
    const auto now = m_env.time.now();
    m_times.onDecision(made, now);
    std::vector<observe::field> fields{{"id", made.subject}};
    if (!made.worker.empty()) {
        fields.emplace_back("worker", made.worker);
        fields.emplace_back("run", made.run);
        if (const auto *worker = m_engine.workers().find(jobs::worker_id{made.worker})) {
            const auto heard = std::chrono::duration_cast<std::chrono::milliseconds>(now - worker->lastResponseAt);
            fields.emplace_back("born", worker->entry.incarnation);
            fields.emplace_back("heard_ms", heard.count());
        }
    }
    fields.emplace_back("reason", made.reason);
    fields.emplace_back("epoch", m_term.epoch());
    fields.emplace_back("config", m_env.routes.config().version);
    m_env.log.logFields(levelOf(made), made.event, fields);
}

auto pool_owner::epoch() const -> std::uint64_t
{
    return m_term.epoch();
}

auto pool_owner::isServing() const -> bool
{
    return m_serving && !m_resigned;
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
    set("poplarpass_jobs_cancelled", "Jobs cancelled in this term", counts.jobsCancelled);
    set("poplarpass_starts", "Starts decided in this term", counts.starts);
    set("poplarpass_starts_rejected", "Starts that workers rejected in this term", counts.startsRejected);
    set("poplarpass_runs_failed", "Runs that failed in this term", counts.runsFailed);
    set("poplarpass_runs_lost", "Runs lost in this term", counts.runsLost);
}
} // namespace poplarpass::host
