#include "owner_world.h"

#include <poplarpass/core/parse_integer.h>

#include <algorithm>
#include <array>
#include <utility>

namespace bench
{
namespace
{
using namespace std::chrono_literals;

constexpr std::array<std::string_view, 5> poolNames{"counter", "titles", "rental", "probate", "members"};
constexpr core::duration storeLatency = 4ms;
constexpr core::duration workerLatency = 1ms;
constexpr core::duration runTime = 1s;
constexpr core::duration submitPeriod = 10ms;
constexpr core::duration electionTimeout = 1s;
constexpr core::duration renewalPeriod = 300ms;
constexpr std::int64_t workerIncarnation = 5;
constexpr jobs::resources workerCapacity{16'000, 32'000, 0};
constexpr std::uint64_t ownerEpoch = 7;

auto loggerOptions() -> poplarpass::observe::logger_options
{
    poplarpass::observe::logger_options options;
    options.burst = 400;
    options.sink = [](poplarpass::observe::log_level, std::string_view) {
    };
    return options;
}

auto makeStep(std::uint32_t tasks) -> jobs::step_spec
{
    jobs::step_spec step;
    step.taskCount = tasks;
    step.perTask = {2200, 1000, 0};
    step.estimate = std::chrono::duration_cast<std::chrono::milliseconds>(runTime);
    return step;
}
} // namespace

/// \brief Stops the owner's clock while a stand-in works.
class owner_world::standin_scope
{
public:
    explicit standin_scope(owner_world &world)
        : m_world{world}
    {
        m_world.m_usage.busy += std::chrono::steady_clock::now() - m_world.m_enteredAt;
    }

    ~standin_scope()
    {
        m_world.m_enteredAt = std::chrono::steady_clock::now();
    }

    standin_scope(const standin_scope &) = delete;
    auto operator=(const standin_scope &) -> standin_scope & = delete;

private:
    owner_world &m_world;
};

owner_world::owner_world(int workers)
    : m_clock{m_time.source()}
    , m_log{loggerOptions()}
    , m_store{makeStore()}
    , m_workerCalls{makeWorkerCalls()}
    , m_hostCalls{makeHostCalls()}
    , m_decoders{makeDecoders()}
{
    m_clock.callAfter = [this](core::duration delay, std::function<void()> callback) {
        const standin_scope scope{*this};
        after(delay, std::move(callback));
    };
    for (int index = 0; index < workers; ++index) {
        m_workerIds.push_back("w" + std::to_string(index));
        m_workers[m_workerIds.back()].pool =
            core::pool_id{std::string{poolNames.at(static_cast<std::size_t>(index) % poolNames.size())}};
    }
    makeRoutes();
    timed([this] {
        host::pool_owner_environment environment{
            m_clock,
            m_store,
            m_workerCalls,
            m_routes,
            m_log,
            m_metrics,
            m_decoders,
            m_advice,
            m_hostCalls,
            "host",
            3s,
            [this]() -> const std::map<std::string, std::string> & { return m_operatorRecords; },
            [] {
            }};
        m_owner = std::make_unique<host::pool_owner>(std::move(environment), ownerEpoch, m_time.now(),
                                                     std::vector<std::string>{});
        m_owner->start();
    });
    renewTerm();
    submitAtRate();
}

owner_world::~owner_world() = default;

auto owner_world::makeRoutes() -> void
{
    poplarpass::route::route_config config;
    config.version = 1;
    for (const auto name : poolNames) {
        poplarpass::route::route entry;
        entry.hostName = "jobs.example";
        entry.pathPrefix = "/" + std::string{name} + "/";
        entry.queue.name = jobs::queue_id{std::string{name}};
        entry.queue.pool = core::pool_id{std::string{name}};
        entry.queue.maxAttempts = 3;
        config.routes.push_back(entry);
        config.pools.push_back({entry.queue.pool, true, false});
    }
    m_routes.update(std::move(config));
}

auto owner_world::makeStore() -> store::record_store
{
    store::record_store made;
    made.append = [this](const store::record_append &request, std::function<void(store::append_result)> done) {
        const standin_scope scope{*this};
        const auto first = m_storeEnd;
        m_storeEnd += request.records.size() + request.keyedRecords.size();
        after(storeLatency, [this, first, done = std::move(done)] {
            done({store::append_outcome::appended, first, m_storeEnd});
        });
    };
    made.read = [this](store::topic, std::uint64_t from, std::chrono::milliseconds,
                       std::function<void(store::read_result)> done) {
        const standin_scope scope{*this};
        after(storeLatency, [from, done = std::move(done)] { done({store::read_outcome::read, from, 0, {}}); });
    };
    made.newest = [this](store::topic topic, std::function<void(store::newest_result)> done) {
        const standin_scope scope{*this};
        store::newest_result newest;
        newest.complete = true;
        if (topic == store::topic::worker_records) {
            for (const auto &id : m_workerIds) {
                newest.records.push_back({newest.records.size(), id, "entry"});
            }
        }
        after(storeLatency, [newest = std::move(newest), done = std::move(done)] { done(newest); });
    };
    return made;
}

auto owner_world::makeWorkerCalls() -> host::worker_calls
{
    host::worker_calls calls;
    calls.renew = [this](const host::renewal_call &call, std::function<void(host::renewal_answer)> done) {
        const standin_scope scope{*this};
        renew(call, std::move(done));
    };
    calls.start = [this](const host::worker_target &target, const jobs::start_order &order, std::int64_t,
                         std::function<void(jobs::run_start_answer)> done) {
        const standin_scope scope{*this};
        ++m_usage.starts;
        start(target.id.str(), order);
        after(workerLatency, [done = std::move(done)] { done(jobs::run_start_answer::started); });
    };
    calls.stop = [this](const host::worker_target &, const jobs::stop_order &,
                        std::function<void(jobs::stop_answer)> done) {
        const standin_scope scope{*this};
        after(workerLatency, [done = std::move(done)] { done(jobs::stop_answer::stopped); });
    };
    calls.pace = [](const host::worker_target &, const jobs::pace_order &, const std::function<void(bool)> &) {
    };
    return calls;
}

auto owner_world::makeHostCalls() -> host::host_calls
{
    host::host_calls calls;
    calls.list = [this](std::function<void(std::optional<std::vector<poplarpass::capacity::host_entry>>)> done) {
        const standin_scope scope{*this};
        std::vector<poplarpass::capacity::host_entry> hosts;
        for (const auto &id : m_workerIds) {
            poplarpass::capacity::host_entry entry;
            entry.id = core::host_id{"h-" + id};
            entry.pool = m_workers.at(id).pool;
            entry.worker = jobs::worker_id{id};
            entry.capacity = workerCapacity;
            hosts.push_back(std::move(entry));
        }
        after(storeLatency, [hosts = std::move(hosts), done = std::move(done)] { done(hosts); });
    };
    calls.order = [this](const host::host_lease_holder &, const poplarpass::capacity::host_order &,
                         std::function<void(poplarpass::capacity::host_order_outcome)> done) {
        const standin_scope scope{*this};
        after(storeLatency, [done = std::move(done)] { done(poplarpass::capacity::host_order_outcome::busy); });
    };
    return calls;
}

auto owner_world::makeDecoders() -> host::platform_decoders
{
    host::platform_decoders decoders;
    decoders.waves.keyPrefix = "wave/";
    decoders.decodeJob = [](std::string_view) -> core::result<jobs::multistep_job_spec> {
        jobs::multistep_job_spec spec;
        spec.payload = "payload";
        spec.steps = {makeStep(tasksOfFirstStep), makeStep(tasksPerJob - tasksOfFirstStep)};
        spec.steps.back().after = {0};
        return spec;
    };
    decoders.decodeWorker = [this](std::string_view key, std::string_view) -> core::result<jobs::worker_entry> {
        jobs::worker_entry entry;
        entry.id = jobs::worker_id{std::string{key}};
        entry.incarnation = workerIncarnation;
        entry.pool = m_workers.at(std::string{key}).pool;
        entry.address = "10.0.0.1:80";
        entry.capacity = workerCapacity;
        entry.labels = {"kind", "rack"};
        return entry;
    };
    return decoders;
}

auto owner_world::renew(const host::renewal_call &call, std::function<void(host::renewal_answer)> done) -> void
{
    auto &worker = m_workers.at(call.target.id.str());
    std::erase_if(worker.ended, [&](const jobs::ended_run &end) { return end.number <= call.acknowledgedEnd; });
    worker.waiting = std::move(done);
    const auto serial = ++worker.waitingSerial;
    const auto delay = worker.ended.empty() ? core::duration{call.wait} : workerLatency;
    after(delay, [this, &worker, serial] {
        if (serial == worker.waitingSerial) {
            answerWaiting(worker);
        }
    });
}

auto owner_world::start(const std::string &worker, const jobs::start_order &order) -> void
{
    auto task = jobs::nameOf(order.task);
    m_workers.at(worker).running[task] = order.run;
    m_time.after(runTime, [this, worker, task = std::move(task), run = order.run] { endRun(worker, task, run); });
}

auto owner_world::endRun(const std::string &worker, const std::string &task, std::uint32_t run) -> void
{
    auto &state = m_workers.at(worker);
    if (state.running.erase(task) == 0) {
        return;
    }
    state.ended.push_back({++state.lastEnd, task, run, jobs::end_kind::done, {}});
    if (state.waiting) {
        const auto serial = state.waitingSerial;
        after(workerLatency, [this, &state, serial] {
            if (serial == state.waitingSerial) {
                answerWaiting(state);
            }
        });
    }
}

auto owner_world::answerWaiting(sim_worker &worker) -> void
{
    if (auto done = std::exchange(worker.waiting, nullptr)) {
        done({host::renewal_outcome::reported, reportOf(worker)});
    }
}

auto owner_world::reportOf(const sim_worker &worker) const -> jobs::renewal_report
{
    jobs::renewal_report report;
    report.incarnation = workerIncarnation;
    report.clockMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now().time_since_epoch()).count();
    for (const auto &[task, run] : worker.running) {
        report.running.push_back({task, run, {}, 50, 0});
    }
    report.ended.assign(worker.ended.begin(), worker.ended.end());
    return report;
}

auto owner_world::submit(std::size_t count) -> void
{
    for (std::size_t index = 0; index < count; ++index) {
        timed([this] { submitOne(); });
    }
}

auto owner_world::submitOne() -> void
{
    host::client_request request;
    request.verb = host::client_verb::submit;
    request.job = jobs::job_id{std::to_string(++m_jobs)};
    request.hostName = "jobs.example";
    request.path = "/" + std::string{poolNames.at(m_jobs % poolNames.size())} + "/" + request.job.str();
    m_owner->handle(request, [this](const poplarpass::net::http_response &) { ++m_answered; });
}

auto owner_world::setJobRate(double perSecond) -> void
{
    m_jobsPerSecond = perSecond;
}

auto owner_world::renewTerm() -> void
{
    timed([this] {
        m_owner->onRenewing(m_time.now(), electionTimeout);
        m_owner->onRenewed(m_time.now(), electionTimeout);
    });
    m_time.after(renewalPeriod, [this] { renewTerm(); });
}

auto owner_world::submitAtRate() -> void
{
    m_dueJobs += m_jobsPerSecond * std::chrono::duration<double>(submitPeriod).count();
    const auto count = static_cast<std::size_t>(m_dueJobs);
    m_dueJobs -= static_cast<double>(count);
    submit(count);
    m_time.after(submitPeriod, [this] { submitAtRate(); });
}

auto owner_world::after(core::duration delay, std::function<void()> callback) -> void
{
    m_time.after(delay, [this, callback = std::move(callback)] { timed(callback); });
}

auto owner_world::timed(const std::function<void()> &callback) -> void
{
    m_enteredAt = std::chrono::steady_clock::now();
    callback();
    m_usage.busy += std::chrono::steady_clock::now() - m_enteredAt;
}

auto owner_world::run(core::duration time) -> void
{
    m_time.runFor(time);
}

auto owner_world::usage() const -> owner_usage
{
    return m_usage;
}

auto owner_world::submittedJobs() const -> std::uint64_t
{
    return m_jobs;
}
} // namespace bench
